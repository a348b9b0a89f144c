import type { KvNews, ReplicaRecord } from '@martenworks/core-types';
import { DenseIndex } from '@martenworks/core-types';

const wildTenant = -2;
const sharedTenant = -1;

interface Entry {
  tenant: number;
  bornAt: number;
}

interface Shelf {
  incarnation: number;
  seq: number;
  era: number;
  isWhole: boolean;
  scopes: Set<number>;
  blocks: Map<string, Entry>;
}

export interface Kept {
  readonly blockCount: number;
  readonly isNameable: boolean;
}

export interface ShelfCheckpoint {
  readonly replica: string;
  readonly incarnation: number;
  readonly seq: number;
  readonly isWhole: boolean;
  readonly scopes: readonly string[];
  readonly blocks: readonly (readonly [string, string, number])[];
}

const keptMaximum = 200_000;

export class Pigeonhole {
  private readonly shelves = new Map<string, Shelf>();
  private readonly tenants = new DenseIndex();

  constructor(private readonly ageLimitMs: number) {}

  private readonly tenantIndex = (tenant: string | null | undefined): number => {
    if (tenant === undefined) return wildTenant;
    return tenant === null ? sharedTenant : this.tenants.indexOf(tenant);
  };

  readonly reconcile = (records: Iterable<ReplicaRecord>, eraOf: (record: ReplicaRecord) => number): void => {
    const seen = new Set<string>();
    for (const record of records) {
      if (record.state === 'gone') continue;
      seen.add(record.name);
      const era = eraOf(record);
      const shelf = this.shelves.get(record.name);
      if (shelf === undefined || shelf.incarnation < record.incarnation) {
        this.shelves.set(record.name, {
          incarnation: record.incarnation,
          seq: 0,
          era,
          isWhole: true,
          scopes: new Set(),
          blocks: new Map(),
        });
        continue;
      }
      if (shelf.era === era) continue;
      shelf.era = era;
      shelf.blocks.clear();
    }
    for (const name of [...this.shelves.keys()]) if (!seen.has(name)) this.shelves.delete(name);
  };

  readonly take = (news: KvNews, now: number): void => {
    const shelf = this.shelves.get(news.replica);
    if (shelf === undefined || news.incarnation !== shelf.incarnation) return;
    if (news.kind === 'hello') {
      if (news.seq >= shelf.seq) return;
      shelf.blocks.clear();
      shelf.seq = 0;
      shelf.isWhole = false;
      return;
    }
    if (news.seq <= shelf.seq) return;
    if (news.seq !== shelf.seq + 1) {
      shelf.blocks.clear();
      shelf.isWhole = false;
    }
    shelf.seq = news.seq;
    if (news.kind === 'cleared') {
      shelf.blocks.clear();
      shelf.scopes.clear();
      shelf.isWhole = true;
      return;
    }
    if (news.kind === 'removed') {
      for (const block of news.blocks) shelf.blocks.delete(block);
      return;
    }
    const tenant = this.tenantIndex(news.tenant);
    shelf.scopes.add(tenant);
    for (const block of news.blocks) {
      const held = shelf.blocks.get(block);
      if (held !== undefined && held.tenant !== tenant) held.tenant = wildTenant;
      else shelf.blocks.set(block, { tenant, bornAt: now });
    }
    if (shelf.blocks.size > keptMaximum) {
      shelf.blocks.clear();
      shelf.isWhole = false;
    }
  };

  readonly kept = (replica: string, blocks: readonly string[], isolatedTenant: string | null, now: number): Kept => {
    const shelf = this.shelves.get(replica);
    if (shelf === undefined) return { blockCount: 0, isNameable: false };
    const tenant = this.tenantIndex(isolatedTenant);
    let blockCount = 0;
    for (const block of blocks) {
      const entry = shelf.blocks.get(block);
      if (entry === undefined || entry.tenant !== tenant) break;
      if (now - entry.bornAt > this.ageLimitMs) {
        shelf.blocks.delete(block);
        break;
      }
      blockCount += 1;
    }
    const isUnmixed = shelf.isWhole && [...shelf.scopes].every((scope) => scope === tenant);
    return { blockCount, isNameable: blockCount > 0 && isUnmixed };
  };

  readonly checkpoint = (now: number): ShelfCheckpoint[] =>
    [...this.shelves].map(([replica, shelf]) => ({
      replica,
      incarnation: shelf.incarnation,
      seq: shelf.seq,
      isWhole: shelf.isWhole,
      scopes: [...shelf.scopes].map(this.tenantName),
      blocks: [...shelf.blocks].map(([block, entry]) => [block, this.tenantName(entry.tenant), now - entry.bornAt]),
    }));

  readonly restore = (checkpoint: ShelfCheckpoint, now: number): boolean => {
    const shelf = this.shelves.get(checkpoint.replica);
    if (shelf === undefined || shelf.incarnation !== checkpoint.incarnation) return false;
    const isRepair = checkpoint.isWhole && !shelf.isWhole && checkpoint.seq >= shelf.seq;
    if (checkpoint.seq <= shelf.seq && !isRepair) return false;
    shelf.seq = checkpoint.seq;
    shelf.isWhole = checkpoint.isWhole;
    shelf.scopes = new Set(checkpoint.scopes.map(this.tenantNumber));
    shelf.blocks = new Map(
      checkpoint.blocks.map(([block, tenant, age]) => [
        block,
        { tenant: this.tenantNumber(tenant), bornAt: now - age },
      ]),
    );
    return true;
  };

  private readonly tenantName = (tenant: number): string =>
    tenant === wildTenant ? '?' : tenant === sharedTenant ? '' : this.tenants.nameOf(tenant);

  private readonly tenantNumber = (name: string): number =>
    name === '?' ? wildTenant : name === '' ? sharedTenant : this.tenants.indexOf(name);

  readonly sizes = (): {
    replica: string;
    incarnation: number;
    seq: number;
    blocks: number;
    isWhole: boolean;
    scopes: string[];
  }[] =>
    [...this.shelves].map(([replica, shelf]) => ({
      replica,
      incarnation: shelf.incarnation,
      seq: shelf.seq,
      blocks: shelf.blocks.size,
      isWhole: shelf.isWhole,
      scopes: [...shelf.scopes].map(this.tenantName),
    }));

  readonly broken = (): string[] => [...this.shelves].filter(([, shelf]) => !shelf.isWhole).map(([name]) => name);

  readonly isUsed = (replica: string): boolean => {
    const shelf = this.shelves.get(replica);
    return shelf === undefined || !shelf.isWhole || shelf.seq > 0;
  };

  readonly seqOf = (replica: string, incarnation: number): number => {
    const shelf = this.shelves.get(replica);
    return shelf !== undefined && shelf.incarnation === incarnation ? shelf.seq : 0;
  };
}
