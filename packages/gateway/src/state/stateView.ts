/** What a gateway holds of the fleet's state: configuration, replicas, prefix index and tenant partitions. */
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

/** Follows the control nodes' changes in log order and calls `changed` after each. */
export class StateView {
  /** Which replica keeps which prompt prefixes. */
  readonly index = new PrefixIndex(maxPrefixAgeMs);
  /** Which replicas serve which isolated tenant. */
  readonly tenantPartitions = new TenantPartitions();
  private readonly configIndexer = new GatewayConfigIndexer();
  private readonly replicaRecords = new Map<string, ReplicaRecord>();
  private state: CommittedState | null = null;
  private configView: GatewayConfigView | null = null;

  constructor(
    private readonly clock: Clock,
    private readonly onChange: () => void,
  ) {}

  /** The committed state, or null before the first. */
  readonly committedState = (): CommittedState | null => this.state;
  /** The configuration's view, or null before the first. */
  readonly view = (): GatewayConfigView | null => this.configView;
  /** The log index of the committed state, or -1 before the first. */
  readonly logIndex = (): number => this.state?.logIndex ?? -1;
  /** All known replicas and stores. */
  readonly records = (): ReplicaRecord[] => [...this.replicaRecords.values()];
  /** One replica or store by name. */
  readonly record = (name: string): ReplicaRecord | undefined => this.replicaRecords.get(name);

  private readonly replaceState = (state: CommittedState): void => {
    this.state = state;
    this.configView = this.configIndexer.view(state);
    this.reindex();
    this.onChange();
  };

  /** Log index since which what a replica or store keeps is valid. */
  private readonly cacheEpochOf = (record: ReplicaRecord): number =>
    (record.kind === 'store' ? this.state?.storeSince[record.name] : this.state?.weightsSince[record.pool]) ?? 0;

  private readonly reindex = (): void => {
    this.index.reconcile(this.replicaRecords.values(), this.cacheEpochOf);
    this.tenantPartitions.align(this.replicaRecords.values(), this.state, this.clock.now());
  };

  /** Applies the change that follows the held state; false when it is another. */
  readonly applyChange = (logIndex: number, change: Change): boolean => {
    if (this.state === null || logIndex !== this.state.logIndex + 1) return false;
    this.replaceState(stateMachine.apply(this.state, change));
    return true;
  };

  /** Takes a whole committed state; false when it is not newer. */
  readonly applySnapshot = (state: CommittedState): boolean => {
    if (this.state !== null && state.logIndex <= this.state.logIndex) return false;
    this.replaceState(state);
    return true;
  };

  /** Takes replica records; of two records of a replica the newer one stays. */
  readonly applyReplicas = (records: readonly ReplicaRecord[]): void => {
    for (const record of records)
      this.replicaRecords.set(record.name, replicaRecords.merge(this.replicaRecords.get(record.name), record));
    this.reindex();
    this.onChange();
  };

  /** Takes the index of one replica as a whole. */
  readonly applyIndexSnapshot = (snapshot: PrefixIndexSnapshot): void =>
    void this.index.restore(snapshot, this.clock.now());

  /** Takes events of the replicas' prefix caches. */
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

  /** The replicas and the store whose cached prefixes a pool may use: made by its present weights, and no shared store while it serves isolated tenants. */
  readonly holdersIn = (poolName: string, store: string | null): ReplicaRecord[] => {
    const { state } = this;
    if (state === null) return [];
    const isStoreShared = stateMachine.servesIsolatedTenants(state.config, poolName);
    const isOfPool = (record: ReplicaRecord): boolean =>
      record.kind === 'replica' ? record.pool === poolName : record.name === store && !isStoreShared;
    return this.records().filter(
      (record) => record.state === 'ready' && isOfPool(record) && record.born >= this.cacheEpochOf(record),
    );
  };

  /** Isolated tenants to be admitted to replicas. */
  readonly pendingIsolationClaims = (): IsolationClaim[] => this.tenantPartitions.pendingClaims(this.clock.now());

  /** Takes what the control nodes know of the replicas' isolated tenants. */
  readonly applyIsolationStatuses = (statuses: readonly IsolationStatus[]): void => {
    for (const status of statuses)
      this.tenantPartitions.applyGrantedClaim(status, this.index.mayHaveEntries(status.replica), this.clock.now());
  };
}
