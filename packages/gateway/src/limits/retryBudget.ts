/** The retry budget of one replica pool at one gateway: retries are paid for by first attempts. */

/** One retry for five first attempts. */
const tokensPerFirstAttempt = 0.2;
const smallestCapacity = 1;

/** A token bucket that first attempts fill and retries empty. */
export class RetryBudget {
  private tokens = 0;

  constructor(
    /** The most tokens that may be saved up; less than one counts as one. */
    readonly allowance: number,
  ) {}

  /** Adds the share of a retry that one first attempt pays for. */
  readonly firstAttempt = (): void => {
    this.tokens = Math.min(Math.max(smallestCapacity, this.allowance), this.tokens + tokensPerFirstAttempt);
  };

  /** Takes the token of one retry; false when the budget is spent. */
  readonly take = (): boolean => {
    if (this.tokens < 1) return false;
    this.tokens -= 1;
    return true;
  };

  /** The tokens left, for the operators' page. */
  readonly left = (): number => this.tokens;
}
