/**
 * The configuration of the data plane as the product uses it: routes, pools, stores and customers, and the
 * replicas that the platform lists.
 */

/**
 * Whether a request may be sent again after an attempt of unknown outcome (`repeatable`), may not (`once`), or is
 * answered by a stream of events (`stream`).
 */
export type RouteKind = 'repeatable' | 'once' | 'stream';

interface RouteShare {
  readonly pool: string;
  readonly share: number;
}

/**
 * Requests of one host and path prefix. `timeoutMs` is the longest a request may take, `latencyTargetMs` what is
 * aimed at, `maxEventGapMs` the longest silence in a stream (null: no limit); `rank` 0 is the most urgent;
 * `shares` are weights, relative to each other.
 */
export interface Route {
  readonly name: string;
  readonly host: string;
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  readonly timeoutMs: number;
  readonly latencyTargetMs: number;
  readonly rank: number;
  readonly shares: readonly RouteShare[];
  readonly maxAttempts: number;
  readonly isPublic: boolean;
  readonly isResumable: boolean;
  readonly maxEventGapMs: number | null;
}

interface Engine {
  readonly slots: number;
  readonly cacheTokens: number;
  readonly tokenBytes: number;
  readonly linkMbps: number;
  readonly inFlight: number;
  readonly models: readonly string[];
}

/**
 * Replicas that serve the same requests; `engine` is null where they run no model. `connectionLimit` is per
 * replica, null for none.
 */
export interface ReplicaPool {
  readonly name: string;
  readonly connectionLimit: number | null;
  readonly engine: Engine | null;
}

/**
 * A cache store outside the replicas. `linkMbps` is in megabits a second, `inFlight` how many transfers it takes
 * at once.
 */
export interface CacheStore {
  readonly name: string;
  readonly address: string;
  readonly zone: string;
  readonly cacheTokens: number;
  readonly linkMbps: number;
  readonly inFlight: number;
}

/**
 * A customer and the hashes of its API keys; `rank` null leaves the route's. An isolated one shares no cached
 * prompts with others.
 */
export interface Customer {
  readonly name: string;
  readonly keyHashes: readonly string[];
  readonly rank: number | null;
  readonly isIsolated: boolean;
}

/**
 * Limits on callers: the largest head and body in bytes, the longest wait for a whole head, and how long a
 * connection may be idle, in milliseconds.
 */
export interface CallerLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  readonly headerMs: number;
  readonly idleMs: number;
}

/** A whole configuration. `customers` is null where requests need no key. */
export interface RoutingTable {
  readonly routes: readonly Route[];
  readonly pools: readonly ReplicaPool[];
  readonly stores: readonly CacheStore[];
  readonly customers: readonly Customer[] | null;
  readonly limits: CallerLimits;
}

/** The configuration in force: its version, its table, and the text that operators read back. */
export interface ActiveRouting {
  readonly configVersion: number;
  readonly table: RoutingTable;
  readonly source: string;
}

/**
 * A replica as the platform lists it; `id` names one run of its process. `weights` is the version of each model it
 * has, `isLeaving` tells that it takes no new requests.
 */
export interface ReplicaEndpoint {
  readonly id: string;
  readonly pool: string;
  readonly address: string;
  readonly zone: string;
  readonly slots: number;
  readonly isLeaving: boolean;
  readonly weights: Record<string, number>;
}

/** A part of a prompt that may be cached, by the caller's id, with its length in tokens. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** A part that an address has begun (`isKept`) or ceased to keep, in a cache namespace (`salt`). */
export interface PrefixCacheEvent {
  readonly isKept: boolean;
  readonly salt: string;
  readonly part: string;
  readonly tokens: number;
}
