import { agreed as agreedState, replicas } from '@martenworks/core-types';
import type { Agreed, Change, Clock, KvNews, ReplicaRecord, SideClaim, SideStanding } from '@martenworks/core-types';
import { Pigeonhole, Quarters } from '@martenworks/prefix-index';
import type { ShelfCheckpoint } from '@martenworks/prefix-index';
import { Door } from './layoutView.js';
import type { LayoutView } from './layoutView.js';

const keptAgeLimitMs = 600_000;

export class Book {
  readonly index = new Pigeonhole(keptAgeLimitMs);
  readonly quarters = new Quarters();
  private readonly door = new Door();
  private readonly held = new Map<string, ReplicaRecord>();
  private state: Agreed | null = null;
  private shown: LayoutView | null = null;

  constructor(
    private readonly clock: Clock,
    private readonly changed: () => void,
  ) {}

  readonly agreed = (): Agreed | null => this.state;
  readonly view = (): LayoutView | null => this.shown;
  readonly generation = (): number => this.state?.generation ?? -1;
  readonly records = (): ReplicaRecord[] => [...this.held.values()];
  readonly record = (name: string): ReplicaRecord | undefined => this.held.get(name);

  private readonly show = (state: Agreed): void => {
    this.state = state;
    this.shown = this.door.view(state);
    this.reindex();
    this.changed();
  };

  private readonly eraOf = (record: ReplicaRecord): number =>
    (record.kind === 'store' ? this.state?.storeSince[record.name] : this.state?.weightsSince[record.pool]) ?? 0;

  private readonly reindex = (): void => {
    this.index.reconcile(this.held.values(), this.eraOf);
    this.quarters.align(this.held.values(), this.state, this.clock.now());
  };

  readonly takeChange = (generation: number, change: Change): boolean => {
    if (this.state === null || generation !== this.state.generation + 1) return false;
    this.show(agreedState.apply(this.state, change));
    return true;
  };

  readonly takeCheckpoint = (state: Agreed): boolean => {
    if (this.state !== null && state.generation <= this.state.generation) return false;
    this.show(state);
    return true;
  };

  readonly takeReplicas = (told: readonly ReplicaRecord[]): void => {
    for (const record of told) this.held.set(record.name, replicas.merge(this.held.get(record.name), record));
    this.reindex();
    this.changed();
  };

  readonly takeShelf = (shelf: ShelfCheckpoint): void => void this.index.restore(shelf, this.clock.now());

  readonly takeKv = (news: readonly KvNews[]): void => {
    const now = this.clock.now();
    for (const one of news) this.index.take(one, now);
  };

  readonly inPool = (poolName: string): ReplicaRecord[] =>
    this.records().filter(
      (record) =>
        record.pool === poolName &&
        record.kind === 'replica' &&
        record.state === 'ready' &&
        record.born <= this.generation(),
    );

  readonly holdersIn = (poolName: string, store: string | null): ReplicaRecord[] => {
    const { state } = this;
    if (state === null) return [];
    const isStoreShared = agreedState.servesIsolated(state.layout, poolName);
    const isOfPool = (record: ReplicaRecord): boolean =>
      record.kind === 'replica' ? record.pool === poolName : record.name === store && !isStoreShared;
    return this.records().filter(
      (record) => record.state === 'ready' && isOfPool(record) && record.born >= this.eraOf(record),
    );
  };

  readonly sidesWanted = (): SideClaim[] => this.quarters.wanted(this.clock.now());

  readonly sidesAdmitted = (standings: readonly SideStanding[]): void => {
    for (const one of standings) this.quarters.admitted(one, this.index.isUsed(one.replica), this.clock.now());
  };
}
