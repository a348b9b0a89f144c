/** Rejections and the HTTP statuses they are sent with. */
import type { ExecutionStatus, Rejection, RejectionCode } from './errors.js';

const statusByCode: Record<RejectionCode, number> = {
  bad_request: 400,
  unknown_key: 401,
  lane_not_granted: 403,
  unknown_lane: 404,
  too_large: 413,
  over_share: 429,
  no_capacity: 503,
  not_fresh: 503,
  draining: 503,
  key_revoked: 401,
  horizon_passed: 503,
  replica_failed: 502,
  cut_stream: 502,
  wrong_weights: 502,
  in_progress: 409,
  outcome_unknown: 409,
  key_reused: 422,
  no_claim: 503,
  caller_left: 499,
  no_such_page: 404,
};

const retryableCodes = new Set<RejectionCode>([
  'over_share',
  'no_capacity',
  'not_fresh',
  'draining',
  'horizon_passed',
  'replica_failed',
  'cut_stream',
  'wrong_weights',
  'in_progress',
  'outcome_unknown',
  'no_claim',
]);

/**
 * Builds rejections and maps them to HTTP statuses. The retry delay of retryable codes is one second unless another is
 * supplied; other codes have none.
 */
export const rejections = {
  of: (code: RejectionCode, ran: ExecutionStatus, detail: string, retryAfterSeconds?: number): Rejection => ({
    kind: 'rejection',
    code,
    ran,
    detail,
    retryAfterSeconds: retryAfterSeconds ?? (retryableCodes.has(code) ? 1 : null),
  }),
  status: (rejection: Rejection): number => statusByCode[rejection.code],
};
