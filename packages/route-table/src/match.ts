import { DenseIndex } from '@martenworks/core-types';
import type { Customer, Way, WayBook, WayPool } from '@martenworks/core-types';

export interface WayView {
  readonly index: number;
  readonly way: Way;
  readonly mayRepeat: boolean;
}

export interface BookView {
  readonly book: WayBook;
  readonly edition: number;
  readonly isKeyed: boolean;
  readonly match: (host: string, path: string) => WayView | null;
  readonly holderOf: (keyHash: string) => Customer | null;
  readonly pool: (name: string) => WayPool | null;
}

const hostNameOf = (host: string): string => host.toLowerCase().replace(/:\d+$/, '');

export class BookDoor {
  private readonly wayNames = new DenseIndex();

  readonly view = (edition: number, book: WayBook): BookView => {
    const byHost = new Map<string, WayView[]>();
    for (const way of book.ways) {
      const host = hostNameOf(way.host);
      const views = byHost.get(host) ?? [];
      views.push({
        index: this.wayNames.indexOf(way.name),
        way,
        mayRepeat: way.kind === 'repeatable' || (way.kind === 'stream' && way.mayResume),
      });
      byHost.set(host, views);
    }
    for (const views of byHost.values()) views.sort((a, b) => b.way.pathStart.length - a.way.pathStart.length);
    const holders = new Map<string, Customer>();
    for (const customer of book.customers ?? []) for (const hash of customer.keyHashes) holders.set(hash, customer);
    const pools = new Map(book.pools.map((pool) => [pool.name, pool]));
    return {
      book,
      edition,
      isKeyed: book.customers !== null,
      match: (host, path) => byHost.get(hostNameOf(host))?.find((view) => path.startsWith(view.way.pathStart)) ?? null,
      holderOf: (keyHash) => holders.get(keyHash) ?? null,
      pool: (name) => pools.get(name) ?? null,
    };
  };
}

export const shares = {
  draw: (way: Way, fraction: number): string => {
    const total = way.shares.reduce((sum, one) => sum + one.share, 0);
    let left = fraction * total;
    for (const { pool, share } of way.shares) {
      if (share <= 0) continue;
      left -= share;
      if (left < 0) return pool;
    }
    return way.shares.findLast((one) => one.share > 0)?.pool ?? '';
  },
};
