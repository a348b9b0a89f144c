/** The messages between edges and control nodes. */
import type { Member } from './committedState.js';
import type { Customer, PrefixCacheEvent, ReplicaEndpoint, Route, RoutingTable } from './routing.js';

/** A difference of two lists: entries added or replaced (`put`), and the names of removed ones (`gone`). */
export interface ListPatch<T> {
  readonly put: readonly T[];
  readonly gone: readonly string[];
}

/**
 * The difference between the routing table of configuration version `from` and a later one: changes of routes and of
 * customers (null where the later one has no customers). The rest of a routing table is small and sent in full.
 */
export interface RoutingTablePatch extends ListPatch<Route> {
  readonly from: number;
  readonly customers: ListPatch<Customer> | null;
  readonly rest: Omit<RoutingTable, 'routes' | 'customers'>;
}

/**
 * A routing table, or a patch to configuration version `from` where that is not null, as JSON compressed with raw deflate
 * (RFC 1951).
 */
export interface PackedRoutingTable {
  readonly from: number | null;
  readonly deflated: Uint8Array;
}

/** A target version of a model's weights, and the milliseconds since the sender first saw it. */
export interface WeightsAge {
  readonly version: number;
  readonly msAgo: number;
}

/** The ages of the latest weights targets by model, sent from one control node to another. */
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
 * The active state as an edge stores it; `weightsAges` has the latest target versions of each model with their ages at
 * the sender, the newest last.
 */
export interface EdgeState extends EdgeStateFields {
  readonly table: RoutingTable | null;
}

/**
 * The active state as a control node sends it to an edge; `packedTable` is null where the edge already has this
 * configuration version.
 */
export interface EdgeStateMessage extends EdgeStateFields {
  readonly packedTable: PackedRoutingTable | null;
}

/** How current a node is: the log index of its committed state, and its active configuration version. */
export interface StatePosition {
  readonly logIndex: number;
  readonly configVersion: number;
}

/**
 * An edge's subscription at a control node to state after its own position. Without `wantsContent` the control node
 * announces positions only.
 */
export interface Subscription extends StatePosition {
  readonly wantsContent: boolean;
}

/**
 * Endpoints added or replaced (`put`), and ids of removed ones (`gone`); with `isWhole`, `put` is the complete list.
 */
export interface EndpointListUpdate {
  readonly isWhole: boolean;
  readonly put: readonly ReplicaEndpoint[];
  readonly gone: readonly string[];
}

/**
 * The progress of a replica that loads other weights: `version` is null while it loads, which edges assume to take `forMs`
 * milliseconds, and the new version once it is loaded.
 */
export interface WeightsUpdate {
  readonly id: string;
  readonly model: string;
  readonly version: number | null;
  readonly forMs: number;
}

/**
 * Prompt parts that one address has cached. With `isWhole` the list is complete; `isHeard` is whether a control node
 * follows its events.
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
 * A control node's reply to an edge's heartbeat. `hasMajority` is whether it is in contact with a majority of the
 * members; `majorityHeardMs` is the milliseconds since it last received bytes from every member of a majority, null
 * where it is not connected to one. `edgeCount` is the number of edges in contact with it, and `listAgeMs` the age of
 * its replica list.
 */
export interface EdgePong {
  readonly logIndex: number;
  readonly edgeCount: number;
  readonly hasMajority: boolean;
  readonly majorityHeardMs: number | null;
  readonly listAgeMs: number | null;
}

/**
 * A long prefill that one edge started on a replica: `tokens` is 0 once it is finished. Sent to the other edges, which
 * do not see each other's requests.
 */
export interface PrefillNotice {
  readonly id: string;
  readonly replica: string;
  readonly tokens: number;
  readonly salt: string | null;
  readonly part: string | null;
}

/**
 * A report of cache misses that contradict the prefix index: the index has these parts at the address, but a response
 * shows that they were not cached. With `isDecided` there were enough misses to remove the parts from the index;
 * without it there was one. With `quarantineMs` the address does not count as caching them for that long, regardless of its
 * events.
 */
export interface CacheMissReport {
  readonly address: string;
  readonly salt: string;
  readonly parts: readonly string[];
  readonly isDecided: boolean;
  readonly quarantineMs: number | null;
}
