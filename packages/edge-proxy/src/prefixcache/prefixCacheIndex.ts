/**
 * The edge's prefix index: which address has which prompt part cached, as far as events, own answers and reports tell.
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
 * The edge's index: which address keeps how many tokens of which part under which salt, from what control nodes send
 * and, for a while, from what this edge saw itself.
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

  /** Takes updates from the control plane: whole lists or changes of one address's entries. */
  readonly apply = (bundle: readonly PrefixCacheUpdate[]): void => {
    for (const { address, isWhole, isHeard, epoch, events: update } of bundle) {
      const stored = this.entriesOf(address);
      stored.unfollowedSince = isHeard ? null : (stored.unfollowedSince ?? this.clock.now());
      stored.isFollowed = isHeard;
      if (epoch !== undefined && epoch !== '' && epoch !== stored.epoch) {
        if (stored.epoch !== '') stored.incarnations.isFirstByEpoch();
        stored.epoch = epoch;
      }
      if (isWhole) stored.reported.clear();
      for (const { isKept, salt, part, tokens } of update) {
        const key = keyOf(salt, part);
        if (tokens > 0) stored.reported.set(key, tokens);
        else stored.reported.delete(key);
        if (!isKept) stored.observed.delete(key);
      }
    }
  };

  /**
   * Another replica has the address: nothing that the one before cached is there, unless the entries already come from
   * the new one's events.
   */
  readonly onIncarnationChange = (address: string): void => {
    const stored = this.prefixCaches.get(address);
    if (stored === undefined) return;
    if (stored.incarnations.isFirstById()) stored.reported.clear();
    stored.observed.clear();
    stored.prefills.clear();
    stored.quarantined.clear();
  };

  /** No replica has the address any more: everything known of it is dropped. */
  readonly onAddressVacated = (address: string): void => void this.prefixCaches.delete(address);

  /** Ignores entries of the part at the address for `forMs` milliseconds, whatever events say. */
  readonly quarantine = (address: string, salt: string, part: string, forMs: number): void =>
    void this.entriesOf(address).quarantined.set(keyOf(salt, part), this.clock.now() + forMs);

  /** Whether entries of the part at the address are ignored for now, after they proved wrong. */
  readonly isQuarantined = (address: string, salt: string, part: string): boolean => {
    const quarantined = this.prefixCaches.get(address)?.quarantined;
    const key = keyOf(salt, part);
    const until = quarantined?.get(key);
    if (until === undefined) return false;
    if (until > this.clock.now()) return true;
    quarantined?.delete(key);
    return false;
  };

  /** What this edge saw itself: `address` was given the part just now. */
  readonly recordObserved = (address: string, salt: string, part: string): void =>
    void this.entriesOf(address).observed.set(keyOf(salt, part), this.clock.now());

  /** `address` is reading the part now: whoever comes there next finds it. */
  readonly recordPrefill = (address: string, salt: string, part: string): void =>
    void this.entriesOf(address).prefills.set(keyOf(salt, part), this.clock.now());

  /** Whether a prefill of the part is running at the address, by a notice of the last 2.5 s. */
  readonly isPrefilling = (address: string, salt: string, part: string): boolean => {
    const stored = this.prefixCaches.get(address);
    const key = keyOf(salt, part);
    const at = stored?.prefills.get(key);
    if (stored === undefined || at === undefined || this.isQuarantined(address, salt, part)) return false;
    if (this.clock.now() - at <= prefillTtlMs) return true;
    stored.prefills.delete(key);
    return false;
  };

  /** The address was found without the part: its entry is wrong until another event brings it. */
  readonly remove = (address: string, salt: string, part: string): void => {
    const stored = this.entriesOf(address);
    stored.observed.delete(keyOf(salt, part));
    stored.reported.delete(keyOf(salt, part));
  };

  /** Memory goes by blocks, so a part is rarely kept to its last token: most of it counts as all. */
  readonly isCached = (address: string, salt: string, part: string, tokens: number): boolean => {
    const stored = this.prefixCaches.get(address);
    if (stored === undefined) return false;
    const key = keyOf(salt, part);
    if (this.isQuarantined(address, salt, part)) return false;
    const isTrusted = stored.unfollowedSince === null || this.clock.now() - stored.unfollowedSince <= unfollowedTtlMs;
    if (isTrusted && (stored.reported.get(key) ?? 0) >= tokens * minCachedShare) return true;
    const sawAt = stored.observed.get(key);
    if (sawAt === undefined) return false;
    if (this.clock.now() - sawAt <= observedTtlMs) return true;
    stored.observed.delete(key);
    return false;
  };

  /** Whether a control node follows the address's cache events at present. */
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
