/** Measured delays of cache transfers between replicas, for the cost of naming a holder. */
import type { Clock } from '@martenworks/core-types';

const halfLifeMs = 20_000;
/** Weight of a new measurement against the held one. */
const newSampleWeight = 0.5;
/** How far a slow holder speaks against its links to other receivers. */
const otherLinksDivisor = 2;

interface MeasuredTransfer {
  readonly excessMs: number;
  readonly measuredAt: number;
}

const linkOf = (holder: string, receiver: string): string => `${holder}>${receiver}`;

/** Holds, by link and by holder, by how much transfers took longer than forecast; it decays with time. */
export class TransferTracker {
  private readonly measured = new Map<string, MeasuredTransfer>();

  constructor(private readonly clock: Clock) {}

  /** Takes a measurement: the time over the forecast, in milliseconds. */
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

  /** The time over the forecast to expect of a transfer, in milliseconds. */
  readonly excessMs = (holder: string, receiver: string): number =>
    Math.max(this.excess(linkOf(holder, receiver)), this.excess(holder) / otherLinksDivisor);
}
