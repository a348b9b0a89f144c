/** Chooses where a replica pulls the cached prefix of a request from, and which cache store its prompt is uploaded to. */
import type { CacheStore, PromptPart, RendezvousHash } from '@martenworks/core-types';
import type { PrefixCacheIndex } from '../prefixcache/prefixCacheIndex.js';
import type { ExpectedHit } from '../prefixcache/staleEntryDetector.js';
import type { Placement, ScoredCandidate } from './placement.js';
import type { PlacementContext } from './placementContext.js';
import { promptAffinity } from './promptAffinity.js';
import type { ReplicaTracker } from './replicaTracker.js';
import type { TrackedReplica } from './trackedReplica.js';

/** Cache stores for one prompt: the one that has it cached, and the one that rendezvous hashing ranks first. */
interface StoreChoice {
  readonly cachingStore: CacheStore | null;
  readonly preferredStore: CacheStore | null;
}

/** Addresses that may have the prefix: `indexed` according to the index, and `holder`, which may be a guess. */
interface HolderChoice {
  readonly indexed: string | null;
  readonly holder: string | null;
}

/** Turns a scored candidate into a placement. */
export class HolderSelector {
  constructor(
    private readonly replicaTracker: ReplicaTracker,
    private readonly prefixCaches: PrefixCacheIndex,
    private readonly affinityHash: RendezvousHash,
  ) {}

  /** Returns the placement of a request on the chosen candidate. */
  readonly complete = (context: PlacementContext, chosen: ScoredCandidate): Placement => {
    const { affinity, query } = context;
    const { salt } = chosen;
    if (affinity.trackedPart === null || salt === null) return this.withoutPrefix(context, chosen);
    const stores = this.storesFor(affinity.trackedPart, salt, context.stores);
    const { indexed, holder } = this.holderFor(context, chosen, salt, stores);
    const { cachingStore, preferredStore } = stores;
    const expectedHit = this.expectedHit(context, chosen, salt, indexed);
    const isStored = chosen.isCached && cachingStore !== null && holder === cachingStore.address;
    const isStorable = cachingStore === null && promptAffinity.isWorthStoring(query.metadata.parts, affinity);
    const isMissExpected = holder === null || holder === preferredStore?.address;
    return {
      ...chosen,
      holder,
      store: isStorable ? (preferredStore?.address ?? null) : null,
      affinityPart: affinity.part,
      expectedHit,
      secondExpectedHit: isStored ? context.lookup.expectedHit(cachingStore.address, salt, context.pullMs) : null,
      isFullPrefill: expectedHit === null && !chosen.isBeingPrefilled && isMissExpected,
    };
  };

  private readonly withoutPrefix = ({ affinity }: PlacementContext, chosen: ScoredCandidate): Placement => ({
    ...chosen,
    holder: null,
    store: null,
    affinityPart: affinity.part,
    expectedHit: null,
    secondExpectedHit: null,
    isFullPrefill: true,
  });

  private readonly storesFor = (part: PromptPart, salt: string, stores: readonly CacheStore[]): StoreChoice => {
    const followed = stores.filter((store) => this.prefixCaches.isFollowed(store.address));
    const ranked = this.affinityHash.ranked(part.id, followed, (store) => store.name);
    const isCaching = (store: CacheStore): boolean =>
      this.prefixCaches.isCached(store.address, salt, part.id, part.tokens);
    return { cachingStore: ranked.find(isCaching) ?? null, preferredStore: ranked[0] ?? null };
  };

  private readonly holderFor = (
    context: PlacementContext,
    chosen: ScoredCandidate,
    salt: string,
    { cachingStore, preferredStore }: StoreChoice,
  ): HolderChoice => {
    const indexed = this.nearestHolder(context, chosen, salt)?.endpoint.address ?? cachingStore?.address ?? null;
    if (indexed !== null || chosen.isCached) return { indexed, holder: indexed };
    return { indexed, holder: preferredStore?.address ?? this.likelyHolder(context, chosen.tracked) };
  };

  /**
   * A replica that has the prefix cached according to the index; healthy ones in the candidate's zone come first, then
   * other healthy ones.
   */
  private readonly nearestHolder = (
    { replicas, lookup }: PlacementContext,
    { tracked, isCached }: ScoredCandidate,
    salt: string,
  ): TrackedReplica | undefined => {
    if (isCached) return undefined;
    const { isSuspect, mayPullFrom } = this.replicaTracker.health;
    const holders = replicas
      .filter((other) => other !== tracked && mayPullFrom(other) && lookup.isCachedOn(other, salt))
      .sort((a, b) => Number(isSuspect(a)) - Number(isSuspect(b)));
    const isInSameZone = (other: TrackedReplica): boolean =>
      other.endpoint.zone === tracked.endpoint.zone && !isSuspect(other);
    return holders.find(isInSameZone) ?? holders[0];
  };

  /**
   * The healthy replica that rendezvous hashing ranks first, where another edge may already have placed the prefix; null
   * if the chosen replica itself ranks first.
   */
  private readonly likelyHolder = ({ preferred }: PlacementContext, tracked: TrackedReplica): string | null => {
    if (preferred[0] === tracked) return null;
    const likely = preferred.find((other) => other !== tracked && !this.replicaTracker.health.isSuspect(other));
    return likely?.endpoint.address ?? null;
  };

  private readonly expectedHit = (
    { lookup, pullMs }: PlacementContext,
    { tracked, isCached, isBeingPrefilled }: ScoredCandidate,
    salt: string,
    indexed: string | null,
  ): ExpectedHit | null => {
    if (isCached) return lookup.expectedHit(tracked.endpoint.address, salt, null);
    return isBeingPrefilled || indexed === null ? null : lookup.expectedHit(indexed, salt, pullMs);
  };
}
