import type { KvNews, ReplicaRecord } from '@martenworks/envelope';
import { DenseIndex } from '@martenworks/envelope';

const wildTenant = -2;
const sharedTenant = -1;

interface Entry {
  tenant: number;
  bornAt: number;
}

interface Shelf {
  incarnation: number;
  seq: number;
  weights: string | null;
  isMixed: boolean;
  isWhole: boolean;
  isolated: Set<number>;
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
  readonly isolated: readonly string[];
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

  readonly reconcile = (records: Iterable<ReplicaRecord>, weightsOf: (record: ReplicaRecord) => string | null): void => {
    const seen = new Set<string>();
    for (const record of records) {
      if (record.state === 'gone') continue;
      seen.add(record.name);
      const weights = weightsOf(record);
      const shelf = this.shelves.get(record.name);
      if (shelf === undefined || shelf.incarnation < record.incarnation) {
        const isPure = record.weights === null || record.weights === weights;
        this.shelves.set(record.name, { incarnation: record.incarnation, seq: 0, weights, isMixed: !isPure, isWhole: true, isolated: new Set(), blocks: new Map() });
        continue;
      }
      if (shelf.weights !== weights) {
        shelf.weights = weights;
        shelf.isMixed = true;
        shelf.blocks.clear();
      }
    }
    for (const name of [...this.shelves.keys()]) if (!seen.has(name)) this.shelves.delete(name);
  };

  readonly take = (news: KvNews, now: number): void => {
    const shelf = this.shelves.get(news.replica);
    if (shelf === undefined || news.incarnation !== shelf.incarnation || news.seq <= shelf.seq) return;
    if (news.seq !== shelf.seq + 1) {
      shelf.blocks.clear();
      shelf.isWhole = false;
    }
    shelf.seq = news.seq;
    if (news.kind === 'cleared') {
      shelf.blocks.clear();
      shelf.isolated.clear();
      shelf.isWhole = true;
      return;
    }
    if (news.kind === 'removed') {
      for (const block of news.blocks) shelf.blocks.delete(block);
      return;
    }
    const tenant = this.tenantIndex(news.tenant);
    if (tenant !== sharedTenant) shelf.isolated.add(tenant);
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

  readonly kept = (replica: string, blocks: readonly string[], isolatedTenant: string | null, weights: string, now: number): Kept => {
    const shelf = this.shelves.get(replica);
    if (shelf === undefined || shelf.weights !== weights) return { blockCount: 0, isNameable: false };
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
    const isForeign = [...shelf.isolated].some((one) => one !== tenant);
    const isSharedHere = tenant !== sharedTenant && blocks.some((block) => shelf.blocks.get(block)?.tenant === sharedTenant);
    return { blockCount, isNameable: blockCount > 0 && !shelf.isMixed && shelf.isWhole && !isForeign && !isSharedHere };
  };

  readonly checkpoint = (now: number): ShelfCheckpoint[] =>
    [...this.shelves].map(([replica, shelf]) => ({
      replica,
      incarnation: shelf.incarnation,
      seq: shelf.seq,
      isWhole: shelf.isWhole,
      isolated: [...shelf.isolated].map(this.tenantName),
      blocks: [...shelf.blocks].map(([block, entry]) => [block, this.tenantName(entry.tenant), now - entry.bornAt]),
    }));

  readonly restore = (checkpoint: ShelfCheckpoint, now: number): void => {
    const shelf = this.shelves.get(checkpoint.replica);
    if (shelf === undefined || shelf.incarnation !== checkpoint.incarnation || shelf.seq >= checkpoint.seq) return;
    shelf.seq = checkpoint.seq;
    shelf.isWhole = checkpoint.isWhole;
    shelf.isolated = new Set(checkpoint.isolated.map(this.tenantNumber));
    shelf.blocks = new Map(checkpoint.blocks.map(([block, tenant, age]) => [block, { tenant: this.tenantNumber(tenant), bornAt: now - age }]));
  };

  private readonly tenantName = (tenant: number): string => (tenant === wildTenant ? '?' : tenant === sharedTenant ? '' : this.tenants.nameOf(tenant));

  private readonly tenantNumber = (name: string): number => (name === '?' ? wildTenant : name === '' ? sharedTenant : this.tenants.indexOf(name));

  readonly sizes = (): { replica: string; incarnation: number; seq: number; blocks: number; weights: string | null; isMixed: boolean }[] =>
    [...this.shelves].map(([replica, shelf]) => ({
      replica,
      incarnation: shelf.incarnation,
      seq: shelf.seq,
      blocks: shelf.blocks.size,
      weights: shelf.weights,
      isMixed: shelf.isMixed,
    }));

  readonly seqOf = (replica: string, incarnation: number): number => {
    const shelf = this.shelves.get(replica);
    return shelf !== undefined && shelf.incarnation === incarnation ? shelf.seq : 0;
  };
}
