/** The messages between edges and control nodes. */
import type { Member } from './committedState.js';
import type { Customer, PrefixCacheEvent, ReplicaEndpoint, Route, RoutingTable } from './routing.js';

/** Entries put, by name, and names taken away. */
export interface ListPatch<T> {
  readonly put: readonly T[];
  readonly gone: readonly string[];
}

/**
 * What changed from the configuration version `from` to a later one: routes put and names taken away, customers
 * likewise (null where the later one has none); the rest of a routing table is small and comes whole.
 */
export interface RoutingTablePatch extends ListPatch<Route> {
  readonly from: number;
  readonly customers: ListPatch<Customer> | null;
  readonly rest: Omit<RoutingTable, 'routes' | 'customers'>;
}

/** A routing table, or where `from` is a configuration version, a patch that builds on it; as JSON in raw deflate. */
export interface PackedRoutingTable {
  readonly from: number | null;
  readonly deflated: Uint8Array;
}

/** A version of a model's weights, and how many milliseconds ago it was named as far as the sender remembers. */
export interface WeightsAge {
  readonly version: number;
  readonly msAgo: number;
}

/** What a control node tells another one of the latest targets, by model. */
export interface WeightsAgesMessage {
  readonly weightsAges: Record<string, readonly WeightsAge[]>;
}

interface EdgeStateFields {
  readonly logIndex: number;
  readonly configVersion: number;
  readonly targetWeights: Record<string, number>;
  readonly weightsAges: Record<string, readonly WeightsAge[]>;
  readonly members: readonly Member[];
}

/**
 * What is in force, as an edge knows it; `weightsAges` tells since when the sender knows the latest versions named of
 * each model, the newest last.
 */
export interface EdgeState extends EdgeStateFields {
  readonly table: RoutingTable | null;
}

/**
 * What is in force, as a control node sends it to an edge; `packedTable` is null where the edge has that configuration
 * version.
 */
export interface EdgeStateMessage extends EdgeStateFields {
  readonly packedTable: PackedRoutingTable | null;
}

/** Where a node stands: log index of the committed state, version of the configuration in force. */
export interface StatePosition {
  readonly logIndex: number;
  readonly configVersion: number;
}

/** An edge asks a control node for the state after its position; without `wantsContent` it is told positions only. */
export interface Subscription extends StatePosition {
  readonly wantsContent: boolean;
}

/** Endpoints that were put, by id, and ids taken away; `isWhole` tells that there are no others. */
export interface EndpointListUpdate {
  readonly isWhole: boolean;
  readonly put: readonly ReplicaEndpoint[];
  readonly gone: readonly string[];
}

/**
 * A replica that is being brought to other weights: `version` is null while it is, and the new one once it holds it.
 */
export interface WeightsUpdate {
  readonly id: string;
  readonly model: string;
  readonly version: number | null;
  readonly forMs: number;
}

/**
 * Which parts one address keeps; `isWhole` tells that it keeps no others, `isHeard` whether its events are being
 * followed.
 */
export interface PrefixCacheUpdate {
  readonly address: string;
  readonly isWhole: boolean;
  readonly isHeard: boolean;
  readonly epoch?: string;
  readonly events: readonly PrefixCacheEvent[];
}

/** An edge's heartbeat to a control node, with its position. */
export interface EdgePing extends StatePosition {
  readonly isReady: boolean;
}

/**
 * `hasMajority` tells whether the control node hears a majority of the members; `majorityHeardMs` how many milliseconds
 * ago it last had bytes of each of a majority, null where it has no connection to one.
 */
export interface EdgePong {
  readonly logIndex: number;
  readonly edgeCount: number;
  readonly hasMajority: boolean;
  readonly majorityHeardMs: number | null;
  readonly listAgeMs: number | null;
}

/**
 * A long prompt that one edge has a replica read: `tokens` is 0 once it is read. Sent to the other edges, which do not
 * see each other's requests.
 */
export interface PrefillNotice {
  readonly id: string;
  readonly replica: string;
  readonly tokens: number;
  readonly salt: string | null;
  readonly part: string | null;
}

/**
 * Cached parts that responses to an edge speak against, at an address where the index has them: one miss, or, with
 * `isDecided`, enough of them to count the parts as gone. With `quarantineMs` the address does not count as keeping
 * them for that long, whatever its events tell.
 */
export interface CacheMissReport {
  readonly address: string;
  readonly salt: string;
  readonly parts: readonly string[];
  readonly isDecided: boolean;
  readonly quarantineMs: number | null;
}
