/**
 * The messages of idempotency claims: the control nodes reach consensus on which gateway runs a request, with one
 * instance of the protocol for each `Idempotency-Key`.
 */

/** A ballot number and the name of its proposer, which breaks ties. */
export type ClaimBallot = readonly [number, string];

/** The claimant of a key: the id of the request, its gateway with the peer address, and the digest of the body. */
export interface Claimant {
  readonly id: string;
  readonly gateway: string;
  readonly address: string;
  readonly digest: string;
}

/** The last accepted claimant, and the ballot under which it was accepted. */
export interface ClaimAccepted {
  readonly ballot: ClaimBallot;
  readonly claimant: Claimant;
}

/** A voter's state for one key. `turn` is the number of times that the claim was released. */
export interface ClaimState {
  readonly turn: number;
  readonly promised: ClaimBallot | null;
  readonly accepted: ClaimAccepted | null;
}

/** A voter's reply; `unavailable` where its record could not be written. */
export type ClaimVote =
  | { readonly kind: 'state'; readonly isGranted: boolean; readonly state: ClaimState }
  | { readonly kind: 'unavailable' };

/** A page of claims in the order of their keys; `next` is the start of the next page, null after the last. */
export interface ClaimPage {
  readonly entries: readonly (readonly [key: string, state: ClaimState])[];
  readonly next: number | null;
}

/** The order of ballots. */
export const claimBallots = {
  compare: (a: ClaimBallot, b: ClaimBallot): number => a[0] - b[0] || (a[1] < b[1] ? -1 : a[1] > b[1] ? 1 : 0),
  isHigher: (a: ClaimBallot | null, b: ClaimBallot): boolean => a !== null && claimBallots.compare(a, b) > 0,
};
