import { Repeating } from '@martenworks/core-types';
import type { KvNews, Ports, ReplicaRecord } from '@martenworks/core-types';
import { kvFollow } from '@martenworks/upstream';
import type { Follower } from '@martenworks/upstream';
import { Pigeonhole } from '@martenworks/prefix-index';
import type { ShelfCheckpoint } from '@martenworks/prefix-index';
import { FenceGate } from '@martenworks/cluster-membership';

const bundleMs = 20;
const ageLimitMs = 3_600_000;

export interface RelayedKv {
  readonly fences: Record<string, number>;
  readonly news: readonly KvNews[];
}

interface Followed {
  readonly incarnation: number;
  readonly follower: Follower;
}

export class KvDesk {
  private readonly index = new Pigeonhole(ageLimitMs);
  private readonly followed = new Map<string, Followed>();
  private readonly gate = new FenceGate();
  private bundle: KvNews[] = [];
  private readonly carrier: Repeating;

  constructor(
    private readonly ports: Ports,
    private readonly tell: (news: readonly KvNews[]) => void,
    private readonly relay: (relayed: RelayedKv) => void,
    private readonly fenceOf: (replica: string) => number | null,
  ) {
    this.carrier = new Repeating(ports.clock, () => bundleMs, this.carry);
  }

  private readonly carry = (): void => {
    if (this.bundle.length === 0) return;
    const news = this.bundle;
    this.bundle = [];
    this.tell(news);
    const fences: Record<string, number> = {};
    for (const { replica } of news) {
      const fence = this.fenceOf(replica);
      if (fence !== null) fences[replica] = fence;
    }
    this.relay({ fences, news });
  };

  readonly takeRelayed = ({ fences, news }: RelayedKv): void => {
    const now = this.ports.clock.now();
    const admitted = news.filter(
      ({ replica }) => fences[replica] !== undefined && this.gate.admits(replica, fences[replica]),
    );
    for (const one of admitted) this.index.take(one, now);
    if (admitted.length > 0) this.tell(admitted);
  };

  readonly broken = (): string[] => this.index.broken();

  readonly takeShelves = (shelves: readonly ShelfCheckpoint[]): ShelfCheckpoint[] =>
    shelves.filter((shelf) => this.index.restore(shelf, this.ports.clock.now()));

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
      const { carriage, clock, random, log } = this.ports;
      const follower = kvFollow.follow(
        carriage,
        clock,
        random,
        log,
        record.name,
        record.address,
        () => this.index.seqOf(record.name, record.incarnation),
        this.take,
      );
      this.followed.set(record.name, { incarnation: record.incarnation, follower });
    }
  };

  private readonly take = (news: KvNews): void => {
    if (this.fenceOf(news.replica) === null) return;
    this.index.take(news, this.ports.clock.now());
    this.bundle.push(news);
  };

  readonly shelves = (names: readonly string[] | null = null): ShelfCheckpoint[] =>
    this.index
      .checkpoint(this.ports.clock.now())
      .filter((shelf) => (names === null ? shelf.seq > 0 : names.includes(shelf.replica) && shelf.isWhole));

  readonly followedCount = (): number => this.followed.size;

  readonly sizes = (): ReturnType<Pigeonhole['sizes']> => this.index.sizes();

  readonly stop = (): void => {
    this.carrier.stop();
    for (const followed of this.followed.values()) followed.follower.stop();
  };
}
