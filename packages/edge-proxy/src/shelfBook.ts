import { LifePairs } from '@martenworks/core-types';
import type { Clock, ShelfNews } from '@martenworks/core-types';

const trustOwnMs = 3_000;
const readingMs = 2_500;
const wholeShare = 0.95;
const trustUnheardMs = 8_000;

interface Shelf {
  isHeard: boolean;
  unheardAt: number | null;
  epoch: string;
  readonly pairs: LifePairs;
  readonly kept: Map<string, number>;
  readonly own: Map<string, number>;
  readonly reading: Map<string, number>;
  readonly barred: Map<string, number>;
}

const labelOf = (salt: string, part: string): string => `${salt}\n${part}`;

/** The front's index: which address keeps how many tokens of which part under which salt, from what the core tells and, for a while, from what this front saw itself. */
export class ShelfBook {
  private readonly shelves = new Map<string, Shelf>();

  constructor(private readonly clock: Clock) {}

  private readonly shelf = (address: string): Shelf => {
    const held = this.shelves.get(address);
    if (held !== undefined) return held;
    const fresh: Shelf = {
      isHeard: false,
      unheardAt: null,
      epoch: '',
      pairs: new LifePairs(this.clock),
      kept: new Map(),
      own: new Map(),
      reading: new Map(),
      barred: new Map(),
    };
    this.shelves.set(address, fresh);
    return fresh;
  };

  readonly take = (bundle: readonly ShelfNews[]): void => {
    for (const { address, isWhole, isHeard, epoch, news } of bundle) {
      const shelf = this.shelf(address);
      shelf.unheardAt = isHeard ? null : (shelf.unheardAt ?? this.clock.now());
      shelf.isHeard = isHeard;
      if (epoch !== undefined && epoch !== '' && epoch !== shelf.epoch) {
        if (shelf.epoch !== '') shelf.pairs.isFirstByEpoch();
        shelf.epoch = epoch;
      }
      if (isWhole) shelf.kept.clear();
      for (const { isKept, salt, part, tokens } of news) {
        const label = labelOf(salt, part);
        if (tokens > 0) shelf.kept.set(label, tokens);
        else shelf.kept.delete(label);
        if (!isKept) shelf.own.delete(label);
      }
    }
  };

  /** Another replica has the address: nothing that the one before kept is there, unless its events told so before. */
  readonly bornAt = (address: string): void => {
    const shelf = this.shelves.get(address);
    if (shelf === undefined) return;
    if (shelf.pairs.isFirstById()) shelf.kept.clear();
    shelf.own.clear();
    shelf.reading.clear();
    shelf.barred.clear();
  };

  readonly leftAt = (address: string): void => void this.shelves.delete(address);

  /** Whatever is told, the address does not count as keeping the part for a while. */
  readonly bar = (address: string, salt: string, part: string, forMs: number): void =>
    void this.shelf(address).barred.set(labelOf(salt, part), this.clock.now() + forMs);

  readonly isBarred = (address: string, salt: string, part: string): boolean => {
    const barred = this.shelves.get(address)?.barred;
    const label = labelOf(salt, part);
    const until = barred?.get(label);
    if (until === undefined) return false;
    if (until > this.clock.now()) return true;
    barred?.delete(label);
    return false;
  };

  /** What this front saw itself: `address` was given the part just now. */
  readonly saw = (address: string, salt: string, part: string): void =>
    void this.shelf(address).own.set(labelOf(salt, part), this.clock.now());

  /** `address` is reading the part now: whoever comes there next finds it. */
  readonly reads = (address: string, salt: string, part: string): void =>
    void this.shelf(address).reading.set(labelOf(salt, part), this.clock.now());

  readonly isReading = (address: string, salt: string, part: string): boolean => {
    const shelf = this.shelves.get(address);
    const label = labelOf(salt, part);
    const at = shelf?.reading.get(label);
    if (shelf === undefined || at === undefined || this.isBarred(address, salt, part)) return false;
    if (this.clock.now() - at <= readingMs) return true;
    shelf.reading.delete(label);
    return false;
  };

  /** The address was found without the part: what the index says of it is wrong until told anew. */
  readonly missed = (address: string, salt: string, part: string): void => {
    const shelf = this.shelf(address);
    shelf.own.delete(labelOf(salt, part));
    shelf.kept.delete(labelOf(salt, part));
  };

  /** Memory goes by blocks, so a part is rarely kept to its last token: most of it counts as all. */
  readonly keeps = (address: string, salt: string, part: string, tokens: number): boolean => {
    const shelf = this.shelves.get(address);
    if (shelf === undefined) return false;
    const label = labelOf(salt, part);
    if (this.isBarred(address, salt, part)) return false;
    const isTrusted = shelf.unheardAt === null || this.clock.now() - shelf.unheardAt <= trustUnheardMs;
    if (isTrusted && (shelf.kept.get(label) ?? 0) >= tokens * wholeShare) return true;
    const sawAt = shelf.own.get(label);
    if (sawAt === undefined) return false;
    if (this.clock.now() - sawAt <= trustOwnMs) return true;
    shelf.own.delete(label);
    return false;
  };

  readonly isHeard = (address: string): boolean => this.shelves.get(address)?.isHeard === true;

  readonly sizes = (): { address: string; parts: number; isHeard: boolean; barred: number }[] =>
    [...this.shelves].map(([address, { kept, isHeard, barred }]) => ({
      address,
      parts: kept.size,
      isHeard,
      barred: barred.size,
    }));
}
