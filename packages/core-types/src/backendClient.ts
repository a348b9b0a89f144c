/** The client interface to the platform and its replicas, and the codec between HTTP headers and request metadata. */
import type { Result } from 'neverthrow';
import type { BackendError } from './errors.js';
import type { PrefixCacheEvent, PromptPart, ReplicaEndpoint, RoutingTable } from './routing.js';

/** A request to load weights; `holder` is the node that holds the lease for it, and `fence` its fencing token. */
interface WeightsLoadRequest {
  readonly model: string;
  readonly version: number;
  readonly holder: string;
  readonly fence: number;
}

/**
 * A replica's answer to a request to load weights.
 *
 * - `taken`: loading has started
 * - `holds`: the replica has this version already
 * - `busy`: another load is in progress
 * - `outranked`: the replica has seen a higher fencing token
 * - `refused`: the replica will never load this version
 * - `elsewhere`: another replica answered at this address
 * - `unknown`: no usable answer; the request may have been accepted
 */
export type WeightsLoadOutcome = 'taken' | 'holds' | 'busy' | 'outranked' | 'refused' | 'elsewhere' | 'unknown';

interface ReplicaReport {
  readonly weights: Record<string, number>;
  readonly isBusy: boolean;
}

/**
 * Prefix cache events of one address from a sequence number on. `epoch` changes with each run of the replica's process,
 * `next` is the sequence number to request next, and `isLost` is set where earlier events are no longer available.
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
 * Calls of control nodes to the platform and its replicas. Each call has a timeout of its own; times are in
 * milliseconds.
 */
export interface BackendClient {
  readonly listReplicas: () => Promise<Result<readonly ReplicaEndpoint[], BackendError>>;
  readonly requestWeightsLoad: (endpoint: ReplicaEndpoint, request: WeightsLoadRequest) => Promise<WeightsLoadOutcome>;
  readonly readReport: (endpoint: ReplicaEndpoint) => Promise<Result<ReplicaReport, BackendError>>;
  readonly prefixCacheEvents: (
    address: string,
    since: number,
    waitMs: number,
  ) => Promise<Result<PrefixCacheEventPage, BackendError>>;
  readonly prefixCacheListing: (address: string) => Promise<Result<PrefixCacheListing, BackendError>>;
}

/**
 * The parts of a caller's request that the data plane reads from its headers; the other headers and the body are
 * forwarded as they are. `remainingMs` is the time until the deadline in milliseconds, null for none.
 */
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
 * What one attempt passes to its replica in headers: `remainingMs` is the milliseconds until the deadline, `urgency`
 * the rank (0 is the most urgent), `salt` the cache namespace, `version` the weights version that it must run on,
 * `holder` the address to fetch cached prompt parts from, `store` the address to store them at, and `resumeAfter` the
 * id of the last event that the caller received.
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
 * What the head of a response says about its request.
 *
 * - `isForRequest`: it carries the request's id; without one, even a rejection may belong to an earlier request
 * - `isNotRun`: the replica did not run the request
 * - `isSealed`: it carries the replica's seal
 * - `isFromOtherReplica`: another replica answered at this address
 * - `versions`: the weights version of each model
 */
export interface ResponseMetadata {
  readonly isForRequest: boolean;
  readonly isNotRun: boolean;
  readonly isSealed: boolean;
  readonly isFromOtherReplica: boolean;
  readonly retryAfterMs: number | null;
  readonly versions: Record<string, number>;
}

/**
 * Reads and writes the headers of callers and replicas. Header lists alternate names and values, in the order in which
 * they were received.
 */
export interface HeaderCodec {
  readonly requestMetadata: (headers: readonly string[]) => Result<RequestMetadata, string>;
  readonly attemptHeaders: (headers: readonly string[], attempt: AttemptPlan) => string[];
  readonly responseMetadata: (
    status: number,
    headers: readonly string[],
    requestId: string,
    model: string | null,
  ) => ResponseMetadata;
  readonly rejectionBody: (message: string) => string;
}

/** A configuration that an operator activates: its version, its routing table, and the text it was parsed from. */
export interface ConfigurationChange {
  readonly configVersion: number;
  readonly table: RoutingTable;
  readonly source: string;
}
