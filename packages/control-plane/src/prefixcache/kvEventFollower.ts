/** Follows the cache events of replicas for gateways: each replica by the control node that holds its lease. */
import { RepeatingTimer } from '@martenworks/core-types';
import type { KvCacheEvent, Ports, ReplicaRecord } from '@martenworks/core-types';
import { kvEvents } from '@martenworks/upstream';
import type { KvEventSubscription } from '@martenworks/upstream';
import { PrefixIndex } from '@martenworks/prefix-index';
import type { PrefixIndexSnapshot } from '@martenworks/prefix-index';
import { FenceGate } from '@martenworks/cluster-membership';

const bundleMs = 20;
const ageLimitMs = 3_600_000;

/** Events that another control node followed, with the fencing token of its lease for each replica. */
export interface RelayedKvEvents {
  readonly fences: Record<string, number>;
  readonly events: readonly KvCacheEvent[];
}

interface Followed {
  readonly incarnation: number;
  readonly follower: KvEventSubscription;
}

/** Keeps the prefix index, sends gateways its events in bundles, and relays them to the other control nodes. */
export class KvEventFollower {
  private readonly index = new PrefixIndex(ageLimitMs);
  private readonly followed = new Map<string, Followed>();
  private readonly gate = new FenceGate();
  private bundle: KvCacheEvent[] = [];
  private readonly bundleTimer: RepeatingTimer;

  constructor(
    private readonly ports: Ports,
    private readonly tell: (update: readonly KvCacheEvent[]) => void,
    private readonly relay: (relayed: RelayedKvEvents) => void,
    private readonly fenceOf: (replica: string) => number | null,
  ) {
    this.bundleTimer = new RepeatingTimer(ports.clock, () => bundleMs, this.sendBundle);
  }

  private readonly sendBundle = (): void => {
    if (this.bundle.length === 0) return;
    const update = this.bundle;
    this.bundle = [];
    this.tell(update);
    const fences: Record<string, number> = {};
    for (const { replica } of update) {
      const fence = this.fenceOf(replica);
      if (fence !== null) fences[replica] = fence;
    }
    this.relay({ fences, events: update });
  };

  /** Takes in another node's events; those under a fencing token below the highest one seen are dropped. */
  readonly takeRelayed = ({ fences, events: update }: RelayedKvEvents): void => {
    const now = this.ports.clock.now();
    const admitted = update.filter(
      ({ replica }) => fences[replica] !== undefined && this.gate.admits(replica, fences[replica]),
    );
    for (const one of admitted) this.index.apply(one, now);
    if (admitted.length > 0) this.tell(admitted);
  };

  /** Replicas whose events have a gap, so that a whole index is needed. */
  readonly broken = (): string[] => this.index.incompleteReplicas();

  /** Restores whole indexes and gives those that were newer than the own ones. */
  readonly takeSnapshots = (snapshots: readonly PrefixIndexSnapshot[]): PrefixIndexSnapshot[] =>
    snapshots.filter((snapshot) => this.index.restore(snapshot, this.ports.clock.now()));

  /** Follows exactly the replicas that are present and whose lease this node holds. */
  readonly align = (records: readonly ReplicaRecord[]): void => {
    this.index.reconcile(records, () => 0);
    const wanted = new Map(
      records
        .filter((record) => record.state !== 'gone' && this.fenceOf(record.name) !== null)
        .map((record) => [record.name, record]),
    );
    for (const [name, followed] of this.followed) {
      if (wanted.get(name)?.incarnation === followed.incarnation) continue;
      followed.follower.stop();
      this.followed.delete(name);
    }
    for (const record of wanted.values()) {
      if (this.followed.has(record.name)) continue;
      const { httpClient, clock, random, log } = this.ports;
      const follower = kvEvents.subscribe(
        httpClient,
        clock,
        random,
        log,
        record.name,
        record.address,
        () => this.index.lastSeqOf(record.name, record.incarnation),
        this.take,
      );
      this.followed.set(record.name, { incarnation: record.incarnation, follower });
    }
  };

  private readonly take = (update: KvCacheEvent): void => {
    if (this.fenceOf(update.replica) === null) return;
    this.index.apply(update, this.ports.clock.now());
    this.bundle.push(update);
  };

  /** Whole indexes of the named replicas; of all that have events where no names are given. */
  readonly snapshots = (names: readonly string[] | null = null): PrefixIndexSnapshot[] =>
    this.index
      .snapshot(this.ports.clock.now())
      .filter((snapshot) => (names === null ? snapshot.seq > 0 : names.includes(snapshot.replica) && snapshot.isWhole));

  /** Number of replicas that this node follows. */
  readonly followedCount = (): number => this.followed.size;

  /** Sizes of the index, for the status page. */
  readonly sizes = (): ReturnType<PrefixIndex['sizes']> => this.index.sizes();

  /** Ends the following and the sending of bundles. */
  readonly stop = (): void => {
    this.bundleTimer.stop();
    for (const followed of this.followed.values()) followed.follower.stop();
  };
}
