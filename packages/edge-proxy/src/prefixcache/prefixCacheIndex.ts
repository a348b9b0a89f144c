/**
 * The edge's prefix index: which address has which prompt parts cached, according to cache events, this edge's own
 * responses and reports of other edges.
 */
import { IncarnationMatcher } from '@martenworks/core-types';
import type { Clock, PrefixCacheUpdate } from '@martenworks/core-types';

const observedTtlMs = 3_000;
const prefillTtlMs = 2_500;
const minCachedShare = 0.95;
const unfollowedTtlMs = 8_000;

interface AddressEntries {
  isFollowed: boolean;
  unfollowedSince: number | null;
  epoch: string;
  readonly incarnations: IncarnationMatcher;
  readonly reported: Map<string, number>;
  readonly observed: Map<string, number>;
  readonly prefills: Map<string, number>;
  readonly quarantined: Map<string, number>;
}

const keyOf = (salt: string, part: string): string => `${salt}\n${part}`;

/**
 * Index of cached prompt parts by address and salt. Entries come from control nodes and, for a limited time, from this
 * edge's own responses.
 */
export class PrefixCacheIndex {
  private readonly prefixCaches = new Map<string, AddressEntries>();

  constructor(private readonly clock: Clock) {}

  private readonly entriesOf = (address: string): AddressEntries => {
    const known = this.prefixCaches.get(address);
    if (known !== undefined) return known;
    const created: AddressEntries = {
      isFollowed: false,
      unfollowedSince: null,
      epoch: '',
      incarnations: new IncarnationMatcher(this.clock),
      reported: new Map(),
      observed: new Map(),
      prefills: new Map(),
      quarantined: new Map(),
    };
    this.prefixCaches.set(address, created);
    return created;
  };

  /** Applies updates from the control plane: complete lists or changes of the entries of an address. */
  readonly apply = (updates: readonly PrefixCacheUpdate[]): void => {
    for (const { address, isWhole, isHeard, epoch, events } of updates) {
      const entries = this.entriesOf(address);
      entries.unfollowedSince = isHeard ? null : (entries.unfollowedSince ?? this.clock.now());
      entries.isFollowed = isHeard;
      if (epoch !== undefined && epoch !== '' && epoch !== entries.epoch) {
        if (entries.epoch !== '') entries.incarnations.recordNewEpoch();
        entries.epoch = epoch;
      }
      if (isWhole) entries.reported.clear();
      for (const { isKept, salt, part, tokens } of events) {
        const key = keyOf(salt, part);
        if (tokens > 0) entries.reported.set(key, tokens);
        else entries.reported.delete(key);
        if (!isKept) entries.observed.delete(key);
      }
    }
  };

  /**
   * Records that a new replica has the address: the previous one's entries are removed, unless the entries already come
   * from the new one's events.
   */
  readonly onIncarnationChange = (address: string): void => {
    const entries = this.prefixCaches.get(address);
    if (entries === undefined) return;
    if (entries.incarnations.recordNewId()) entries.reported.clear();
    entries.observed.clear();
    entries.prefills.clear();
    entries.quarantined.clear();
  };

  /** Records that no replica has the address any more: all its entries are removed. */
  readonly onAddressVacated = (address: string): void => void this.prefixCaches.delete(address);

  /** Ignores entries of the part at the address for `forMs` milliseconds, even if events report it. */
  readonly quarantine = (address: string, salt: string, part: string, forMs: number): void =>
    void this.entriesOf(address).quarantined.set(keyOf(salt, part), this.clock.now() + forMs);

  /** Whether entries of the part at the address are currently ignored because they proved wrong. */
  readonly isQuarantined = (address: string, salt: string, part: string): boolean => {
    const quarantined = this.prefixCaches.get(address)?.quarantined;
    const key = keyOf(salt, part);
    const until = quarantined?.get(key);
    if (until === undefined) return false;
    if (until > this.clock.now()) return true;
    quarantined?.delete(key);
    return false;
  };

  /** Records this edge's own observation that the address has just processed the part. */
  readonly recordObserved = (address: string, salt: string, part: string): void =>
    void this.entriesOf(address).observed.set(keyOf(salt, part), this.clock.now());

  /** Records that a prefill of the part is running at the address: the next request there finds it cached. */
  readonly recordPrefill = (address: string, salt: string, part: string): void =>
    void this.entriesOf(address).prefills.set(keyOf(salt, part), this.clock.now());

  /** Whether a prefill of the part is running at the address, according to a notice of the last 2.5 s. */
  readonly isPrefilling = (address: string, salt: string, part: string): boolean => {
    const entries = this.prefixCaches.get(address);
    const key = keyOf(salt, part);
    const at = entries?.prefills.get(key);
    if (entries === undefined || at === undefined || this.isQuarantined(address, salt, part)) return false;
    if (this.clock.now() - at <= prefillTtlMs) return true;
    entries.prefills.delete(key);
    return false;
  };

  /** Removes the entry of a part that the address turned out not to have; a later event may add it again. */
  readonly remove = (address: string, salt: string, part: string): void => {
    const entries = this.entriesOf(address);
    entries.observed.delete(keyOf(salt, part));
    entries.reported.delete(keyOf(salt, part));
  };

  /**
   * Whether the part is cached at the address. Cache memory is allocated in blocks, so that the last tokens of a part are
   * rarely cached: a share of `minCachedShare` of the part is enough.
   */
  readonly isCached = (address: string, salt: string, part: string, tokens: number): boolean => {
    const entries = this.prefixCaches.get(address);
    if (entries === undefined) return false;
    const key = keyOf(salt, part);
    if (this.isQuarantined(address, salt, part)) return false;
    const isTrusted = entries.unfollowedSince === null || this.clock.now() - entries.unfollowedSince <= unfollowedTtlMs;
    if (isTrusted && (entries.reported.get(key) ?? 0) >= tokens * minCachedShare) return true;
    const observedAt = entries.observed.get(key);
    if (observedAt === undefined) return false;
    if (this.clock.now() - observedAt <= observedTtlMs) return true;
    entries.observed.delete(key);
    return false;
  };

  /** Whether a control node currently follows the cache events of the address. */
  readonly isFollowed = (address: string): boolean => this.prefixCaches.get(address)?.isFollowed === true;

  /** Entries per address, for the operators' pages. */
  readonly sizes = (): { address: string; parts: number; isHeard: boolean; quarantined: number }[] =>
    [...this.prefixCaches].map(([address, { reported, isFollowed, quarantined }]) => ({
      address,
      parts: reported.size,
      isHeard: isFollowed,
      quarantined: quarantined.size,
    }));
}
