import { rejections } from '@martenworks/core-types';
import type { Rejection, RejectionCode } from '@martenworks/core-types';
import type { StageContext } from './stageContext.js';
import type { GatewayRequest } from '../gatewayRequest.js';

const largestRetryAfterSeconds = 30;

interface Lines {
  readonly unqueue: (request: GatewayRequest) => boolean;
  readonly forecastMs: (request: GatewayRequest) => number;
}

export class Rejector {
  constructor(
    private readonly context: StageContext,
    private readonly lines: () => Lines,
  ) {}

  private readonly retryAfter = (code: RejectionCode, request: GatewayRequest): number | undefined => {
    if (code !== 'no_capacity' && code !== 'horizon_passed') return undefined;
    if (request.comeBackSeconds !== null)
      return Math.min(largestRetryAfterSeconds, Math.max(1, request.comeBackSeconds));
    return Math.min(
      largestRetryAfterSeconds,
      Math.max(1, Math.ceil(this.lines().forecastMs(request) / 1_000 + this.context.ports.random.fraction())),
    );
  };

  readonly refuse = (request: GatewayRequest, code: RejectionCode, detail: string): void => {
    const { metrics, ports } = this.context;
    this.lines().unqueue(request);
    const isProved = !request.mayHaveRun && (request.order.idempotencyKey === null || request.claim !== null);
    const ran = isProved ? 'no' : 'unknown';
    const rejection: Rejection = rejections.of(code, ran, detail, this.retryAfter(code, request));
    if (!request.isAnswered) {
      metrics.add(`denied_${code}`);
      ports.log.info('denied', {
        requestId: request.order.requestId,
        tenant: request.tenant?.name ?? null,
        code,
        ran,
        detail,
        retryAfterSeconds: rejection.retryAfterSeconds,
      });
    }
    if (request.isRelaying) request.cut(detail);
    else request.denies(rejection);
  };

  readonly left = (request: GatewayRequest): void => {
    if (request.isEnded) return;
    this.context.metrics.add('caller_left');
    this.lines().unqueue(request);
    if (request.isRelaying) request.end();
    else request.denies(rejections.of('caller_left', 'unknown', 'the caller left'));
  };
}
