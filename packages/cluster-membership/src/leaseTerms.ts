/**
 * The messages and terms of leases: a duty's lease is held by the node to which a majority of the voters granted it.
 */

/** Milliseconds that a grant lasts unless it is renewed. */
export const leaseMs = 3_000;
const marginMs = 600;

/** One duty and the fencing token it is asked or granted under. */
export interface DutyFence {
  readonly duty: string;
  readonly fence: number;
}

/** A node asks a voter for duties, or gives them back. */
export interface LeaseRequest {
  readonly holder: string;
  readonly duties: readonly DutyFence[];
}

/** A voter's reply: the duties it granted, and the highest fencing token it knows of each duty asked for. */
export interface LeaseReply {
  readonly granted: readonly string[];
  readonly fences: Record<string, number>;
}

/**
 * Milliseconds: how long a grant lasts, how much earlier its holder stops, how long after its end nobody else gets it;
 * and the fence that any new one must pass.
 */
export interface LeaseTerms {
  readonly leaseMs: number;
  readonly marginMs: number;
  readonly gapMs: number;
  readonly fenceFloor: () => number;
}

/** The terms without a gap or a floor. */
export const defaultTerms: LeaseTerms = { leaseMs, marginMs, gapMs: 0, fenceFloor: () => 0 };
