/** Errors of the gateway's own modules; each has a stable `code`. */
import type { RejectionCode } from '@martenworks/core-types';

/** Why a key may not, or may no longer, use a lane; `code` is the one sent to the caller. */
export interface GrantError {
  readonly code: Extract<RejectionCode, 'key_revoked' | 'unknown_lane' | 'lane_not_granted'>;
  readonly detail: string;
}

/** Why a request is rejected, for its body or its rate, before it is queued. */
export interface LookupError {
  readonly code: Extract<
    RejectionCode,
    'not_fresh' | 'bad_request' | 'unknown_lane' | 'lane_not_granted' | 'over_share'
  >;
  readonly detail: string;
}

/** Why a request is not run under its idempotency key. */
export interface ClaimRejection {
  readonly code: Extract<RejectionCode, 'in_progress' | 'outcome_unknown' | 'key_reused' | 'no_claim'>;
  readonly detail: string;
}

/** Thrown when a request would make a state transition that is not allowed, which is a bug in the gateway. */
export class InvalidTransitionError extends Error {
  /** Stable error code. */
  readonly code = 'invalid_transition';

  constructor(from: string, to: string) {
    super(`invalid request state transition from ${from} to ${to}`);
  }
}
