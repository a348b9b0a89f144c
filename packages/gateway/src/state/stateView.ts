/** A gateway's copy of the fleet's state: configuration, replicas, prefix index and tenant partitions. */
import { stateMachine, replicaRecords } from '@martenworks/core-types';
import type {
  CommittedState,
  Change,
  Clock,
  KvCacheEvent,
  ReplicaRecord,
  IsolationClaim,
  IsolationStatus,
} from '@martenworks/core-types';
import { PrefixIndex, TenantPartitions } from '@martenworks/prefix-index';
import type { PrefixIndexSnapshot } from '@martenworks/prefix-index';
import { GatewayConfigIndexer } from './gatewayConfigView.js';
import type { GatewayConfigView } from './gatewayConfigView.js';

const maxPrefixAgeMs = 600_000;

/** Applies the control nodes' changes in log order; calls `onChange` after each change of the state or the replicas. */
export class StateView {
  /** Index of the prompt prefixes that each replica has cached. */
  readonly index = new PrefixIndex(maxPrefixAgeMs);
  /** Assignment of replicas to isolated tenants. */
  readonly tenantPartitions = new TenantPartitions();
  private readonly configIndexer = new GatewayConfigIndexer();
  private readonly replicaRecords = new Map<string, ReplicaRecord>();
  private state: CommittedState | null = null;
  private configView: GatewayConfigView | null = null;

  constructor(
    private readonly clock: Clock,
    private readonly onChange: () => void,
  ) {}

  /** The committed state; null before the first is received. */
  readonly committedState = (): CommittedState | null => this.state;
  /** The view of the configuration; null before the first is received. */
  readonly view = (): GatewayConfigView | null => this.configView;
  /** The log index of the committed state; -1 before the first is received. */
  readonly logIndex = (): number => this.state?.logIndex ?? -1;
  /** All known replicas and cache stores. */
  readonly records = (): ReplicaRecord[] => [...this.replicaRecords.values()];
  /** The replica or cache store with this name; undefined if it is unknown. */
  readonly record = (name: string): ReplicaRecord | undefined => this.replicaRecords.get(name);

  private readonly replaceState = (state: CommittedState): void => {
    this.state = state;
    this.configView = this.configIndexer.view(state);
    this.reindex();
    this.onChange();
  };

  /** Log index since which the cache of a replica or store is valid. */
  private readonly cacheEpochOf = (record: ReplicaRecord): number =>
    (record.kind === 'store' ? this.state?.storeSince[record.name] : this.state?.weightsSince[record.pool]) ?? 0;

  private readonly reindex = (): void => {
    this.index.reconcile(this.replicaRecords.values(), this.cacheEpochOf);
    this.tenantPartitions.reconcile(this.replicaRecords.values(), this.state, this.clock.now());
  };

  /** Applies the change that follows the current state; returns false if it has another log index. */
  readonly applyChange = (logIndex: number, change: Change): boolean => {
    if (this.state === null || logIndex !== this.state.logIndex + 1) return false;
    this.replaceState(stateMachine.apply(this.state, change));
    return true;
  };

  /** Replaces the committed state; returns false if the snapshot is not newer. */
  readonly applySnapshot = (state: CommittedState): boolean => {
    if (this.state !== null && state.logIndex <= this.state.logIndex) return false;
    this.replaceState(state);
    return true;
  };

  /** Merges replica records; of two records of a replica, the newer one is kept. */
  readonly applyReplicas = (records: readonly ReplicaRecord[]): void => {
    for (const record of records)
      this.replicaRecords.set(record.name, replicaRecords.merge(this.replicaRecords.get(record.name), record));
    this.reindex();
    this.onChange();
  };

  /** Replaces the prefix index of one replica. */
  readonly applyIndexSnapshot = (snapshot: PrefixIndexSnapshot): void =>
    void this.index.restore(snapshot, this.clock.now());

  /** Applies events of the replicas' prefix caches to the index. */
  readonly applyKvEvents = (events: readonly KvCacheEvent[]): void => {
    const now = this.clock.now();
    for (const event of events) this.index.apply(event, now);
  };

  /** The ready replicas of a pool. */
  readonly inPool = (poolName: string): ReplicaRecord[] =>
    this.records().filter(
      (record) =>
        record.pool === poolName &&
        record.kind === 'replica' &&
        record.state === 'ready' &&
        record.born <= this.logIndex(),
    );

  /**
   * The replicas and the store whose cached prefixes a pool may use, because they were computed with its current
   * weights. The store is left out while the pool serves isolated tenants, because all tenants would share it.
   */
  readonly holdersIn = (poolName: string, store: string | null): ReplicaRecord[] => {
    const { state } = this;
    if (state === null) return [];
    const servesIsolatedTenants = stateMachine.servesIsolatedTenants(state.config, poolName);
    const isOfPool = (record: ReplicaRecord): boolean =>
      record.kind === 'replica' ? record.pool === poolName : record.name === store && !servesIsolatedTenants;
    return this.records().filter(
      (record) => record.state === 'ready' && isOfPool(record) && record.born >= this.cacheEpochOf(record),
    );
  };

  /** Claims to admit isolated tenants to replicas, which the control nodes have not yet granted. */
  readonly pendingIsolationClaims = (): IsolationClaim[] => this.tenantPartitions.pendingClaims(this.clock.now());

  /** Applies what a majority of control nodes has recorded about the isolated tenants of replicas. */
  readonly applyIsolationStatuses = (statuses: readonly IsolationStatus[]): void => {
    for (const status of statuses)
      this.tenantPartitions.applyGrantedClaim(status, this.index.mayHaveEntries(status.replica), this.clock.now());
  };
}
