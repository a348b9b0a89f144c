export type RouteKind = 'repeatable' | 'once' | 'stream';

interface RouteShare {
  readonly pool: string;
  readonly share: number;
}

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

export interface ReplicaPool {
  readonly name: string;
  readonly connectionLimit: number | null;
  readonly engine: Engine | null;
}

export interface CacheStore {
  readonly name: string;
  readonly address: string;
  readonly zone: string;
  readonly cacheTokens: number;
  readonly linkMbps: number;
  readonly inFlight: number;
}

export interface Customer {
  readonly name: string;
  readonly keyHashes: readonly string[];
  readonly rank: number | null;
  readonly isIsolated: boolean;
}

export interface CallerLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  readonly headerMs: number;
  readonly idleMs: number;
}

export interface RoutingTable {
  readonly routes: readonly Route[];
  readonly pools: readonly ReplicaPool[];
  readonly stores: readonly CacheStore[];
  readonly customers: readonly Customer[] | null;
  readonly limits: CallerLimits;
}

export interface ActiveRouting {
  readonly configVersion: number;
  readonly table: RoutingTable;
  readonly source: string;
}

export interface ReplicaEndpoint {
  readonly id: string;
  readonly pool: string;
  readonly address: string;
  readonly zone: string;
  readonly slots: number;
  readonly isLeaving: boolean;
  readonly weights: Record<string, number>;
}

export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

export interface PrefixCacheEvent {
  readonly isKept: boolean;
  readonly salt: string;
  readonly part: string;
  readonly tokens: number;
}
