import type { Result } from 'neverthrow';
import type { BackendError } from './errors.js';
import type { PrefixCacheEvent, PromptPart, ReplicaEndpoint, RoutingTable } from './routing.js';

interface WeightsOrder {
  readonly model: string;
  readonly version: number;
  readonly holder: string;
  readonly fence: number;
}

/** `taken`: under way; `holds`: already so; `busy`: another is under way; `outranked`: a higher fence was seen; `refused`: never will; `elsewhere`: another replica has the address; `unknown`: it may have been taken. */
export type WeightsOrderOutcome = 'taken' | 'holds' | 'busy' | 'outranked' | 'refused' | 'elsewhere' | 'unknown';

interface ReplicaReport {
  readonly weights: Record<string, number>;
  readonly isBusy: boolean;
}

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

/** What the core asks of the world behind the fleet. Times are in milliseconds; each call ends within its patience. */
export interface BackendClient {
  readonly replicas: () => Promise<Result<readonly ReplicaEndpoint[], BackendError>>;
  readonly order: (endpoint: ReplicaEndpoint, order: WeightsOrder) => Promise<WeightsOrderOutcome>;
  readonly report: (endpoint: ReplicaEndpoint) => Promise<Result<ReplicaReport, BackendError>>;
  readonly prefixCacheEvents: (
    address: string,
    since: number,
    waitMs: number,
  ) => Promise<Result<PrefixCacheEventPage, BackendError>>;
  readonly prefixCacheListing: (address: string) => Promise<Result<PrefixCacheListing, BackendError>>;
}

/** A caller's order as the data plane understands it; its headers and body stay opaque beside it. */
export interface RequestMetadata {
  readonly id: string;
  readonly key: string | null;
  readonly leftMs: number | null;
  readonly model: string | null;
  readonly tokensIn: number;
  readonly tokensOut: number;
  readonly parts: readonly PromptPart[];
}

export interface AttemptPlan {
  readonly replica: string;
  readonly leftMs: number;
  readonly tenant: string | null;
  readonly urgency: number;
  readonly salt: string | null;
  readonly version: number | null;
  readonly holder: string | null;
  readonly store: string | null;
  readonly resumeAfter: string | null;
}

/** `isOwn`: it bears the request's own id; an answer that bears none, a refusal too, may belong to an earlier request. */
export interface ResponseHead {
  readonly isOwn: boolean;
  readonly isNotRun: boolean;
  readonly isSealed: boolean;
  readonly isElsewhere: boolean;
  readonly retryAfterMs: number | null;
  readonly versions: Record<string, number>;
}

/** How callers' and replicas' headers are read and written. Header lists alternate names and values, as they came. */
export interface HeaderCodec {
  readonly order: (headers: readonly string[]) => Result<RequestMetadata, string>;
  readonly attemptHeaders: (headers: readonly string[], attempt: AttemptPlan) => string[];
  readonly responseHead: (
    status: number,
    headers: readonly string[],
    orderId: string,
    model: string | null,
  ) => ResponseHead;
  readonly rejectionBody: (message: string) => string;
}

export interface ConfigurationChange {
  readonly configVersion: number;
  readonly table: RoutingTable;
  readonly source: string;
}
