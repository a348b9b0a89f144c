/** Looks up one prompt in the prefix index, at most once per replica and salt. */
import type { PromptPart } from '@martenworks/core-types';
import type { PrefixCacheIndex } from '../prefixcache/prefixCacheIndex.js';
import type { ExpectedHit } from '../prefixcache/staleEntryDetector.js';
import { promptAffinity, minTrackedTokens } from './promptAffinity.js';
import type { TrackedReplica } from './trackedReplica.js';

const isTracked = (part: PromptPart): boolean => part.tokens >= minTrackedTokens;

/** The prefix index as seen by one prompt, up to its affinity part. Lives as long as one placement. */
export class PrefixLookup {
  private readonly prefix: readonly PromptPart[];
  private readonly cachedByReplica = new Map<string, boolean>();

  constructor(
    private readonly prefixCaches: PrefixCacheIndex,
    parts: readonly PromptPart[],
    affinityIndex: number,
  ) {
    this.prefix = parts.slice(0, affinityIndex + 1);
  }

  /** Whether the replica has any tracked part of the prefix cached. */
  readonly isCachedOn = (tracked: TrackedReplica, salt: string): boolean => {
    const key = `${tracked.endpoint.id} ${salt}`;
    const known = this.cachedByReplica.get(key);
    if (known !== undefined) return known;
    const isCached = promptAffinity.totalTokens(this.cachedParts(tracked.endpoint.address, salt)) > 0;
    this.cachedByReplica.set(key, isCached);
    return isCached;
  };

  /**
   * Returns the index entry that a request relies on when it runs at the address or pulls from it; null where there is
   * none. `pullMs` estimates the transfer time, and is null where the replica itself has the parts.
   */
  readonly expectedHit = (
    address: string,
    salt: string,
    pullMs: ((tokens: number) => number) | null,
  ): ExpectedHit | null => {
    const cached = this.cachedParts(address, salt);
    const tokens = promptAffinity.totalTokens(cached);
    if (tokens === 0) return null;
    const parts = cached.filter(isTracked).map((part) => part.id);
    return { address, salt, parts, tokens, pullMs: pullMs === null ? null : pullMs(tokens) };
  };

  private readonly cachedParts = (address: string, salt: string): readonly PromptPart[] => {
    const firstMissing = this.prefix.findIndex(
      (part) => isTracked(part) && !this.prefixCaches.isCached(address, salt, part.id, part.tokens),
    );
    const cached = firstMissing < 0 ? this.prefix : this.prefix.slice(0, firstMissing);
    return cached.some(isTracked) ? cached : [];
  };
}
