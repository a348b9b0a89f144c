/** Tracks delays of cache transfers between replicas, for the cost of pulling a prefix from another replica. */
import type { Clock } from '@martenworks/core-types';

const halfLifeMs = 20_000;
/** Weight of a new measurement in the moving average. */
const newSampleWeight = 0.5;
/** A holder's average over all its links, divided by this, is the least excess expected on each of them. */
const otherLinksDivisor = 2;

interface MeasuredTransfer {
  readonly excessMs: number;
  readonly measuredAt: number;
}

const linkOf = (holder: string, receiver: string): string => `${holder}>${receiver}`;

/** Averages, by link and by holder, by how much transfers exceeded their forecast; the averages decay over time. */
export class TransferTracker {
  private readonly measured = new Map<string, MeasuredTransfer>();

  constructor(private readonly clock: Clock) {}

  /** Records by how many milliseconds a transfer exceeded its forecast. */
  readonly record = (holder: string, receiver: string, excessMs: number): void => {
    for (const link of [holder, linkOf(holder, receiver)]) {
      const previous = this.excess(link);
      const blended = previous + (Math.max(0, excessMs) - previous) * newSampleWeight;
      this.measured.set(link, { excessMs: blended, measuredAt: this.clock.now() });
    }
  };

  private readonly excess = (link: string): number => {
    const measured = this.measured.get(link);
    if (measured === undefined) return 0;
    return measured.excessMs * 0.5 ** ((this.clock.now() - measured.measuredAt) / halfLifeMs);
  };

  /** Expected excess of a transfer over its forecast, in milliseconds. */
  readonly excessMs = (holder: string, receiver: string): number =>
    Math.max(this.excess(linkOf(holder, receiver)), this.excess(holder) / otherLinksDivisor);
}
