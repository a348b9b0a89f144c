/** The rate limit of one tenant at one gateway. */

/** An idle tenant may send the requests of this time at once. */
const burstSeconds = 2;
const minBurst = 2;
const msPerSecond = 1_000;

/** A token bucket that time fills; it holds the requests of two seconds. */
export class RateLimiter {
  private tokens: number;
  private refilledAt: number;

  /** `now` is in milliseconds, as in `take`. */
  constructor(
    /** This gateway's part of the tenant's rate, in requests a second. */
    readonly perSecond: number,
    now: number,
  ) {
    this.tokens = this.burst();
    this.refilledAt = now;
  }

  private readonly burst = (): number => Math.max(minBurst, this.perSecond * burstSeconds);

  /** Takes the token of one request; false when the tenant is over its rate. */
  readonly tryAcquire = (now: number): boolean => {
    const refill = ((now - this.refilledAt) / msPerSecond) * this.perSecond;
    this.tokens = Math.min(this.burst(), this.tokens + refill);
    this.refilledAt = now;
    if (this.tokens < 1) return false;
    this.tokens -= 1;
    return true;
  };
}
