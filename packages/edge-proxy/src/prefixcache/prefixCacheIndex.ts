/**
 * The edge's prefix index: which address has which prompt part cached, as far as events, own answers and reports tell.
 */
import { IncarnationMatcher } from '@martenworks/core-types';
import type { Clock, PrefixCacheUpdate } from '@martenworks/core-types';

const trustOwnMs = 3_000;
const readingMs = 2_500;
const wholeShare = 0.95;
const trustUnheardMs = 8_000;

interface StoredPrefixes {
  isHeard: boolean;
  unheardAt: number | null;
  epoch: string;
  readonly pairs: IncarnationMatcher;
  readonly kept: Map<string, number>;
  readonly own: Map<string, number>;
  readonly reading: Map<string, number>;
  readonly quarantined: Map<string, number>;
}

const labelOf = (salt: string, part: string): string => `${salt}\n${part}`;

/**
 * The edge's index: which address keeps how many tokens of which part under which salt, from what control nodes send
 * and, for a while, from what this edge saw itself.
 */
export class PrefixCacheIndex {
  private readonly prefixCaches = new Map<string, StoredPrefixes>();

  constructor(private readonly clock: Clock) {}

  private readonly stored = (address: string): StoredPrefixes => {
    const known = this.prefixCaches.get(address);
    if (known !== undefined) return known;
    const fresh: StoredPrefixes = {
      isHeard: false,
      unheardAt: null,
      epoch: '',
      pairs: new IncarnationMatcher(this.clock),
      kept: new Map(),
      own: new Map(),
      reading: new Map(),
      quarantined: new Map(),
    };
    this.prefixCaches.set(address, fresh);
    return fresh;
  };

  /** Takes updates from the control plane: whole lists or changes of one address's entries. */
  readonly apply = (bundle: readonly PrefixCacheUpdate[]): void => {
    for (const { address, isWhole, isHeard, epoch, events: update } of bundle) {
      const stored = this.stored(address);
      stored.unheardAt = isHeard ? null : (stored.unheardAt ?? this.clock.now());
      stored.isHeard = isHeard;
      if (epoch !== undefined && epoch !== '' && epoch !== stored.epoch) {
        if (stored.epoch !== '') stored.pairs.recordNewEpoch();
        stored.epoch = epoch;
      }
      if (isWhole) stored.kept.clear();
      for (const { isKept, salt, part, tokens } of update) {
        const label = labelOf(salt, part);
        if (tokens > 0) stored.kept.set(label, tokens);
        else stored.kept.delete(label);
        if (!isKept) stored.own.delete(label);
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
    if (stored.pairs.recordNewId()) stored.kept.clear();
    stored.own.clear();
    stored.reading.clear();
    stored.quarantined.clear();
  };

  /** No replica has the address any more: everything known of it is dropped. */
  readonly onAddressVacated = (address: string): void => void this.prefixCaches.delete(address);

  /** Ignores entries of the part at the address for `forMs` milliseconds, whatever events say. */
  readonly quarantine = (address: string, salt: string, part: string, forMs: number): void =>
    void this.stored(address).quarantined.set(labelOf(salt, part), this.clock.now() + forMs);

  /** Whether entries of the part at the address are ignored for now, after they proved wrong. */
  readonly isQuarantined = (address: string, salt: string, part: string): boolean => {
    const quarantined = this.prefixCaches.get(address)?.quarantined;
    const label = labelOf(salt, part);
    const until = quarantined?.get(label);
    if (until === undefined) return false;
    if (until > this.clock.now()) return true;
    quarantined?.delete(label);
    return false;
  };

  /** What this edge saw itself: `address` was given the part just now. */
  readonly recordObserved = (address: string, salt: string, part: string): void =>
    void this.stored(address).own.set(labelOf(salt, part), this.clock.now());

  /** `address` is reading the part now: whoever comes there next finds it. */
  readonly recordPrefill = (address: string, salt: string, part: string): void =>
    void this.stored(address).reading.set(labelOf(salt, part), this.clock.now());

  /** Whether a prefill of the part is running at the address, by a notice of the last 2.5 s. */
  readonly isPrefilling = (address: string, salt: string, part: string): boolean => {
    const stored = this.prefixCaches.get(address);
    const label = labelOf(salt, part);
    const at = stored?.reading.get(label);
    if (stored === undefined || at === undefined || this.isQuarantined(address, salt, part)) return false;
    if (this.clock.now() - at <= readingMs) return true;
    stored.reading.delete(label);
    return false;
  };

  /** The address was found without the part: its entry is wrong until another event brings it. */
  readonly remove = (address: string, salt: string, part: string): void => {
    const stored = this.stored(address);
    stored.own.delete(labelOf(salt, part));
    stored.kept.delete(labelOf(salt, part));
  };

  /** Memory goes by blocks, so a part is rarely kept to its last token: most of it counts as all. */
  readonly isCached = (address: string, salt: string, part: string, tokens: number): boolean => {
    const stored = this.prefixCaches.get(address);
    if (stored === undefined) return false;
    const label = labelOf(salt, part);
    if (this.isQuarantined(address, salt, part)) return false;
    const isTrusted = stored.unheardAt === null || this.clock.now() - stored.unheardAt <= trustUnheardMs;
    if (isTrusted && (stored.kept.get(label) ?? 0) >= tokens * wholeShare) return true;
    const sawAt = stored.own.get(label);
    if (sawAt === undefined) return false;
    if (this.clock.now() - sawAt <= trustOwnMs) return true;
    stored.own.delete(label);
    return false;
  };

  /** Whether a control node follows the address's cache events at present. */
  readonly isFollowed = (address: string): boolean => this.prefixCaches.get(address)?.isHeard === true;

  /** Entries per address, for the operators' pages. */
  readonly sizes = (): { address: string; parts: number; isHeard: boolean; quarantined: number }[] =>
    [...this.prefixCaches].map(([address, { kept, isHeard, quarantined }]) => ({
      address,
      parts: kept.size,
      isHeard,
      quarantined: quarantined.size,
    }));
}
