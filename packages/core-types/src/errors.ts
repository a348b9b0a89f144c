/**
 * The errors of this package. Each has a `kind` that gives its type, and a `code` that is stable between releases.
 */

/**
 * A failed disk operation. `code` is that of the operating system (`ENOSPC`, `EIO`), or `NODATA` on a node without a
 * data folder.
 */
export interface DiskError {
  readonly kind: 'disk';
  readonly code: string;
  readonly detail: string;
}

/**
 * A failed connection or request. With `isUnsent` no byte of it reached the network, so that it is safe to retry.
 * `code` is that of the operating system or of the HTTP client.
 */
export interface NetworkError {
  readonly kind: 'net';
  readonly code: string;
  readonly isUnsent: boolean;
}

/** A failed call to the platform or to a replica's management endpoints. */
export interface BackendError {
  readonly kind: 'backend';
  readonly code: string;
}

/** Whether a rejected request may have run on a replica. */
export type ExecutionStatus = 'no' | 'unknown';

/** Why a request was rejected. The codes and their HTTP statuses are part of the wire format. */
export type RejectionCode =
  | 'bad_request'
  | 'unknown_key'
  | 'lane_not_granted'
  | 'unknown_lane'
  | 'too_large'
  | 'over_share'
  | 'no_capacity'
  | 'not_fresh'
  | 'draining'
  | 'key_revoked'
  | 'horizon_passed'
  | 'replica_failed'
  | 'cut_stream'
  | 'wrong_weights'
  | 'in_progress'
  | 'outcome_unknown'
  | 'key_reused'
  | 'no_claim'
  | 'caller_left'
  | 'no_such_page';

/**
 * A response of the gateway itself instead of a replica's. `retryAfterSeconds` is null where a retry cannot succeed.
 */
export interface Rejection {
  readonly kind: 'rejection';
  readonly code: RejectionCode;
  readonly ran: ExecutionStatus;
  readonly detail: string;
  readonly retryAfterSeconds: number | null;
}
