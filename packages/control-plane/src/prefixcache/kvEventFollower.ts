/** Follows the KV cache events of replicas for gateways. Each replica is followed by the holder of its lease. */
import { RepeatingTimer } from '@martenworks/core-types';
import type { KvCacheEvent, Ports, ReplicaRecord } from '@martenworks/core-types';
import { kvEvents } from '@martenworks/upstream';
import type { KvEventSubscription } from '@martenworks/upstream';
import { PrefixIndex } from '@martenworks/prefix-index';
import type { PrefixIndexSnapshot } from '@martenworks/prefix-index';
import { FencingTokenCheck } from '@martenworks/cluster-membership';

const batchIntervalMs = 20;
const maxAgeMs = 3_600_000;

/** Events from another control node, with the fencing token of its lease on each replica. */
export interface RelayedKvEvents {
  readonly fences: Record<string, number>;
  readonly events: readonly KvCacheEvent[];
}

interface Followed {
  readonly incarnation: number;
  readonly subscription: KvEventSubscription;
}

/** Maintains the prefix index, sends its events to gateways in batches, and relays them to other control nodes. */
export class KvEventFollower {
  private readonly index = new PrefixIndex(maxAgeMs);
  private readonly followed = new Map<string, Followed>();
  private readonly tokenCheck = new FencingTokenCheck();
  private batch: KvCacheEvent[] = [];
  private readonly batchTimer: RepeatingTimer;

  constructor(
    private readonly ports: Ports,
    private readonly sendToGateways: (events: readonly KvCacheEvent[]) => void,
    private readonly relay: (relayed: RelayedKvEvents) => void,
    private readonly fencingTokenOf: (replica: string) => number | null,
  ) {
    this.batchTimer = new RepeatingTimer(ports.clock, () => batchIntervalMs, this.sendBatch);
  }

  private readonly sendBatch = (): void => {
    if (this.batch.length === 0) return;
    const events = this.batch;
    this.batch = [];
    this.sendToGateways(events);
    const fences: Record<string, number> = {};
    for (const { replica } of events) {
      const fence = this.fencingTokenOf(replica);
      if (fence !== null) fences[replica] = fence;
    }
    this.relay({ fences, events });
  };

  /** Applies events from another control node; those with a fencing token below the highest one seen are dropped. */
  readonly applyRelayed = ({ fences, events }: RelayedKvEvents): void => {
    const now = this.ports.clock.now();
    const accepted = events.filter(
      ({ replica }) => fences[replica] !== undefined && this.tokenCheck.accepts(replica, fences[replica]),
    );
    for (const event of accepted) this.index.apply(event, now);
    if (accepted.length > 0) this.sendToGateways(accepted);
  };

  /** Returns the replicas whose events have a gap, so that a full index snapshot is needed. */
  readonly replicasWithGaps = (): string[] => this.index.incompleteReplicas();

  /** Restores index snapshots, and returns those that were newer than the index of this node. */
  readonly restoreSnapshots = (snapshots: readonly PrefixIndexSnapshot[]): PrefixIndexSnapshot[] =>
    snapshots.filter((snapshot) => this.index.restore(snapshot, this.ports.clock.now()));

  /** Follows exactly those replicas that are not removed and whose lease this node holds. */
  readonly reconcile = (records: readonly ReplicaRecord[]): void => {
    this.index.reconcile(records, () => 0);
    const wanted = new Map(
      records
        .filter((record) => record.state !== 'gone' && this.fencingTokenOf(record.name) !== null)
        .map((record) => [record.name, record]),
    );
    for (const [name, followed] of this.followed) {
      if (wanted.get(name)?.incarnation === followed.incarnation) continue;
      followed.subscription.stop();
      this.followed.delete(name);
    }
    for (const record of wanted.values()) {
      if (this.followed.has(record.name)) continue;
      const { httpClient, clock, random, log } = this.ports;
      const subscription = kvEvents.subscribe(
        httpClient,
        clock,
        random,
        log,
        record.name,
        record.address,
        () => this.index.lastSeqOf(record.name, record.incarnation),
        this.handleEvent,
      );
      this.followed.set(record.name, { incarnation: record.incarnation, subscription });
    }
  };

  private readonly handleEvent = (event: KvCacheEvent): void => {
    if (this.fencingTokenOf(event.replica) === null) return;
    this.index.apply(event, this.ports.clock.now());
    this.batch.push(event);
  };

  /** Returns the complete index snapshots of the named replicas, or without names those of all replicas with events. */
  readonly snapshots = (names: readonly string[] | null = null): PrefixIndexSnapshot[] =>
    this.index
      .snapshot(this.ports.clock.now())
      .filter((snapshot) => (names === null ? snapshot.seq > 0 : names.includes(snapshot.replica) && snapshot.isWhole));

  /** Returns the number of replicas that this node follows. */
  readonly followedCount = (): number => this.followed.size;

  /** Returns the sizes of the index, for the status page. */
  readonly sizes = (): ReturnType<PrefixIndex['sizes']> => this.index.sizes();

  /** Stops following replicas and sending batches. */
  readonly stop = (): void => {
    this.batchTimer.stop();
    for (const followed of this.followed.values()) followed.subscription.stop();
  };
}
