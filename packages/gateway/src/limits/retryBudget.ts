/** The retry budget of one replica pool at one gateway: limits retries relative to first attempts. */

/** One retry per five first attempts. */
const tokensPerFirstAttempt = 0.2;
const minCapacity = 1;

/** A token bucket that first attempts fill and retries drain. */
export class RetryBudget {
  private tokens = 0;

  constructor(
    /** Capacity of the bucket in tokens; a capacity below one counts as one. */
    readonly allowance: number,
  ) {}

  /** Counts a first attempt, which earns a fraction of a retry. */
  readonly recordFirstAttempt = (): void => {
    this.tokens = Math.min(Math.max(minCapacity, this.allowance), this.tokens + tokensPerFirstAttempt);
  };

  /** Spends one retry; returns false, and spends nothing, if none is left. */
  readonly trySpend = (): boolean => {
    if (this.tokens < 1) return false;
    this.tokens -= 1;
    return true;
  };

  /** Remaining tokens, for the status page. */
  readonly remaining = (): number => this.tokens;
}
