/** The settings, faults and records of an emulated replica. Times are milliseconds of its clock. */

/** Identity, size and speed of a replica. */
export interface EmulatedReplicaSettings {
  readonly name: string;
  /** The address with which `Cache-From` headers refer to this replica. */
  readonly address: string;
  readonly incarnation: number;
  /** Maximum number of concurrent requests. */
  readonly slots: number;
  /** Capacity of the KV cache in blocks. */
  readonly capacityBlocks: number;
  readonly prefillTokensPerMs: number;
  readonly pullTokensPerMs: number;
  /** Milliseconds per generated token. */
  readonly decodeMs: number;
  /** The address of the cache store to which it offloads blocks; null without one. */
  readonly store: string | null;
}

/** The active faults; null, 0 or false means none. */
export interface ReplicaFaults {
  failStatus: number | null;
  /** The `Retry-After` value in seconds. */
  failRetryAfter: number | null;
  truncateAfterChunks: number | null;
  /** Milliseconds of delay before each token. */
  stallMs: number;
  /** Streams end without the end marker. */
  omitsEnd: boolean;
  /** The weights that responses report instead of the actual ones. */
  claimedWeights: string | null;
  /** Cache events are recorded but not sent. */
  dropsEvents: boolean;
  /** Cache events are neither recorded nor sent. */
  hidesEvents: boolean;
  eventDelayMs: number;
  pullDelayMs: number;
}

/** The prefill that a request waited for. */
export interface BlockingPrefill {
  readonly requestId: string;
  readonly tokens: number;
  readonly beganAt: number;
}

/** One run of a request on a replica. */
export interface Run {
  readonly requestId: string;
  readonly runId: string;
  readonly tenant: string;
  readonly isIsolated: boolean;
  readonly weights: string;
  readonly priority: number;
  readonly startedAt: number;
  readonly cacheFrom: string | null;
  readonly path: string;
  prefilledTokens: number;
  pulledTokens: number;
  localTokens: number;
  /** Milliseconds that the request waited for its prefill. */
  waitedMs: number;
  blockedBy: BlockingPrefill | null;
  isFinished: boolean;
  idempotencyKey: string | null;
}

/** A request that reached the replica, whether it ran or not. */
export interface Arrival {
  readonly requestId: string;
  readonly at: number;
}

/** A cached block that was pulled although it belongs to other weights or to another tenant. */
export interface Breach {
  readonly rule: 'weights' | 'tenant';
  readonly requestId: string;
  readonly holder: string;
  readonly block: string;
}
