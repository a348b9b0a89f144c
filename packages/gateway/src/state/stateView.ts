import { stateMachine, replicas } from '@martenworks/core-types';
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

const keptAgeLimitMs = 600_000;

export class StateView {
  readonly index = new PrefixIndex(keptAgeLimitMs);
  readonly tenantPartitions = new TenantPartitions();
  private readonly door = new GatewayConfigIndexer();
  private readonly held = new Map<string, ReplicaRecord>();
  private state: CommittedState | null = null;
  private shown: GatewayConfigView | null = null;

  constructor(
    private readonly clock: Clock,
    private readonly changed: () => void,
  ) {}

  readonly agreed = (): CommittedState | null => this.state;
  readonly view = (): GatewayConfigView | null => this.shown;
  readonly logIndex = (): number => this.state?.logIndex ?? -1;
  readonly records = (): ReplicaRecord[] => [...this.held.values()];
  readonly record = (name: string): ReplicaRecord | undefined => this.held.get(name);

  private readonly show = (state: CommittedState): void => {
    this.state = state;
    this.shown = this.door.view(state);
    this.reindex();
    this.changed();
  };

  private readonly eraOf = (record: ReplicaRecord): number =>
    (record.kind === 'store' ? this.state?.storeSince[record.name] : this.state?.weightsSince[record.pool]) ?? 0;

  private readonly reindex = (): void => {
    this.index.reconcile(this.held.values(), this.eraOf);
    this.tenantPartitions.align(this.held.values(), this.state, this.clock.now());
  };

  readonly takeChange = (logIndex: number, change: Change): boolean => {
    if (this.state === null || logIndex !== this.state.logIndex + 1) return false;
    this.show(stateMachine.apply(this.state, change));
    return true;
  };

  readonly takeSnapshot = (state: CommittedState): boolean => {
    if (this.state !== null && state.logIndex <= this.state.logIndex) return false;
    this.show(state);
    return true;
  };

  readonly takeReplicas = (told: readonly ReplicaRecord[]): void => {
    for (const record of told) this.held.set(record.name, replicas.merge(this.held.get(record.name), record));
    this.reindex();
    this.changed();
  };

  readonly takeIndexSnapshot = (snapshot: PrefixIndexSnapshot): void =>
    void this.index.restore(snapshot, this.clock.now());

  readonly takeKv = (update: readonly KvCacheEvent[]): void => {
    const now = this.clock.now();
    for (const one of update) this.index.take(one, now);
  };

  readonly inPool = (poolName: string): ReplicaRecord[] =>
    this.records().filter(
      (record) =>
        record.pool === poolName &&
        record.kind === 'replica' &&
        record.state === 'ready' &&
        record.born <= this.logIndex(),
    );

  readonly holdersIn = (poolName: string, store: string | null): ReplicaRecord[] => {
    const { state } = this;
    if (state === null) return [];
    const isStoreShared = stateMachine.servesIsolated(state.config, poolName);
    const isOfPool = (record: ReplicaRecord): boolean =>
      record.kind === 'replica' ? record.pool === poolName : record.name === store && !isStoreShared;
    return this.records().filter(
      (record) => record.state === 'ready' && isOfPool(record) && record.born >= this.eraOf(record),
    );
  };

  readonly sidesWanted = (): IsolationClaim[] => this.tenantPartitions.wanted(this.clock.now());

  readonly sidesAdmitted = (standings: readonly IsolationStatus[]): void => {
    for (const one of standings) this.tenantPartitions.admitted(one, this.index.isUsed(one.replica), this.clock.now());
  };
}
