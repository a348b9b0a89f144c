/** Builds the placement algorithm's input: which replicas may run a request, and which may have cached its prefix. */
import type { Contention, ReplicaRecord } from '@martenworks/core-types';
import type { PlacementQuery } from '@martenworks/prefix-index';
import { isolationScopes } from '../gatewayRequest.js';
import type { GatewayRequest } from '../gatewayRequest.js';
import { TransferTracker } from '../replicas/transferTracker.js';
import type { StageContext } from './stageContext.js';

/** Share of its slots by which the most urgent tier may overcommit a replica; less urgent tiers get less. */
const urgentHeadroom = 0.5;

/** Builds the placement queries of one gateway. */
export class PlacementQueries {
  /** Measured delays of cache transfers. */
  readonly transferTracker: TransferTracker;
  private contention: Contention = {};

  constructor(private readonly context: StageContext) {
    this.transferTracker = new TransferTracker(context.ports.clock);
  }

  /** Replaces the contention of the pools, as the control nodes report it. */
  readonly updateContention = (contention: Contention): void => {
    this.contention = contention;
  };

  /** Builds the query of a request; null if its pool is no longer configured. */
  readonly of = (request: GatewayRequest): PlacementQuery | null => {
    const { stateView, replicaTracker, settings, ports } = this.context;
    const view = stateView.view();
    const { lane, tenant } = request;
    if (view === null || lane === null || tenant === null) return null;
    const pool = view.pools.get(lane.poolName);
    if (pool === undefined) return null;
    const scope = isolationScopes.of(request);
    const now = ports.clock.now();
    const headroom = 1 + urgentHeadroom * view.urgencyOf(tenant.tier.rank);
    const free = this.withFreeSlots(
      this.usable(request, lane.poolName, scope, now),
      lane.poolName,
      pool.slots,
      headroom,
    );
    return {
      pool,
      blocks: request.blocks,
      promptTokens: request.promptTokens,
      isolatedTenant: scope,
      candidates: free.map((record) => ({
        record,
        running: replicaTracker.running(record.name),
        pendingTokens: replicaTracker.pendingTokens(record.name),
      })),
      holders: stateView
        .holdersIn(lane.poolName, pool.store)
        .filter((record) => stateView.tenantPartitions.mayBeSource(record, scope)),
      now,
      zone: settings.zone,
      useIndex: settings.index,
      tieBreak: ports.random.fraction(),
      pullExcessMs: this.transferTracker.excessMs,
    };
  };

  /** The ready replicas that may run the request: the ones that are not suspect, or all if all are. */
  private readonly usable = (
    request: GatewayRequest,
    poolName: string,
    scope: string | null,
    now: number,
  ): ReplicaRecord[] => {
    const { stateView, replicaTracker } = this.context;
    const ready = stateView
      .inPool(poolName)
      .filter((record) => !request.avoided.has(record.name) && stateView.tenantPartitions.mayRun(record, scope, now));
    const healthy = ready.filter((record) => !replicaTracker.isSuspect(record.name));
    return healthy.length > 0 ? healthy : ready;
  };

  /**
   * The replicas with a free slot. While other gateways contend for the pool, this one uses no more than its share of
   * the slots, but within that share it may use replicas that the others have filled.
   */
  private readonly withFreeSlots = (
    records: readonly ReplicaRecord[],
    poolName: string,
    poolSlots: number,
    headroom: number,
  ): ReplicaRecord[] => {
    const { stateView, replicaTracker } = this.context;
    const slotsOf = (record: ReplicaRecord): number => Math.floor((record.slots ?? poolSlots) * headroom);
    const free = records.filter((record) => replicaTracker.running(record.name) < slotsOf(record));
    const [contenders, uncontendedRunning] = this.contention[poolName] ?? [0, 0];
    if (contenders === 0) return free;
    const all = stateView.inPool(poolName);
    const total = all.reduce((sum, record) => sum + slotsOf(record), 0);
    const own = all.reduce((sum, record) => sum + replicaTracker.ownRunning(record.name), 0);
    if (own >= Math.max(1, Math.ceil((total - uncontendedRunning) / (contenders + 1)))) return [];
    return free.length > 0
      ? free
      : records.filter((record) => replicaTracker.ownRunning(record.name) < slotsOf(record));
  };
}
