import type { Member } from './layout.js';
import type { Customer, KeptNews, ReplicaCard, Way, WayBook } from './ways.js';

/** Entries put, by name, and names taken away. */
export interface ListPatch<T> {
  readonly put: readonly T[];
  readonly gone: readonly string[];
}

/** What changed from the edition `from` to a later one: ways put and names taken away, customers likewise (null where the later one has none); the rest of a book is small and comes whole. */
export interface BookPatch extends ListPatch<Way> {
  readonly from: number;
  readonly customers: ListPatch<Customer> | null;
  readonly rest: Omit<WayBook, 'ways' | 'customers'>;
}

/** A book, or where `from` is an edition, a patch that builds on it; as JSON in raw deflate. */
export interface PackedBook {
  readonly from: number | null;
  readonly deflated: Uint8Array;
}

interface NamedAge {
  readonly version: number;
  readonly msAgo: number;
}

interface StateTerms {
  readonly generation: number;
  readonly edition: number;
  readonly named: Record<string, number>;
  readonly namedAges: Record<string, readonly NamedAge[]>;
  readonly members: readonly Member[];
}

/** What is in force, as a front holds it; `namedAges` tells since when the teller knows the latest named versions of each model, the newest last. */
export interface StateNews extends StateTerms {
  readonly book: WayBook | null;
}

/** What is in force, as a core node tells it to a front; `book` is null where the front holds that edition. */
export interface StateMessage extends StateTerms {
  readonly book: PackedBook | null;
}

export interface StateHeld {
  readonly generation: number;
  readonly edition: number;
}

export interface Subscription extends StateHeld {
  readonly wantsContent: boolean;
}

export interface CardsNews {
  readonly isWhole: boolean;
  readonly put: readonly ReplicaCard[];
  readonly gone: readonly string[];
}

/** A replica that is being brought to other weights: `version` is null while it is, and the new one once it holds it. */
export interface WeightsNews {
  readonly id: string;
  readonly model: string;
  readonly version: number | null;
  readonly forMs: number;
}

/** Which parts one address keeps; `isWhole` says that nothing else of it is known. */
export interface ShelfNews {
  readonly address: string;
  readonly isWhole: boolean;
  readonly isHeard: boolean;
  readonly epoch?: string;
  readonly news: readonly KeptNews[];
}

export interface FrontPing extends StateHeld {
  readonly isReady: boolean;
}

/** `isSettled` tells whether the core node hears a majority of the members; `majorityHeardMs` how many milliseconds ago it last had bytes of each of a majority, null where it has no connection to one. */
export interface FrontPong {
  readonly generation: number;
  readonly fronts: number;
  readonly isSettled: boolean;
  readonly majorityHeardMs: number | null;
  readonly listAgeMs: number | null;
}

/** A long prompt that one front has a replica read: `tokens` is 0 once it is read. Told to the other fronts, which do not see each other's requests. */
export interface ReadingNews {
  readonly id: string;
  readonly replica: string;
  readonly tokens: number;
  readonly salt: string | null;
  readonly part: string | null;
}

/** Parts that a front's answers speak against at an address where the index has them: one strike, or decided that they are gone. With `barMs` the address does not count as keeping them for that long, whatever its events tell. */
export interface MissedNews {
  readonly address: string;
  readonly salt: string;
  readonly parts: readonly string[];
  readonly isDecided: boolean;
  readonly barMs: number | null;
}
