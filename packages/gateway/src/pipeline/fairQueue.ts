/**
 * The queue of one replica pool: strict priority between tiers and fair queueing between the tenants of a tier. At
 * regular intervals the oldest request goes first, whatever its tier, so that no tier starves.
 */

/** The queued items of one tenant, in order of arrival. */
interface TenantQueue<T> {
  /** Rank of the tenant's tier; a lower rank is served first. */
  readonly rank: number;
  /** Queued items with the time at which each was queued, in milliseconds. */
  readonly items: Map<T, number>;
  /** Items dispatched, on a scale that the active tenants of a rank share; the lowest is served first. */
  virtualTime: number;
  /** Items dispatched since `measuredAt`. */
  dispatched: number;
  /** Measured dispatch rate, in items per millisecond; 0 before the first measurement. */
  ratePerMs: number;
  measuredAt: number;
}

/** One dispatch in this many goes by age instead of by rank. */
const dispatchesPerAgeTurn = 8;
const minRateWindowMs = 2_000;
const minFirstRateWindowMs = 500;
/** Shorter tenant queues get no forecast, since their measured rate says too little. */
const minForecastItems = 2;

/** Holds at most `limit` items of all tenants. All times are in milliseconds. */
export class FairQueue<T> {
  private readonly tenantQueues = new Map<string, TenantQueue<T>>();
  private readonly tenantQueueOf = new Map<T, TenantQueue<T>>();
  private dispatchCount = 0;

  constructor(private readonly limit: number) {}

  private readonly active = (): TenantQueue<T>[] =>
    [...this.tenantQueues.values()].filter(({ items }) => items.size > 0);

  private readonly tenantQueue = (tenantName: string, rank: number, now: number): TenantQueue<T> => {
    const existing = this.tenantQueues.get(tenantName);
    if (existing !== undefined && existing.rank === rank) return existing;
    const created: TenantQueue<T> = {
      rank,
      items: new Map(),
      virtualTime: 0,
      dispatched: 0,
      ratePerMs: 0,
      measuredAt: now,
    };
    this.tenantQueues.set(tenantName, created);
    return created;
  };

  /**
   * Adds an item. If the queue is full, removes and returns the newest item of the longest tenant queue in the lowest
   * tier; else returns null.
   */
  readonly put = (tenantName: string, rank: number, item: T, now: number): T | null => {
    const queue = this.tenantQueue(tenantName, rank, now);
    if (queue.items.size === 0) this.advanceVirtualTime(queue);
    queue.items.set(item, now);
    this.tenantQueueOf.set(item, queue);
    if (this.tenantQueueOf.size <= this.limit) return null;
    const longest = this.active().sort((a, b) => b.rank - a.rank || b.items.size - a.items.size)[0] as TenantQueue<T>;
    const displaced = [...longest.items.keys()].at(-1) as T;
    this.remove(displaced);
    return displaced;
  };

  /** Advances a tenant that becomes active, so that it gets no credit for the time in which it had no items. */
  private readonly advanceVirtualTime = (queue: TenantQueue<T>): void => {
    const others = this.active().filter((other) => other.rank === queue.rank);
    if (others.length > 0)
      queue.virtualTime = Math.max(queue.virtualTime, Math.min(...others.map((other) => other.virtualTime)));
  };

  /** The first item of each active tenant, in the order in which they should be dispatched. */
  readonly heads = (): T[] => {
    const oldest = (queue: TenantQueue<T>): number => queue.items.values().next().value as number;
    const byRank = (a: TenantQueue<T>, b: TenantQueue<T>): number =>
      a.rank - b.rank || a.virtualTime - b.virtualTime || oldest(a) - oldest(b);
    const byAge = (a: TenantQueue<T>, b: TenantQueue<T>): number => oldest(a) - oldest(b) || byRank(a, b);
    const isAgeTurn = this.dispatchCount % dispatchesPerAgeTurn === dispatchesPerAgeTurn - 1;
    return this.active()
      .sort(isAgeTurn ? byAge : byRank)
      .map((queue) => queue.items.keys().next().value as T);
  };

  /** Removes an item that is dispatched, and counts it towards its tenant's share and rate. */
  readonly dispatch = (item: T, now: number): void => {
    const queue = this.tenantQueueOf.get(item);
    if (queue === undefined) return;
    this.remove(item);
    this.dispatchCount += 1;
    queue.virtualTime += 1;
    queue.dispatched += 1;
    this.measureRate(queue, now);
  };

  private readonly measureRate = (queue: TenantQueue<T>, now: number): void => {
    const spanMs = now - queue.measuredAt;
    if (spanMs < (queue.ratePerMs === 0 ? minFirstRateWindowMs : minRateWindowMs)) return;
    const measured = queue.dispatched / spanMs;
    queue.ratePerMs = queue.ratePerMs === 0 ? measured : (queue.ratePerMs + measured) / 2;
    queue.dispatched = 0;
    queue.measuredAt = now;
  };

  /** Expected wait of a new item of this tenant, in milliseconds; 0 if there is no forecast. */
  readonly expectedWaitMs = (tenantName: string, now: number): number => {
    const queue = this.tenantQueues.get(tenantName);
    if (queue === undefined || queue.items.size < minForecastItems) return 0;
    this.measureRate(queue, now);
    return queue.ratePerMs === 0 ? 0 : queue.items.size / queue.ratePerMs;
  };

  /** The items that would miss their deadline at the measured rates. */
  readonly predictedDeadlineMisses = (now: number, deadlineOf: (item: T) => number): T[] =>
    this.active().flatMap((queue) => {
      this.measureRate(queue, now);
      return queue.ratePerMs === 0 ? [] : this.deadlineMissesIn(queue, now, deadlineOf);
    });

  private readonly deadlineMissesIn = (queue: TenantQueue<T>, now: number, deadlineOf: (item: T) => number): T[] => {
    const found: T[] = [];
    let ahead = 0;
    for (const item of queue.items.keys()) {
      if (ahead >= minForecastItems && now + ahead / queue.ratePerMs > deadlineOf(item)) found.push(item);
      else ahead += 1;
    }
    return found;
  };

  /** Removes an item without dispatching it; returns false if it is not queued. */
  readonly remove = (item: T): boolean => {
    const queue = this.tenantQueueOf.get(item);
    if (queue === undefined) return false;
    this.tenantQueueOf.delete(item);
    return queue.items.delete(item);
  };

  /** All queued items, in order of arrival. */
  readonly items = (): T[] => [...this.tenantQueueOf.keys()];

  /** Number of queued items. */
  readonly size = (): number => this.tenantQueueOf.size;
}
