/** The queues of all replica pools, with the number of queued requests of each tier. */
import type { GatewayRequest } from '../gatewayRequest.js';
import type { TenantView } from '../state/gatewayConfigView.js';
import type { StageContext } from './stageContext.js';
import { FairQueue } from './fairQueue.js';

/** The queue of one pool. */
export interface PoolQueue {
  readonly waiting: FairQueue<GatewayRequest>;
  /** Number of queued requests by tier name. */
  readonly byTier: Map<string, number>;
}

/** The depth of one pool's queue, for the status page. */
export interface QueueDepth {
  readonly waiting: number;
  readonly byTier: Record<string, number>;
}

/** One queue per pool, created on first use. */
export class PoolQueues {
  private readonly queues = new Map<string, PoolQueue>();

  constructor(private readonly context: StageContext) {}

  /** The queue of a pool. */
  readonly of = (poolName: string): PoolQueue => {
    const existing = this.queues.get(poolName);
    if (existing !== undefined) return existing;
    const queue: PoolQueue = { waiting: new FairQueue(this.context.settings.queueLimit), byTier: new Map() };
    this.queues.set(poolName, queue);
    return queue;
  };

  /** The names and queues of all pools that have had a queued request. */
  readonly entries = (): [string, PoolQueue][] => [...this.queues];

  /** Whether the tenant's tier has filled its share of a pool's queue. */
  readonly isTierFull = (queue: PoolQueue, tenant: TenantView): boolean => {
    const share = Math.floor(tenant.tier.share * this.context.settings.queueLimit);
    return (queue.byTier.get(tenant.tierName) ?? 0) >= Math.max(1, share);
  };

  /** Adds a request. If the queue is full, removes and returns the one that `FairQueue.put` displaces; else null. */
  readonly put = (
    queue: PoolQueue,
    tenant: TenantView,
    request: GatewayRequest,
    now: number,
  ): GatewayRequest | null => {
    queue.byTier.set(tenant.tierName, (queue.byTier.get(tenant.tierName) ?? 0) + 1);
    const displaced = queue.waiting.put(tenant.name, tenant.tier.rank, request, now);
    if (displaced !== null) this.decrementTier(queue, displaced);
    return displaced;
  };

  /** Removes a request that is sent to a replica. */
  readonly dispatch = (queue: PoolQueue, request: GatewayRequest): void => {
    queue.waiting.dispatch(request, this.context.ports.clock.now());
    this.decrementTier(queue, request);
  };

  private readonly decrementTier = (queue: PoolQueue, request: GatewayRequest): void => {
    if (request.tenant === null) return;
    const { tierName } = request.tenant;
    queue.byTier.set(tierName, Math.max(0, (queue.byTier.get(tierName) ?? 0) - 1));
  };

  /** Removes a request that is not sent; returns false if it was not queued. */
  readonly remove = (request: GatewayRequest): boolean => {
    if (request.lane === null) return false;
    const queue = this.queues.get(request.lane.poolName);
    if (queue?.waiting.remove(request) !== true) return false;
    this.decrementTier(queue, request);
    return true;
  };

  /** Expected wait in the queue of the request's pool, in milliseconds. */
  readonly expectedWaitMs = (request: GatewayRequest): number => {
    const queue = request.lane === null ? undefined : this.queues.get(request.lane.poolName);
    return queue?.waiting.expectedWaitMs(request.tenant?.name ?? '', this.context.ports.clock.now()) ?? 0;
  };

  /** The depths of all queues, by pool. */
  readonly depths = (): Record<string, QueueDepth> =>
    Object.fromEntries(
      this.entries().map(([poolName, queue]) => [
        poolName,
        { waiting: queue.waiting.size(), byTier: Object.fromEntries(queue.byTier) },
      ]),
    );
}
