export type Ran = 'no' | 'unknown';

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

export interface Rejection {
  readonly kind: 'rejection';
  readonly code: RejectionCode;
  readonly ran: Ran;
  readonly detail: string;
  readonly retryAfterSeconds: number | null;
}

const isRetryable = new Set<RejectionCode>([
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

export const rejections = {
  of: (code: RejectionCode, ran: Ran, detail: string, retryAfterSeconds?: number): Rejection => ({
    kind: 'rejection',
    code,
    ran,
    detail,
    retryAfterSeconds: retryAfterSeconds ?? (isRetryable.has(code) ? 1 : null),
  }),
  status: (rejection: Rejection): number => statusByCode[rejection.code],
};
