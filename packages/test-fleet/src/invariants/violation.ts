/** The rules that the fleet must never break, and how a breach of one is reported. */

/** A stable name for each rule; tests and reports refer to rules by these. */
type InvariantRule =
  | 'a call never ended'
  | 'a key not granted'
  | 'a leaving replica got a request'
  | 'a losing change took effect'
  | "a revoked key's stream went on"
  | 'a roll-out was not clean'
  | 'an accepted change is lost'
  | 'an accepted change is not in force'
  | 'an accepted change moved'
  | 'another tenant'
  | 'extra shots'
  | 'foreign KV (tenant)'
  | 'foreign KV (weights)'
  | 'no Retry-After'
  | 'not run, yet ran'
  | 'old weights started'
  | 'runs twice'
  | 'service still mostly absent'
  | 'skipped, repeated or spliced piece'
  | 'success the replica never gave'
  | 'wrong or cut answer looks whole';

/** One breach of a rule, with what a reader needs to find it in the logs. */
export interface Violation {
  readonly rule: InvariantRule;
  readonly detail: string;
}
