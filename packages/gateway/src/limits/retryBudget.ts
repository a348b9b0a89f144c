/** The retry budget of one replica pool at one gateway: retries are paid for by first attempts. */

/** One retry for five first attempts. */
const tokensPerFirstAttempt = 0.2;
const minCapacity = 1;

/** A token bucket that first attempts fill and retries empty. */
export class RetryBudget {
  private tokens = 0;

  constructor(
    /** The most tokens that may be saved up; less than one counts as one. */
    readonly allowance: number,
  ) {}

  /** Adds the share of a retry that one first attempt pays for. */
  readonly recordFirstAttempt = (): void => {
    this.tokens = Math.min(Math.max(minCapacity, this.allowance), this.tokens + tokensPerFirstAttempt);
  };

  /** Takes the token of one retry; false when the budget is spent. */
  readonly trySpend = (): boolean => {
    if (this.tokens < 1) return false;
    this.tokens -= 1;
    return true;
  };

  /** The tokens left, for the operators' page. */
  readonly remaining = (): number => this.tokens;
}
