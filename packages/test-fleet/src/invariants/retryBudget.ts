/**
 * Retry budget: in every time window that begins and ends with a retry, a pool gets at most a fifth of the first
 * attempts in the window, plus a fixed allowance, as retries.
 */
import { poolOfKind, poolOfReplica } from './observedFleet.js';
import type { Evidence } from './observations.js';
import type { Violation } from './violation.js';

const retryShare = 0.2;
const retryAllowance = 18;
/**
 * First attempts count from this long before the window, since a request may take that long from gateway to replica.
 */
const connectSlackMs = 1_500;

/** Times of attempts in one pool, in milliseconds of the fleet's clock. */
interface PoolAttempts {
  readonly firsts: number[];
  readonly retries: number[];
}

interface PoolArrival {
  readonly requestId: string;
  readonly at: number;
  readonly pool: string;
}

class AttemptTable {
  private readonly pools = new Map<string, PoolAttempts>();
  private readonly seen = new Set<string>();

  readonly addArrival = ({ requestId, at, pool }: PoolArrival): void => {
    const attempts = this.poolAttempts(pool);
    if (this.hasSeen(pool, requestId)) attempts.retries.push(at);
    else attempts.firsts.push(at);
    this.seen.add(`${pool} ${requestId}`);
  };

  readonly addFirst = (pool: string, at: number): void => void this.poolAttempts(pool).firsts.push(at);

  readonly hasSeen = (pool: string, requestId: string): boolean => this.seen.has(`${pool} ${requestId}`);

  readonly entries = (): Iterable<[string, PoolAttempts]> => this.pools.entries();

  private readonly poolAttempts = (pool: string): PoolAttempts => {
    const known = this.pools.get(pool) ?? { firsts: [], retries: [] };
    this.pools.set(pool, known);
    return known;
  };
}

const attemptsOf = (evidence: Evidence): AttemptTable => {
  const table = new AttemptTable();
  const arrivals = evidence.fleet
    .replicaIncarnations()
    .flatMap(({ name, arrivals }) => arrivals.map((arrival) => ({ ...arrival, pool: poolOfReplica(name) })))
    .sort((a, b) => a.at - b.at);
  for (const arrival of arrivals) table.addArrival(arrival);
  for (const call of evidence.observations.calls) {
    const pool = poolOfKind(call.request.kind);
    if (!table.hasSeen(pool, call.requestId)) table.addFirst(pool, call.sentAt);
  }
  return table;
};

/** Returns how many of the sorted times are at or before `at`. */
const countUpTo = (sorted: readonly number[], at: number): number => {
  let low = 0;
  let high = sorted.length;
  while (low < high) {
    const middle = (low + high) >> 1;
    if ((sorted[middle] as number) <= at) low = middle + 1;
    else high = middle;
  }
  return low;
};

/** Returns the largest excess over the budget in any window; 0 if the budget was respected. */
const largestExcess = ({ firsts, retries }: PoolAttempts): number => {
  const sorted = [...firsts].sort((a, b) => a - b);
  let maxExcess = 0;
  for (const [end, endAt] of retries.entries()) {
    for (let begin = 0; begin <= end; begin += 1) {
      const beginAt = retries[begin] as number;
      const firstsInWindow = countUpTo(sorted, endAt) - countUpTo(sorted, beginAt - connectSlackMs);
      const retriesInWindow = end - begin + 1;
      maxExcess = Math.max(maxExcess, retriesInWindow - firstsInWindow * retryShare - retryAllowance);
    }
  }
  return maxExcess;
};

/** Checks every window of every pool. */
export const retryBudgetViolations = (evidence: Evidence): Violation[] =>
  [...attemptsOf(evidence).entries()].flatMap(([pool, attempts]): Violation[] => {
    const maxExcess = largestExcess(attempts);
    if (maxExcess <= 0) return [];
    return [
      {
        rule: 'retry budget exceeded',
        detail: `pool ${pool}: ${maxExcess.toFixed(1)} more than a fifth and the allowance in some window, ${attempts.retries.length} in all`,
      },
    ];
  });
