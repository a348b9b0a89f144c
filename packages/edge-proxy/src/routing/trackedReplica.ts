/** An edge's record of one replica: endpoint, load and health. Times are in milliseconds of the clock. */
import type { ReplicaEndpoint } from '@martenworks/core-types';

/** Milliseconds for which a replica is suspect after a first failure; doubled after each further one. */
export const initialSuspicionMs = 400;

/**
 * A replica's mutable record. `running` and `pendingTokens` count this edge's attempts and `otherEdgesTokens` the prefills
 * that other edges announced. `...Until`, `...At` and `missingSince` are points in time in milliseconds.
 */
export interface TrackedReplica {
  endpoint: ReplicaEndpoint;
  running: number;
  pendingTokens: number;
  otherEdgesTokens: number;
  suspectUntil: number;
  suspicionMs: number;
  fullUntil: number;
  loadingUntil: number;
  errorRate: number;
  errorRateAt: number;
  lastAttemptFailed: boolean;
  isRemoved: boolean;
  missingSince: number | null;
  readonly removalListeners: Set<() => void>;
  readonly prefillRates: number[];
  readonly tokenArrivals: { readonly at: number; readonly tokens: number }[];
}

/** Creates the record of a replica that appears in the endpoint list. */
export const trackedReplicas = {
  of: (endpoint: ReplicaEndpoint): TrackedReplica => ({
    endpoint,
    running: 0,
    pendingTokens: 0,
    otherEdgesTokens: 0,
    suspectUntil: 0,
    suspicionMs: initialSuspicionMs,
    fullUntil: 0,
    loadingUntil: 0,
    errorRate: 0,
    errorRateAt: 0,
    lastAttemptFailed: false,
    isRemoved: false,
    missingSince: null,
    removalListeners: new Set(),
    prefillRates: [],
    tokenArrivals: [],
  }),
};
