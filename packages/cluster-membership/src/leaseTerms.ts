/**
 * The messages and terms of leases. A duty is a task that only one node may perform at a time; its lease is held by the
 * node to which a majority of the voters granted it.
 */

/** The duration of a grant that is not renewed, in milliseconds. */
export const leaseMs = 3_000;
const marginMs = 600;

/** A duty and the fencing token under which it is requested or granted. */
export interface DutyFence {
  readonly duty: string;
  readonly fence: number;
}

/** A node's request to a voter to grant, renew or release the leases of duties. */
export interface LeaseRequest {
  readonly holder: string;
  readonly duties: readonly DutyFence[];
}

/** A voter's reply: the granted duties, and the highest fencing token that it knows for each requested duty. */
export interface LeaseReply {
  readonly granted: readonly string[];
  readonly fences: Record<string, number>;
}

/**
 * The terms of leases; times are in milliseconds. A grant lasts `leaseMs`, its holder stops `marginMs` earlier, and for
 * `gapMs` after its end it is granted to no other holder. A new fencing token must be higher than `fenceFloor`.
 */
export interface LeaseTerms {
  readonly leaseMs: number;
  readonly marginMs: number;
  readonly gapMs: number;
  readonly fenceFloor: () => number;
}

/** The terms without a gap between holders or a floor for fencing tokens. */
export const defaultTerms: LeaseTerms = { leaseMs, marginMs, gapMs: 0, fenceFloor: () => 0 };
