/** The blocks of KV cache that an emulated replica keeps, least recently used first out. */
import type { CacheEventLog } from './cacheEventLog.js';

/** The weights that made a block, and the isolated tenant whose it is; null: shared. */
export interface CachedCopy {
  readonly weights: string;
  readonly scope: string | null;
}

const isSame = (a: CachedCopy, b: CachedCopy): boolean => a.weights === b.weights && a.scope === b.scope;

/** Publishes an event for what it stores and evicts. */
export class BlockCache {
  private readonly copies = new Map<string, CachedCopy[]>();

  constructor(
    private readonly capacityBlocks: number,
    private readonly events: CacheEventLog,
  ) {}

  /** A copy of each block from the first on, up to the first that is not kept. */
  readonly prefix = (blocks: readonly string[]): CachedCopy[] => {
    const copies: CachedCopy[] = [];
    for (const block of blocks) {
      const copy = this.copies.get(block)?.[0];
      if (copy === undefined) break;
      copies.push(copy);
    }
    return copies;
  };

  /** How many blocks from the first on are kept in just that copy; they count as used now. */
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

  /** Keeps the blocks, and evicts the least recently used beyond the capacity. */
  readonly store = (blocks: readonly string[], copy: CachedCopy): void => {
    const added: string[] = [];
    for (const block of blocks) {
      const copies = this.copies.get(block) ?? [];
      if (copies.some((one) => isSame(one, copy))) continue;
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
