/** What an emulated replica is set up with and what it records. Times are milliseconds of its clock. */

/** Size and speed of a replica. */
export interface EmulatedReplicaSettings {
  readonly name: string;
  /** The address by which others name it in `Cache-From`. */
  readonly address: string;
  readonly incarnation: number;
  /** Requests that run at once. */
  readonly slots: number;
  /** Blocks of KV cache that it keeps. */
  readonly capacityBlocks: number;
  readonly prefillTokensPerMs: number;
  readonly pullTokensPerMs: number;
  /** Milliseconds for one token. */
  readonly decodeMs: number;
  /** The address of the store that it offloads its cache to. */
  readonly store: string | null;
}

/** Faults in force; null, 0 or false: none. */
export interface ReplicaFaults {
  failStatus: number | null;
  /** Seconds. */
  failRetryAfter: number | null;
  truncateAfterChunks: number | null;
  /** Milliseconds before each piece. */
  stallMs: number;
  /** Streams end without the end marker. */
  omitsEnd: boolean;
  /** The weights that responses name in place of the right ones. */
  claimedWeights: string | null;
  /** Cache events are recorded but not sent. */
  dropsEvents: boolean;
  /** Cache events are neither recorded nor sent. */
  hidesEvents: boolean;
  eventDelayMs: number;
  pullDelayMs: number;
}

/** The prefill that a request had to wait for. */
export interface BlockingPrefill {
  readonly requestId: string;
  readonly tokens: number;
  readonly beganAt: number;
}

/** One run of a request. */
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

/** A request that reached the replica, run or not. */
export interface Arrival {
  readonly requestId: string;
  readonly at: number;
}

/** A block of cache that was taken though it belongs to other weights or to another tenant. */
export interface Breach {
  readonly rule: 'weights' | 'tenant';
  readonly requestId: string;
  readonly holder: string;
  readonly block: string;
}
