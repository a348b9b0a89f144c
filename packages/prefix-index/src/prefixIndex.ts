/** Which blocks of which prompts each replica has cached, by its cache events. */
import type { KvCacheEvent, ReplicaRecord } from '@martenworks/core-types';
import { DenseIndex } from '@martenworks/core-types';

const wildTenant = -2;
const sharedTenant = -1;

interface Entry {
  tenant: number;
  bornAt: number;
}

interface StoredPrefixes {
  incarnation: number;
  seq: number;
  era: number;
  isWhole: boolean;
  scopes: Set<number>;
  blocks: Map<string, Entry>;
}

/**
 * How many leading blocks of a prompt a replica has cached, and whether it may be named as a source of them to another
 * replica.
 */
export interface PrefixMatch {
  readonly blockCount: number;
  readonly canBeSource: boolean;
}

/** One replica's entries as they are handed to a gateway that starts; ages are in milliseconds. */
export interface PrefixIndexSnapshot {
  readonly replica: string;
  readonly incarnation: number;
  readonly seq: number;
  readonly isWhole: boolean;
  readonly scopes: readonly string[];
  readonly blocks: readonly (readonly [string, string, number])[];
}

const keptMaximum = 200_000;

/**
 * Follows the cache events of replicas by sequence number. After a gap the entries of a replica are dropped and not
 * trusted as a source until it clears its cache or another gateway's entries repair the gap.
 */
export class PrefixIndex {
  private readonly prefixCaches = new Map<string, StoredPrefixes>();
  private readonly tenants = new DenseIndex();

  constructor(private readonly ageLimitMs: number) {}

  private readonly tenantIndex = (tenant: string | null | undefined): number => {
    if (tenant === undefined) return wildTenant;
    return tenant === null ? sharedTenant : this.tenants.indexOf(tenant);
  };

  /**
   * Aligns the index with the replica records: entries of former incarnations, eras and absent replicas are dropped.
   */
  readonly reconcile = (records: Iterable<ReplicaRecord>, eraOf: (record: ReplicaRecord) => number): void => {
    const seen = new Set<string>();
    for (const record of records) {
      if (record.state === 'gone') continue;
      seen.add(record.name);
      const era = eraOf(record);
      const stored = this.prefixCaches.get(record.name);
      if (stored === undefined || stored.incarnation < record.incarnation) {
        this.prefixCaches.set(record.name, {
          incarnation: record.incarnation,
          seq: 0,
          era,
          isWhole: true,
          scopes: new Set(),
          blocks: new Map(),
        });
        continue;
      }
      if (stored.era === era) continue;
      stored.era = era;
      stored.blocks.clear();
    }
    for (const name of [...this.prefixCaches.keys()]) if (!seen.has(name)) this.prefixCaches.delete(name);
  };

  /** Takes one cache event at the time `now`; events of other incarnations and repeated ones are ignored. */
  readonly apply = (update: KvCacheEvent, now: number): void => {
    const stored = this.prefixCaches.get(update.replica);
    if (stored === undefined || update.incarnation !== stored.incarnation) return;
    if (update.kind === 'hello') {
      if (update.seq >= stored.seq) return;
      stored.blocks.clear();
      stored.seq = 0;
      stored.isWhole = false;
      return;
    }
    if (update.seq <= stored.seq) return;
    if (update.seq !== stored.seq + 1) {
      stored.blocks.clear();
      stored.isWhole = false;
    }
    stored.seq = update.seq;
    if (update.kind === 'cleared') {
      stored.blocks.clear();
      stored.scopes.clear();
      stored.isWhole = true;
      return;
    }
    if (update.kind === 'removed') {
      for (const block of update.blocks) stored.blocks.delete(block);
      return;
    }
    const tenant = this.tenantIndex(update.tenant);
    stored.scopes.add(tenant);
    for (const block of update.blocks) {
      const held = stored.blocks.get(block);
      if (held !== undefined && held.tenant !== tenant) held.tenant = wildTenant;
      else stored.blocks.set(block, { tenant, bornAt: now });
    }
    if (stored.blocks.size > keptMaximum) {
      stored.blocks.clear();
      stored.isWhole = false;
    }
  };

  /**
   * The leading blocks that the replica has cached for the tenant (null: shared); blocks older than the age limit don't
   * count.
   */
  readonly match = (
    replica: string,
    blocks: readonly string[],
    isolatedTenant: string | null,
    now: number,
  ): PrefixMatch => {
    const stored = this.prefixCaches.get(replica);
    if (stored === undefined) return { blockCount: 0, canBeSource: false };
    const tenant = this.tenantIndex(isolatedTenant);
    let blockCount = 0;
    for (const block of blocks) {
      const entry = stored.blocks.get(block);
      if (entry === undefined || entry.tenant !== tenant) break;
      if (now - entry.bornAt > this.ageLimitMs) {
        stored.blocks.delete(block);
        break;
      }
      blockCount += 1;
    }
    const isUnmixed = stored.isWhole && [...stored.scopes].every((scope) => scope === tenant);
    return { blockCount, canBeSource: blockCount > 0 && isUnmixed };
  };

  /** The entries of all replicas, for a gateway that starts. */
  readonly snapshot = (now: number): PrefixIndexSnapshot[] =>
    [...this.prefixCaches].map(([replica, stored]) => ({
      replica,
      incarnation: stored.incarnation,
      seq: stored.seq,
      isWhole: stored.isWhole,
      scopes: [...stored.scopes].map(this.tenantName),
      blocks: [...stored.blocks].map(([block, entry]) => [block, this.tenantName(entry.tenant), now - entry.bornAt]),
    }));

  /** Takes another gateway's entries of a replica where they are newer or repair a gap; tells whether it did. */
  readonly restore = (snapshot: PrefixIndexSnapshot, now: number): boolean => {
    const stored = this.prefixCaches.get(snapshot.replica);
    if (stored === undefined || stored.incarnation !== snapshot.incarnation) return false;
    const isRepair = snapshot.isWhole && !stored.isWhole && snapshot.seq >= stored.seq;
    if (snapshot.seq <= stored.seq && !isRepair) return false;
    stored.seq = snapshot.seq;
    stored.isWhole = snapshot.isWhole;
    stored.scopes = new Set(snapshot.scopes.map(this.tenantNumber));
    stored.blocks = new Map(
      snapshot.blocks.map(([block, tenant, age]) => [block, { tenant: this.tenantNumber(tenant), bornAt: now - age }]),
    );
    return true;
  };

  private readonly tenantName = (tenant: number): string =>
    tenant === wildTenant ? '?' : tenant === sharedTenant ? '' : this.tenants.nameOf(tenant);

  private readonly tenantNumber = (name: string): number =>
    name === '?' ? wildTenant : name === '' ? sharedTenant : this.tenants.indexOf(name);

  /** Entries per replica, for the operators' pages. */
  readonly sizes = (): {
    replica: string;
    incarnation: number;
    seq: number;
    blocks: number;
    isWhole: boolean;
    scopes: string[];
  }[] =>
    [...this.prefixCaches].map(([replica, stored]) => ({
      replica,
      incarnation: stored.incarnation,
      seq: stored.seq,
      blocks: stored.blocks.size,
      isWhole: stored.isWhole,
      scopes: [...stored.scopes].map(this.tenantName),
    }));

  /** Names of the replicas whose events had a gap. */
  readonly incompleteReplicas = (): string[] =>
    [...this.prefixCaches].filter(([, stored]) => !stored.isWhole).map(([name]) => name);

  /** Whether the replica may have anything cached. */
  readonly mayHaveEntries = (replica: string): boolean => {
    const stored = this.prefixCaches.get(replica);
    return stored === undefined || !stored.isWhole || stored.seq > 0;
  };

  /** The last sequence number that was taken of the incarnation, after which its events are followed; 0 for none. */
  readonly lastSeqOf = (replica: string, incarnation: number): number => {
    const stored = this.prefixCaches.get(replica);
    return stored !== undefined && stored.incarnation === incarnation ? stored.seq : 0;
  };
}
