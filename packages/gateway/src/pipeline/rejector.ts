/** Rejects requests of all stages; the rejection states whether the request may have run and when to retry. */
import { rejections } from '@martenworks/core-types';
import type { Rejection, RejectionCode } from '@martenworks/core-types';
import type { GatewayRequest } from '../gatewayRequest.js';
import type { StageContext } from './stageContext.js';

const minRetryAfterSeconds = 1;
const maxRetryAfterSeconds = 30;
const msPerSecond = 1_000;

/** The placement stage, as the rejector uses it. */
interface QueuedRequests {
  readonly removeFromQueue: (request: GatewayRequest) => boolean;
  readonly expectedWaitMs: (request: GatewayRequest) => number;
}

const withinBounds = (seconds: number): number =>
  Math.min(maxRetryAfterSeconds, Math.max(minRetryAfterSeconds, seconds));

/** Rejects the requests of one gateway. */
export class Rejector {
  constructor(
    private readonly context: StageContext,
    private readonly queuedRequests: () => QueuedRequests,
  ) {}

  private readonly retryAfter = (code: RejectionCode, request: GatewayRequest): number | undefined => {
    if (code !== 'no_capacity' && code !== 'horizon_passed') return undefined;
    if (request.retryAfterSeconds !== null) return withinBounds(request.retryAfterSeconds);
    const waitSeconds = this.queuedRequests().expectedWaitMs(request) / msPerSecond;
    return withinBounds(Math.ceil(waitSeconds + this.context.ports.random.fraction()));
  };

  /** Rejects a request; if its response is being streamed, truncates the stream instead. */
  readonly reject = (request: GatewayRequest, code: RejectionCode, detail: string): void => {
    this.queuedRequests().removeFromQueue(request);
    const isKnownNotRun = !request.mayHaveRun && (request.completion.idempotencyKey === null || request.claim !== null);
    const ran = isKnownNotRun ? 'no' : 'unknown';
    const rejection = rejections.of(code, ran, detail, this.retryAfter(code, request));
    if (!request.hasResponseStarted) this.record(request, rejection);
    if (request.isRelaying) request.truncate(detail);
    else request.reject(rejection);
  };

  private readonly record = (request: GatewayRequest, rejection: Rejection): void => {
    const { metrics, ports } = this.context;
    metrics.add(`denied_${rejection.code}`);
    ports.log.info('denied', {
      requestId: request.completion.requestId,
      tenant: request.tenant?.name ?? null,
      code: rejection.code,
      ran: rejection.ran,
      detail: rejection.detail,
      retryAfterSeconds: rejection.retryAfterSeconds,
    });
  };

  /** Ends a request whose caller closed the connection. */
  readonly onCallerDisconnect = (request: GatewayRequest): void => {
    if (request.isEnded) return;
    this.context.metrics.add('caller_left');
    this.queuedRequests().removeFromQueue(request);
    if (request.isRelaying) request.end();
    else request.reject(rejections.of('caller_left', 'unknown', 'the caller disconnected'));
  };
}
