const extraShare = 0.2;

export class RetryBudget {
  private tokens = 0;

  constructor(readonly allowance: number) {}

  readonly firstAttempt = (): void => {
    this.tokens = Math.min(Math.max(1, this.allowance), this.tokens + extraShare);
  };

  readonly take = (): boolean => {
    if (this.tokens < 1) return false;
    this.tokens -= 1;
    return true;
  };

  readonly left = (): number => this.tokens;
}

export class RateShare {
  private tokens: number;
  private filledAt: number;

  constructor(
    readonly perSecond: number,
    now: number,
  ) {
    this.tokens = this.burst();
    this.filledAt = now;
  }

  private readonly burst = (): number => Math.max(2, this.perSecond * 2);

  readonly take = (now: number): boolean => {
    this.tokens = Math.min(this.burst(), this.tokens + ((now - this.filledAt) / 1000) * this.perSecond);
    this.filledAt = now;
    if (this.tokens < 1) return false;
    this.tokens -= 1;
    return true;
  };
}
