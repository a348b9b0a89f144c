/**
 * The configuration of the data plane: routes, pools, stores and customers, and the replicas that the platform lists.
 */

/**
 * Whether a request may be retried after an attempt with an unknown outcome (`repeatable`), may not be retried
 * (`once`), or is answered by a stream of events (`stream`).
 */
export type RouteKind = 'repeatable' | 'once' | 'stream';

interface RouteShare {
  readonly pool: string;
  readonly share: number;
}

/**
 * The requests of one host and path prefix. `timeoutMs` is the maximum duration of a request, `latencyTargetMs` the
 * desired one, and `maxEventGapMs` the longest gap between events of a stream (null for no limit). `rank` 0 is the most
 * urgent. `shares` splits the requests between pools, with weights relative to each other.
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
 * Replicas that serve the same requests; `engine` is null where they run no model. `connectionLimit` is per replica,
 * null for no limit.
 */
export interface ReplicaPool {
  readonly name: string;
  readonly connectionLimit: number | null;
  readonly engine: Engine | null;
}

/**
 * A cache store outside the replicas. `linkMbps` is in megabits per second, `inFlight` the maximum number of concurrent
 * transfers.
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
 * A customer and the hashes of its API keys. `rank` overrides the rank of the route unless it is null. An isolated
 * customer shares no cached prompts with others.
 */
export interface Customer {
  readonly name: string;
  readonly keyHashes: readonly string[];
  readonly rank: number | null;
  readonly isIsolated: boolean;
}

/**
 * Limits on callers: the maximum size of head and body in bytes, the timeout for receiving a complete head, and the
 * idle timeout of a connection, in milliseconds.
 */
export interface CallerLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  readonly headerMs: number;
  readonly idleMs: number;
}

/** A complete configuration. `customers` is null where requests need no key. */
export interface RoutingTable {
  readonly routes: readonly Route[];
  readonly pools: readonly ReplicaPool[];
  readonly stores: readonly CacheStore[];
  readonly customers: readonly Customer[] | null;
  readonly limits: CallerLimits;
}

/** The active configuration: its version, its table, and the source text that operators read back. */
export interface ActiveRouting {
  readonly configVersion: number;
  readonly table: RoutingTable;
  readonly source: string;
}

/**
 * A replica as the platform lists it; `id` names one run of its process. `weights` has the loaded version of each
 * model; a replica with `isLeaving` accepts no new requests.
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

/** A part of a prompt that may be cached, with the id that the caller gave it and its length in tokens. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** An event of a prefix cache: a part was stored (`isKept`) or evicted, in a cache namespace (`salt`). */
export interface PrefixCacheEvent {
  readonly isKept: boolean;
  readonly salt: string;
  readonly part: string;
  readonly tokens: number;
}
