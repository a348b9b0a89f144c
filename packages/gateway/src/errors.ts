/** The errors of the gateway's own modules. Each has a stable `code`. */
import type { RejectionCode } from '@martenworks/core-types';

/** Why a key may not, or may no longer, use a lane; the code is the one that the caller is told. */
export interface GrantError {
  readonly code: Extract<RejectionCode, 'key_revoked' | 'unknown_lane' | 'lane_not_granted'>;
  readonly detail: string;
}

/** Why a request's body or rate is refused before it is queued. */
export interface LookupError {
  readonly code: Extract<
    RejectionCode,
    'not_fresh' | 'bad_request' | 'unknown_lane' | 'lane_not_granted' | 'over_share'
  >;
  readonly detail: string;
}

/** Why a request does not run under its idempotency key. */
export interface ClaimRejection {
  readonly code: Extract<RejectionCode, 'in_progress' | 'outcome_unknown' | 'key_reused' | 'no_claim'>;
  readonly detail: string;
}

/** A request was moved between two states that no transition joins: a fault of this program. */
export class InvalidTransitionError extends Error {
  /** Stable name of this error. */
  readonly code = 'invalid_transition';

  constructor(from: string, to: string) {
    super(`a request cannot go from ${from} to ${to}`);
  }
}
