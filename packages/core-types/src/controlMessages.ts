import type { Member } from './committedState.js';
import type { Customer, PrefixCacheEvent, ReplicaEndpoint, Route, RoutingTable } from './routing.js';

/** Entries put, by name, and names taken away. */
export interface ListPatch<T> {
  readonly put: readonly T[];
  readonly gone: readonly string[];
}

/** What changed from the configuration version `from` to a later one: routes put and names taken away, customers likewise (null where the later one has none); the rest of a routing table is small and comes whole. */
export interface RoutingTablePatch extends ListPatch<Route> {
  readonly from: number;
  readonly customers: ListPatch<Customer> | null;
  readonly rest: Omit<RoutingTable, 'routes' | 'customers'>;
}

/** A routing table, or where `from` is an configuration version, a patch that builds on it; as JSON in raw deflate. */
export interface PackedRoutingTable {
  readonly from: number | null;
  readonly deflated: Uint8Array;
}

interface WeightsAge {
  readonly version: number;
  readonly msAgo: number;
}

interface EdgeStateFields {
  readonly logIndex: number;
  readonly configVersion: number;
  readonly targetWeights: Record<string, number>;
  readonly weightsAges: Record<string, readonly WeightsAge[]>;
  readonly members: readonly Member[];
}

/** What is in force, as an edge holds it; `namedAges` tells since when the teller knows the latest named versions of each model, the newest last. */
export interface EdgeState extends EdgeStateFields {
  readonly table: RoutingTable | null;
}

/** What is in force, as a control node tells it to an edge; `book` is null where the edge holds that edition. */
export interface EdgeStateMessage extends EdgeStateFields {
  readonly packedTable: PackedRoutingTable | null;
}

export interface StatePosition {
  readonly logIndex: number;
  readonly configVersion: number;
}

export interface Subscription extends StatePosition {
  readonly wantsContent: boolean;
}

export interface EndpointListUpdate {
  readonly isWhole: boolean;
  readonly put: readonly ReplicaEndpoint[];
  readonly gone: readonly string[];
}

/** A replica that is being brought to other weights: `version` is null while it is, and the new one once it holds it. */
export interface WeightsUpdate {
  readonly id: string;
  readonly model: string;
  readonly version: number | null;
  readonly forMs: number;
}

/** Which parts one address keeps; `isWhole` says that nothing else of it is known. */
export interface PrefixCacheUpdate {
  readonly address: string;
  readonly isWhole: boolean;
  readonly isHeard: boolean;
  readonly epoch?: string;
  readonly events: readonly PrefixCacheEvent[];
}

export interface EdgePing extends StatePosition {
  readonly isReady: boolean;
}

/** `isSettled` tells whether the control node hears a majority of the members; `majorityHeardMs` how many milliseconds ago it last had bytes of each of a majority, null where it has no connection to one. */
export interface EdgePong {
  readonly logIndex: number;
  readonly edgeCount: number;
  readonly hasMajority: boolean;
  readonly majorityHeardMs: number | null;
  readonly listAgeMs: number | null;
}

/** A long prompt that one edge has a replica read: `tokens` is 0 once it is read. Told to the other edges, which do not see each other's requests. */
export interface PrefillNotice {
  readonly id: string;
  readonly replica: string;
  readonly tokens: number;
  readonly salt: string | null;
  readonly part: string | null;
}

/** Parts that a edge's answers speak against at an address where the index has them: one strike, or decided that they are gone. With `barMs` the address does not count as keeping them for that long, whatever its events tell. */
export interface CacheMissReport {
  readonly address: string;
  readonly salt: string;
  readonly parts: readonly string[];
  readonly isDecided: boolean;
  readonly quarantineMs: number | null;
}
