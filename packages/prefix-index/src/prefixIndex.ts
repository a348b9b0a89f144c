/** Tracks which prompt blocks each replica has cached, from the replicas' cache events. */
import type { KvCacheEvent, ReplicaRecord } from '@martenworks/core-types';
import { DenseIndex } from '@martenworks/core-types';

/** Matches no tenant: the event named none, or two tenants stored the same block. */
const unknownTenant = -2;
const sharedTenant = -1;

interface Entry {
  tenant: number;
  storedAt: number;
}

interface StoredPrefixes {
  incarnation: number;
  seq: number;
  epoch: number;
  isComplete: boolean;
  scopes: Set<number>;
  blocks: Map<string, Entry>;
}

/** The number of leading blocks of a prompt that a replica has cached, and whether another replica may pull them. */
export interface PrefixMatch {
  readonly blockCount: number;
  readonly canBeSource: boolean;
}

/**
 * One replica's entries as sent to a gateway that starts. Each block is a tuple of block, tenant and age in
 * milliseconds.
 */
export interface PrefixIndexSnapshot {
  readonly replica: string;
  readonly incarnation: number;
  readonly seq: number;
  readonly isWhole: boolean;
  readonly scopes: readonly string[];
  readonly blocks: readonly (readonly [string, string, number])[];
}

const maxBlocksPerReplica = 200_000;

/**
 * Applies the cache events of replicas in sequence order. After a gap, the entries of the replica are dropped and it is
 * no longer used as a source until it clears its cache or the snapshot of another node fills the gap.
 */
export class PrefixIndex {
  private readonly prefixCaches = new Map<string, StoredPrefixes>();
  private readonly tenants = new DenseIndex();

  constructor(private readonly ageLimitMs: number) {}

  private readonly tenantId = (tenant: string | null | undefined): number => {
    if (tenant === undefined) return unknownTenant;
    return tenant === null ? sharedTenant : this.tenants.indexOf(tenant);
  };

  /** Drops entries of previous incarnations, of previous epochs and of replicas that are not among the records. */
  readonly reconcile = (records: Iterable<ReplicaRecord>, epochOf: (record: ReplicaRecord) => number): void => {
    const present = new Set<string>();
    for (const record of records) {
      if (record.state === 'gone') continue;
      present.add(record.name);
      const epoch = epochOf(record);
      const stored = this.prefixCaches.get(record.name);
      if (stored === undefined || stored.incarnation < record.incarnation) {
        this.prefixCaches.set(record.name, {
          incarnation: record.incarnation,
          seq: 0,
          epoch,
          isComplete: true,
          scopes: new Set(),
          blocks: new Map(),
        });
        continue;
      }
      if (stored.epoch === epoch) continue;
      stored.epoch = epoch;
      stored.blocks.clear();
    }
    for (const name of [...this.prefixCaches.keys()]) if (!present.has(name)) this.prefixCaches.delete(name);
  };

  /** Applies one cache event received at `now`; ignores duplicates and events of other incarnations. */
  readonly apply = (event: KvCacheEvent, now: number): void => {
    const stored = this.prefixCaches.get(event.replica);
    if (stored === undefined || event.incarnation !== stored.incarnation) return;
    if (event.kind === 'hello') {
      if (event.seq >= stored.seq) return;
      stored.blocks.clear();
      stored.seq = 0;
      stored.isComplete = false;
      return;
    }
    if (event.seq <= stored.seq) return;
    if (event.seq !== stored.seq + 1) {
      stored.blocks.clear();
      stored.isComplete = false;
    }
    stored.seq = event.seq;
    if (event.kind === 'cleared') {
      stored.blocks.clear();
      stored.scopes.clear();
      stored.isComplete = true;
      return;
    }
    if (event.kind === 'removed') {
      for (const block of event.blocks) stored.blocks.delete(block);
      return;
    }
    const tenant = this.tenantId(event.tenant);
    stored.scopes.add(tenant);
    for (const block of event.blocks) {
      const entry = stored.blocks.get(block);
      if (entry !== undefined && entry.tenant !== tenant) entry.tenant = unknownTenant;
      else stored.blocks.set(block, { tenant, storedAt: now });
    }
    if (stored.blocks.size > maxBlocksPerReplica) {
      stored.blocks.clear();
      stored.isComplete = false;
    }
  };

  /**
   * Counts the leading blocks that the replica has cached for the isolated tenant (null: shared between tenants). Blocks
   * older than the age limit are not counted.
   */
  readonly match = (
    replica: string,
    blocks: readonly string[],
    isolatedTenant: string | null,
    now: number,
  ): PrefixMatch => {
    const stored = this.prefixCaches.get(replica);
    if (stored === undefined) return { blockCount: 0, canBeSource: false };
    const tenant = this.tenantId(isolatedTenant);
    let blockCount = 0;
    for (const block of blocks) {
      const entry = stored.blocks.get(block);
      if (entry === undefined || entry.tenant !== tenant) break;
      if (now - entry.storedAt > this.ageLimitMs) {
        stored.blocks.delete(block);
        break;
      }
      blockCount += 1;
    }
    const isSingleScope = stored.isComplete && [...stored.scopes].every((scope) => scope === tenant);
    return { blockCount, canBeSource: blockCount > 0 && isSingleScope };
  };

  /** Returns the entries of all replicas, to be sent to a gateway that starts. */
  readonly snapshot = (now: number): PrefixIndexSnapshot[] =>
    [...this.prefixCaches].map(([replica, stored]) => ({
      replica,
      incarnation: stored.incarnation,
      seq: stored.seq,
      isWhole: stored.isComplete,
      scopes: [...stored.scopes].map(this.tenantName),
      blocks: [...stored.blocks].map(([block, entry]) => [block, this.tenantName(entry.tenant), now - entry.storedAt]),
    }));

  /** Replaces a replica's entries by a snapshot that is newer or fills a gap; returns whether it was applied. */
  readonly restore = (snapshot: PrefixIndexSnapshot, now: number): boolean => {
    const stored = this.prefixCaches.get(snapshot.replica);
    if (stored === undefined || stored.incarnation !== snapshot.incarnation) return false;
    const isRepair = snapshot.isWhole && !stored.isComplete && snapshot.seq >= stored.seq;
    if (snapshot.seq <= stored.seq && !isRepair) return false;
    stored.seq = snapshot.seq;
    stored.isComplete = snapshot.isWhole;
    stored.scopes = new Set(snapshot.scopes.map(this.tenantIdFromName));
    stored.blocks = new Map(
      snapshot.blocks.map(([block, tenant, age]) => [
        block,
        { tenant: this.tenantIdFromName(tenant), storedAt: now - age },
      ]),
    );
    return true;
  };

  private readonly tenantName = (tenant: number): string =>
    tenant === unknownTenant ? '?' : tenant === sharedTenant ? '' : this.tenants.nameOf(tenant);

  private readonly tenantIdFromName = (name: string): number =>
    name === '?' ? unknownTenant : name === '' ? sharedTenant : this.tenants.indexOf(name);

  /** Returns the number of entries per replica, for the operators' pages. */
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
      isWhole: stored.isComplete,
      scopes: [...stored.scopes].map(this.tenantName),
    }));

  /** Returns the names of the replicas whose events had a gap. */
  readonly incompleteReplicas = (): string[] =>
    [...this.prefixCaches].filter(([, stored]) => !stored.isComplete).map(([name]) => name);

  /** Whether the replica may have anything cached. */
  readonly mayHaveEntries = (replica: string): boolean => {
    const stored = this.prefixCaches.get(replica);
    return stored === undefined || !stored.isComplete || stored.seq > 0;
  };

  /** Returns the last sequence number applied for this incarnation; 0 if none. */
  readonly lastSeqOf = (replica: string, incarnation: number): number => {
    const stored = this.prefixCaches.get(replica);
    return stored !== undefined && stored.incarnation === incarnation ? stored.seq : 0;
  };
}
