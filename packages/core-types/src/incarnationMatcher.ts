/** Matches the two signs of a restarted replica. */
import type { Clock } from './ports/ports.js';

const matchMs = 10_000;

/**
 * Pairs what two sources tell of a restarted replica at one address: the list of replicas by another id, the events by
 * another epoch, in either order. The first of the two to come empties what is known of the address, the second one
 * does not.
 */
export class IncarnationMatcher {
  private idAt: number | null = null;
  private epochAt: number | null = null;

  constructor(private readonly clock: Clock) {}

  private readonly isRecent = (at: number | null): boolean => at !== null && this.clock.now() - at <= matchMs;

  /** The list shows another id. True where no new epoch came shortly before. */
  readonly recordNewId = (): boolean => {
    const isPaired = this.isRecent(this.epochAt);
    this.epochAt = null;
    this.idAt = isPaired ? null : this.clock.now();
    return !isPaired;
  };

  /** The events show another epoch. True where no new id came shortly before. */
  readonly recordNewEpoch = (): boolean => {
    const isPaired = this.isRecent(this.idAt);
    this.idAt = null;
    this.epochAt = isPaired ? null : this.clock.now();
    return !isPaired;
  };
}
