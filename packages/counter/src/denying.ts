import { deny } from '@martenworks/core-types';
import type { Deny, DenyCode } from '@martenworks/core-types';
import type { Bench } from './bench.js';
import type { Parcel } from './parcel.js';

const largestRetryAfterSeconds = 30;

interface Lines {
  readonly unqueue: (parcel: Parcel) => boolean;
  readonly forecastMs: (parcel: Parcel) => number;
}

export class Denying {
  constructor(
    private readonly bench: Bench,
    private readonly lines: () => Lines,
  ) {}

  private readonly retryAfter = (code: DenyCode, parcel: Parcel): number | undefined => {
    if (code !== 'no_capacity' && code !== 'horizon_passed') return undefined;
    if (parcel.comeBackSeconds !== null) return Math.min(largestRetryAfterSeconds, Math.max(1, parcel.comeBackSeconds));
    return Math.min(
      largestRetryAfterSeconds,
      Math.max(1, Math.ceil(this.lines().forecastMs(parcel) / 1_000 + this.bench.ports.random.fraction())),
    );
  };

  readonly refuse = (parcel: Parcel, code: DenyCode, detail: string): void => {
    const { tally, ports } = this.bench;
    this.lines().unqueue(parcel);
    const isProved = !parcel.mayHaveRun && (parcel.order.idempotencyKey === null || parcel.claim !== null);
    const ran = isProved ? 'no' : 'unknown';
    const denied: Deny = deny.of(code, ran, detail, this.retryAfter(code, parcel));
    if (!parcel.isAnswered) {
      tally.add(`denied_${code}`);
      ports.log.info('denied', {
        requestId: parcel.order.requestId,
        tenant: parcel.tenant?.name ?? null,
        code,
        ran,
        detail,
        retryAfterSeconds: denied.retryAfterSeconds,
      });
    }
    if (parcel.isRelaying) parcel.cut(detail);
    else parcel.denies(denied);
  };

  readonly left = (parcel: Parcel): void => {
    if (parcel.isEnded) return;
    this.bench.tally.add('caller_left');
    this.lines().unqueue(parcel);
    if (parcel.isRelaying) parcel.end();
    else parcel.denies(deny.of('caller_left', 'unknown', 'the caller left'));
  };
}
