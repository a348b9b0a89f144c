export type Ran = 'no' | 'unknown';

export type DenyCode =
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

const statusByCode: Record<DenyCode, number> = {
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

export interface Deny {
  readonly kind: 'deny';
  readonly code: DenyCode;
  readonly ran: Ran;
  readonly detail: string;
  readonly retryAfterSeconds: number | null;
}

const comesBack = new Set<DenyCode>([
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

export const deny = {
  of: (code: DenyCode, ran: Ran, detail: string, retryAfterSeconds?: number): Deny => ({
    kind: 'deny',
    code,
    ran,
    detail,
    retryAfterSeconds: retryAfterSeconds ?? (comesBack.has(code) ? 1 : null),
  }),
  status: (denied: Deny): number => statusByCode[denied.code],
};
