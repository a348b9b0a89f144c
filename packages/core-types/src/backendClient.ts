/** The calls of the data plane and control nodes to the platform behind the fleet, and the translation of headers. */
import type { Result } from 'neverthrow';
import type { BackendError } from './errors.js';
import type { PrefixCacheEvent, PromptPart, ReplicaEndpoint, RoutingTable } from './routing.js';

interface WeightsLoadRequest {
  readonly model: string;
  readonly version: number;
  readonly holder: string;
  readonly fence: number;
}

/**
 * `taken`: under way; `holds`: already so; `busy`: another is under way; `outranked`: a higher fencing token was seen;
 * `refused`: never will; `elsewhere`: another replica has the address; `unknown`: it may have been taken.
 */
export type WeightsLoadOutcome = 'taken' | 'holds' | 'busy' | 'outranked' | 'refused' | 'elsewhere' | 'unknown';

interface ReplicaReport {
  readonly weights: Record<string, number>;
  readonly isBusy: boolean;
}

/**
 * Cache events of one address after a number. `epoch` changes with each run of its process, `next` is the number
 * to ask from, and `isLost` tells that events before these are no longer kept.
 */
export interface PrefixCacheEventPage {
  readonly epoch: string;
  readonly next: number;
  readonly isLost: boolean;
  readonly events: readonly PrefixCacheEvent[];
}

interface PrefixCacheListing {
  readonly epoch: string;
  readonly next: number;
  readonly held: readonly PrefixCacheEvent[];
}

/**
 * What control nodes ask of the platform and its replicas. Times are in milliseconds; each call ends within its
 * timeout.
 */
export interface BackendClient {
  readonly listReplicas: () => Promise<Result<readonly ReplicaEndpoint[], BackendError>>;
  readonly requestWeightsLoad: (endpoint: ReplicaEndpoint, order: WeightsLoadRequest) => Promise<WeightsLoadOutcome>;
  readonly readReport: (endpoint: ReplicaEndpoint) => Promise<Result<ReplicaReport, BackendError>>;
  readonly prefixCacheEvents: (
    address: string,
    since: number,
    waitMs: number,
  ) => Promise<Result<PrefixCacheEventPage, BackendError>>;
  readonly prefixCacheListing: (address: string) => Promise<Result<PrefixCacheListing, BackendError>>;
}

/** A caller's request as the data plane understands it; its headers and body stay opaque beside it. */
export interface RequestMetadata {
  readonly id: string;
  readonly key: string | null;
  readonly remainingMs: number | null;
  readonly model: string | null;
  readonly tokensIn: number;
  readonly tokensOut: number;
  readonly parts: readonly PromptPart[];
}

/**
 * What one attempt tells its replica. `remainingMs` is the milliseconds until its deadline; `urgency` the rank, 0
 * first; `salt` the cache namespace; `version` the weights version it must run on; `holder` and `store` are the
 * addresses to fetch cached parts from and to keep them at; `resumeAfter` is the id of the last event that the
 * caller has.
 */
export interface AttemptPlan {
  readonly replica: string;
  readonly remainingMs: number;
  readonly tenant: string | null;
  readonly urgency: number;
  readonly salt: string | null;
  readonly version: number | null;
  readonly holder: string | null;
  readonly store: string | null;
  readonly resumeAfter: string | null;
}

/**
 * `isForRequest`: it bears the request's own id; a response that bears none, a rejection too, may belong to an earlier
 * request.
 */
export interface ResponseHead {
  readonly isForRequest: boolean;
  readonly isNotRun: boolean;
  readonly isSealed: boolean;
  readonly isFromOtherReplica: boolean;
  readonly retryAfterMs: number | null;
  readonly versions: Record<string, number>;
}

/** How callers' and replicas' headers are read and written. Header lists alternate names and values, as they came. */
export interface HeaderCodec {
  readonly requestMetadata: (headers: readonly string[]) => Result<RequestMetadata, string>;
  readonly attemptHeaders: (headers: readonly string[], attempt: AttemptPlan) => string[];
  readonly responseHead: (
    status: number,
    headers: readonly string[],
    orderId: string,
    model: string | null,
  ) => ResponseHead;
  readonly rejectionBody: (message: string) => string;
}

/** A configuration that an operator puts into force: its version, its routing table, and the text it was read from. */
export interface ConfigurationChange {
  readonly configVersion: number;
  readonly table: RoutingTable;
  readonly source: string;
}
