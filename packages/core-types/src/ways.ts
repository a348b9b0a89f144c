export type WayKind = 'repeatable' | 'once' | 'stream';

interface WayShare {
  readonly pool: string;
  readonly share: number;
}

export interface Way {
  readonly name: string;
  readonly host: string;
  readonly pathStart: string;
  readonly kind: WayKind;
  readonly horizonMs: number;
  readonly targetMs: number;
  readonly rank: number;
  readonly shares: readonly WayShare[];
  readonly shots: number;
  readonly isOpen: boolean;
  readonly mayResume: boolean;
  readonly gapMs: number | null;
}

interface Engine {
  readonly slots: number;
  readonly cacheTokens: number;
  readonly tokenBytes: number;
  readonly linkMbps: number;
  readonly inFlight: number;
  readonly models: readonly string[];
}

export interface WayPool {
  readonly name: string;
  readonly connectionLimit: number | null;
  readonly engine: Engine | null;
}

export interface WayStore {
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

export interface WayBook {
  readonly ways: readonly Way[];
  readonly pools: readonly WayPool[];
  readonly stores: readonly WayStore[];
  readonly customers: readonly Customer[] | null;
  readonly limits: CallerLimits;
}

export interface WaysInForce {
  readonly edition: number;
  readonly book: WayBook;
  readonly source: string;
}

export interface ReplicaCard {
  readonly id: string;
  readonly pool: string;
  readonly address: string;
  readonly zone: string;
  readonly slots: number;
  readonly isLeaving: boolean;
  readonly weights: Record<string, number>;
}

export interface Part {
  readonly id: string;
  readonly tokens: number;
}

export interface KeptNews {
  readonly isKept: boolean;
  readonly salt: string;
  readonly part: string;
  readonly tokens: number;
}
