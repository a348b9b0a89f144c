/** The rate limit of one tenant at one gateway. */

/** The burst that an idle tenant may send, as a duration at its rate. */
const burstSeconds = 2;
const minBurst = 2;
const msPerSecond = 1_000;

/** A token bucket that is refilled over time and holds two seconds' worth of requests. */
export class RateLimiter {
  private tokens: number;
  private refilledAt: number;

  /** `now` is in milliseconds, as in `tryAcquire`. */
  constructor(
    /** This gateway's share of the tenant's rate, in requests per second. */
    readonly perSecond: number,
    now: number,
  ) {
    this.tokens = this.burst();
    this.refilledAt = now;
  }

  private readonly burst = (): number => Math.max(minBurst, this.perSecond * burstSeconds);

  /** Acquires the token of one request; returns false if the tenant is over its rate. */
  readonly tryAcquire = (now: number): boolean => {
    const refill = ((now - this.refilledAt) / msPerSecond) * this.perSecond;
    this.tokens = Math.min(this.burst(), this.tokens + refill);
    this.refilledAt = now;
    if (this.tokens < 1) return false;
    this.tokens -= 1;
    return true;
  };
}
