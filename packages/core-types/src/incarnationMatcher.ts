/** Matches the two signals of a restarted replica. */
import type { Clock } from './ports/ports.js';

const matchWindowMs = 10_000;

/**
 * Pairs the two signals of one restart of the replica at an address: the replica list shows a new id, and the event
 * feed shows a new epoch, in either order. What is known about the address must be cleared at the first signal only.
 */
export class IncarnationMatcher {
  private newIdAt: number | null = null;
  private newEpochAt: number | null = null;

  constructor(private readonly clock: Clock) {}

  private readonly isRecent = (at: number | null): boolean => at !== null && this.clock.now() - at <= matchWindowMs;

  /** Records a new id in the list. Returns whether it is the first signal, with no new epoch shortly before. */
  readonly recordNewId = (): boolean => {
    const isPaired = this.isRecent(this.newEpochAt);
    this.newEpochAt = null;
    this.newIdAt = isPaired ? null : this.clock.now();
    return !isPaired;
  };

  /** Records a new epoch in the events. Returns whether it is the first signal, with no new id shortly before. */
  readonly recordNewEpoch = (): boolean => {
    const isPaired = this.isRecent(this.newIdAt);
    this.newIdAt = null;
    this.newEpochAt = isPaired ? null : this.clock.now();
    return !isPaired;
  };
}
