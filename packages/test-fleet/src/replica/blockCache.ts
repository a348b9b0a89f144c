/** The KV cache blocks of an emulated replica, with least-recently-used eviction. */
import type { CacheEventLog } from './cacheEventLog.js';

/** The weights that computed a block, and the isolated tenant that owns it; null if it is shared. */
export interface CachedCopy {
  readonly weights: string;
  readonly scope: string | null;
}

const isSame = (a: CachedCopy, b: CachedCopy): boolean => a.weights === b.weights && a.scope === b.scope;

/** Publishes an event for each store and eviction. */
export class BlockCache {
  private readonly copies = new Map<string, CachedCopy[]>();

  constructor(
    private readonly capacityBlocks: number,
    private readonly events: CacheEventLog,
  ) {}

  /** Returns one copy of each block of the longest cached prefix. */
  readonly prefix = (blocks: readonly string[]): CachedCopy[] => {
    const copies: CachedCopy[] = [];
    for (const block of blocks) {
      const copy = this.copies.get(block)?.[0];
      if (copy === undefined) break;
      copies.push(copy);
    }
    return copies;
  };

  /**
   * Returns the number of leading blocks that are cached with the same weights and scope, and marks them as recently
   * used.
   */
  readonly touchPrefix = (blocks: readonly string[], wanted: CachedCopy): number => {
    let count = 0;
    for (const block of blocks) {
      const copies = this.copies.get(block);
      if (copies === undefined || !copies.some((copy) => isSame(copy, wanted))) break;
      this.copies.delete(block);
      this.copies.set(block, copies);
      count += 1;
    }
    return count;
  };

  /** Stores the blocks, and evicts the least recently used ones beyond the capacity. */
  readonly store = (blocks: readonly string[], copy: CachedCopy): void => {
    const added: string[] = [];
    for (const block of blocks) {
      const copies = this.copies.get(block) ?? [];
      if (copies.some((existing) => isSame(existing, copy))) continue;
      this.copies.set(block, [...copies, copy]);
      added.push(block);
    }
    if (added.length > 0) this.events.publish('stored', copy.scope, added);
    this.evict();
  };

  private readonly evict = (): void => {
    const evicted: string[] = [];
    for (const block of this.copies.keys()) {
      if (this.copies.size <= this.capacityBlocks) break;
      this.copies.delete(block);
      evicted.push(block);
    }
    if (evicted.length > 0) this.events.publish('removed', null, evicted);
  };
}
