/** The retry budget: limits retries relative to first attempts, so that retries can't amplify an overload. */
import type { Clock } from '@martenworks/core-types';

/**
 * The fleet-wide limit: in any window of `windowMs`, all edges together make at most `ratio` times the first attempts at
 * a pool, plus `slack`, as retries.
 */
export interface RetryBudgetLimits {
  readonly ratio: number;
  readonly windowMs: number;
  readonly slack: number;
}

const safetyShare = 0.75;
const bucketCount = 10;

interface Bucket {
  at: number;
  firstAttempts: number;
  retries: number;
}

/**
 * This edge's share of the budget: what its own first attempts earn, plus an equal share of the slack. The fleet-wide
 * limit holds because each edge stays within its share in each window.
 */
export class RetryBudget {
  private readonly pools = new Map<string, Bucket[]>();
  private readonly startedAt: number;

  constructor(
    private readonly clock: Clock,
    private readonly limits: RetryBudgetLimits,
    private readonly edgeCount: () => number,
  ) {
    this.startedAt = clock.now();
  }

  private readonly bucket = (pool: string): Bucket => {
    const at = Math.floor(this.clock.now() / (this.limits.windowMs / bucketCount));
    const buckets = this.pools.get(pool) ?? [];
    this.pools.set(pool, buckets);
    while (buckets[0] !== undefined && buckets[0].at < at - bucketCount) buckets.shift();
    const last = buckets[buckets.length - 1];
    if (last?.at === at) return last;
    const created: Bucket = { at, firstAttempts: 0, retries: 0 };
    buckets.push(created);
    return created;
  };

  /** Counts a first attempt at the pool, which earns a fraction of a retry. */
  readonly recordFirstAttempt = (pool: string): void => {
    this.bucket(pool).firstAttempts += 1;
  };

  /** Number of retries that this edge may still make at the pool in the current window. */
  readonly remaining = (pool: string): number => {
    this.bucket(pool);
    const buckets = this.pools.get(pool) ?? [];
    const sum = (of: 'firstAttempts' | 'retries'): number => buckets.reduce((total, bucket) => total + bucket[of], 0);
    const isFirstWindow = this.clock.now() - this.startedAt < this.limits.windowMs;
    const slack = (this.limits.slack * safetyShare * (isFirstWindow ? 0.5 : 1)) / Math.max(1, this.edgeCount());
    return Math.floor(sum('firstAttempts') * this.limits.ratio * safetyShare + slack) - sum('retries');
  };

  /** Spends one retry at the pool; returns false, and spends nothing, where none is left. */
  readonly trySpend = (pool: string): boolean => {
    if (this.remaining(pool) < 1) return false;
    this.bucket(pool).retries += 1;
    return true;
  };
}
