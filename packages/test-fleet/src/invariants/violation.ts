/** The safety invariants of the fleet, and the report of a violation. */

/** Stable names of the invariants, used by tests and reports. */
type InvariantRule =
  | 'a call never ended'
  | 'ran with a key that is not granted'
  | 'a draining replica got a request'
  | 'a rejected change took effect'
  | "a revoked key's stream continued"
  | 'a roll-out was not clean'
  | 'an accepted change is lost'
  | 'an accepted change is not in effect'
  | 'an accepted change moved'
  | 'ran for another tenant'
  | 'retry budget exceeded'
  | 'foreign KV (tenant)'
  | 'foreign KV (weights)'
  | 'no Retry-After'
  | 'reported as not run, but ran'
  | 'started on old weights'
  | 'runs twice'
  | 'service did not recover'
  | 'skipped, repeated or spliced chunk'
  | 'complete response without a finished run'
  | 'wrong or truncated response looks complete';

/** One violation of an invariant, with the details needed to find it in the logs. */
export interface Violation {
  readonly rule: InvariantRule;
  readonly detail: string;
}
