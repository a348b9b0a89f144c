import { Repeating } from '@martenworks/envelope';
import type { KvNews, Ports, ReplicaRecord } from '@martenworks/envelope';
import { kvFollow } from '@martenworks/courier';
import type { Follower } from '@martenworks/courier';
import { Pigeonhole } from '@martenworks/pigeonhole';
import type { ShelfCheckpoint } from '@martenworks/pigeonhole';

const bundleMs = 20;
const ageLimitMs = 3_600_000;

interface Followed {
  readonly incarnation: number;
  readonly follower: Follower;
}

export class KvDesk {
  private readonly index = new Pigeonhole(ageLimitMs);
  private readonly followed = new Map<string, Followed>();
  private bundle: KvNews[] = [];
  private readonly carrier: Repeating;

  constructor(
    private readonly ports: Ports,
    private readonly tell: (news: readonly KvNews[]) => void,
  ) {
    this.carrier = new Repeating(ports.clock, () => bundleMs, this.carry);
  }

  private readonly carry = (): void => {
    if (this.bundle.length === 0) return;
    const news = this.bundle;
    this.bundle = [];
    this.tell(news);
  };

  readonly align = (records: readonly ReplicaRecord[]): void => {
    this.index.reconcile(records, () => 0);
    const wanted = new Map(records.filter((record) => record.state !== 'gone').map((record) => [record.name, record]));
    for (const [name, followed] of this.followed) {
      if (wanted.get(name)?.incarnation === followed.incarnation) continue;
      followed.follower.stop();
      this.followed.delete(name);
    }
    for (const record of wanted.values()) {
      if (this.followed.has(record.name)) continue;
      const { carriage, clock, random, log } = this.ports;
      const follower = kvFollow.follow(carriage, clock, random, log, record.name, record.address, () => this.index.seqOf(record.name, record.incarnation), this.take);
      this.followed.set(record.name, { incarnation: record.incarnation, follower });
    }
  };

  private readonly take = (news: KvNews): void => {
    this.index.take(news, this.ports.clock.now());
    this.bundle.push(news);
  };

  readonly shelves = (): ShelfCheckpoint[] => this.index.checkpoint(this.ports.clock.now()).filter((shelf) => shelf.seq > 0);

  readonly sizes = (): ReturnType<Pigeonhole['sizes']> => this.index.sizes();

  readonly stop = (): void => {
    this.carrier.stop();
    for (const followed of this.followed.values()) followed.follower.stop();
  };
}
