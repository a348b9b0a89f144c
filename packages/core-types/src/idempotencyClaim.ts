/**
 * Messages of the idempotency claims: a consensus among the control nodes, one instance for each `Idempotency-
 * Key`, on which gateway runs the request.
 */

/** A ballot number and the name of its proposer, which breaks ties. */
export type ClaimBallot = readonly [number, string];

/** Who claims a key: an id of the request, its gateway with its peer address, and the digest of the body. */
export interface Claimant {
  readonly id: string;
  readonly gateway: string;
  readonly address: string;
  readonly digest: string;
}

/** The claimant accepted last, and the ballot it was accepted under. */
export interface ClaimAccepted {
  readonly ballot: ClaimBallot;
  readonly claimant: Claimant;
}

/** A voter's state for one key. `turn` counts how often the claim was released. */
export interface ClaimState {
  readonly turn: number;
  readonly promised: ClaimBallot | null;
  readonly accepted: ClaimAccepted | null;
}

/** A voter's reply; `unavailable` where its record could not be written. */
export type ClaimVote =
  | { readonly kind: 'state'; readonly isGranted: boolean; readonly state: ClaimState }
  | { readonly kind: 'unavailable' };

/** Some claims in the order of their keys; `next` is where the next page begins, null after the last. */
export interface ClaimPage {
  readonly entries: readonly (readonly [key: string, state: ClaimState])[];
  readonly next: number | null;
}

/** The order of ballots. */
export const claimBallots = {
  compare: (a: ClaimBallot, b: ClaimBallot): number => a[0] - b[0] || (a[1] < b[1] ? -1 : a[1] > b[1] ? 1 : 0),
  isHigher: (a: ClaimBallot | null, b: ClaimBallot): boolean => a !== null && claimBallots.compare(a, b) > 0,
};
