/**
 * Detects stale entries of the prefix index by responses that are as late as if the prefix had not been cached.
 */
import type { Clock, CacheMissReport } from '@martenworks/core-types';

const minMissShare = 0.6;
const maxHitShare = 0.4;
const slackMs = 40;
const minPrefillMs = 100;
const overloadFactor = 2.5;
const overloadSlackMs = 300;
const strikeWindowMs = 10_000;
const followedStrikes = 2;
const unfollowedStrikes = 1;
const suspicionTtlMs = 60_000;
const initialQuarantineMs = 15_000;
const maxQuarantineMs = 120_000;
const maxSuspicions = 2_000;
const evictionWindowMs = 30_000;
const unreliableEvictions = 2;

/**
 * The index entry that a placement relied on: `address` has these parts cached. `pullMs` is the estimated transfer time,
 * null where the replica itself has them.
 */
export interface ExpectedHit {
  readonly address: string;
  readonly salt: string;
  readonly parts: readonly string[];
  readonly tokens: number;
  readonly pullMs: number | null;
}

/**
 * What the time to a response's first chunk is compared with. `aheadTokens` are the prefill tokens that were pending at
 * the replica when the prompt was sent or arrived there together with it.
 */
export interface ResponseTiming {
  readonly expectedHit: ExpectedHit;
  readonly uncachedTokens: number;
  readonly aheadTokens: number;
  readonly tokensPerMs: number | null;
  readonly isFollowed: boolean;
  readonly sentAt: number;
}

/** What a response's timing shows about the expected parts; `unclear` where noise could explain either outcome. */
export type Verdict = 'missing' | 'found' | 'unclear';

/**
 * Consequence of a response: nothing, a strike to report, or the eviction of the entry, with a quarantine in milliseconds
 * where it was evicted before.
 */
export type Decision =
  | { readonly kind: 'none' }
  | { readonly kind: 'strike' }
  | { readonly kind: 'evict'; readonly quarantineMs: number | null };

interface Suspicion {
  strikes: number;
  lastStrikeAt: number;
  evictions: number;
}

const keyOf = ({ address, salt, parts }: Pick<ExpectedHit, 'address' | 'salt' | 'parts'>): string =>
  `${address}\n${salt}\n${parts.at(-1) ?? ''}`;

/** Decides from the time to the first chunk whether the parts that the index listed had to be prefilled after all. */
export const responseTimings = {
  classify: ({ expectedHit, uncachedTokens, aheadTokens, tokensPerMs }: ResponseTiming, elapsedMs: number): Verdict => {
    if (tokensPerMs === null) return 'unclear';
    const partsMs = expectedHit.tokens / tokensPerMs;
    const uncachedMs = uncachedTokens / tokensPerMs;
    const aheadMs = aheadTokens / tokensPerMs;
    const pullMs = expectedHit.pullMs ?? 0;
    if (partsMs < minPrefillMs || pullMs * 2 > partsMs * maxHitShare) return 'unclear';
    if (elapsedMs < uncachedMs + partsMs * maxHitShare) return 'found';
    if (elapsedMs > (uncachedMs + aheadMs + partsMs) * overloadFactor + overloadSlackMs) return 'unclear';
    return elapsedMs >= uncachedMs + aheadMs + pullMs + partsMs * minMissShare + slackMs ? 'missing' : 'unclear';
  },
};

/**
 * Counts strikes against entries of the index. Queueing can explain a single late response, so an entry is evicted at the
 * second strike within ten seconds; a strike counts only if its request was sent after the previous strike. A response in
 * time clears the strikes. Where no control node follows the address's events, one strike is enough.
 *
 * An entry that is evicted again within a minute is quarantined, for twice as long each time, if the replica itself was to
 * use it; an address that prefixes are pulled from is not quarantined, since it may cache them again. Once two entries of
 * an address were evicted within half a minute, a single strike evicts and quarantines the next one.
 */
export class StaleEntryDetector {
  private readonly suspicions = new Map<string, Suspicion>();
  private readonly recentEvictions = new Map<string, Map<string, number>>();
  private readonly counts = { strikes: 0, found: 0, drops: 0, bars: 0 };

  constructor(private readonly clock: Clock) {}

  /** Evaluates the time to a response's first chunk, in milliseconds, and decides about the entry it relied on. */
  readonly recordTiming = (timing: ResponseTiming, elapsedMs: number): Decision => {
    const verdict = responseTimings.classify(timing, elapsedMs);
    if (verdict === 'unclear') return { kind: 'none' };
    const now = this.clock.now();
    const key = keyOf(timing.expectedHit);
    if (verdict === 'found') {
      this.counts.found += 1;
      const known = this.suspicions.get(key);
      if (known !== undefined) known.strikes = 0;
      return { kind: 'none' };
    }
    const suspicion = this.suspicion(key, now);
    if (timing.sentAt < suspicion.lastStrikeAt) return { kind: 'none' };
    suspicion.strikes = (now - suspicion.lastStrikeAt <= strikeWindowMs ? suspicion.strikes : 0) + 1;
    suspicion.lastStrikeAt = now;
    this.counts.strikes += 1;
    const isUnreliable = this.isAddressUnreliable(timing.expectedHit.address, key);
    if (suspicion.strikes < (timing.isFollowed && !isUnreliable ? followedStrikes : unfollowedStrikes))
      return { kind: 'strike' };
    this.recordEviction(timing.expectedHit.address, key);
    suspicion.evictions += isUnreliable && suspicion.evictions === 0 ? 2 : 1;
    suspicion.strikes = followedStrikes - 1;
    this.counts.drops += 1;
    if (suspicion.evictions === 1 || timing.expectedHit.pullMs !== null) return { kind: 'evict', quarantineMs: null };
    this.counts.bars += 1;
    return {
      kind: 'evict',
      quarantineMs: Math.min(maxQuarantineMs, initialQuarantineMs * 2 ** (suspicion.evictions - 2)),
    };
  };

  /**
   * Records the report of another edge. Its strike counts as a first one, so that the next strike of this edge decides. If
   * the other edge decided on an eviction, that is recorded here; the caller evicts the entry.
   */
  readonly recordReport = (update: CacheMissReport): void => {
    const now = this.clock.now();
    const suspicion = this.suspicion(keyOf(update), now);
    suspicion.strikes = followedStrikes - 1;
    suspicion.lastStrikeAt = now;
    if (!update.isDecided) return;
    suspicion.evictions += 1;
    this.recordEviction(update.address, keyOf(update));
  };

  /** Whether two other entries of the address were evicted recently, so that all its entries are in doubt. */
  private readonly isAddressUnreliable = (address: string, key: string): boolean => {
    const now = this.clock.now();
    return (
      [...(this.recentEvictions.get(address) ?? [])].filter(
        ([other, at]) => other !== key && now - at <= evictionWindowMs,
      ).length >= unreliableEvictions
    );
  };

  private readonly recordEviction = (address: string, key: string): void => {
    const now = this.clock.now();
    const known = this.recentEvictions.get(address) ?? new Map<string, number>();
    this.recentEvictions.set(address, known.set(key, now));
    for (const [other, at] of known) if (now - at > evictionWindowMs) known.delete(other);
  };

  /** Records that a new replica has the address: all suspicions against it are dropped. */
  readonly onIncarnationChange = (address: string): void => {
    this.recentEvictions.delete(address);
    for (const key of this.suspicions.keys()) if (key.startsWith(`${address}\n`)) this.suspicions.delete(key);
  };

  private readonly suspicion = (key: string, now: number): Suspicion => {
    const known = this.suspicions.get(key);
    if (known !== undefined && now - known.lastStrikeAt <= suspicionTtlMs) return known;
    this.evictSuspicions(now);
    const created: Suspicion = { strikes: 0, lastStrikeAt: -Infinity, evictions: 0 };
    this.suspicions.set(key, created);
    return created;
  };

  private readonly evictSuspicions = (now: number): void => {
    if (this.suspicions.size <= maxSuspicions) return;
    for (const [key, { lastStrikeAt }] of this.suspicions)
      if (now - lastStrikeAt > suspicionTtlMs || this.suspicions.size > maxSuspicions) this.suspicions.delete(key);
  };

  /** Counts since the start, and the entries with a strike, for the operators' pages. */
  readonly status = (): Record<string, number> => ({
    ...this.counts,
    suspected: [...this.suspicions.values()].filter(({ strikes }) => strikes > 0).length,
  });
}
