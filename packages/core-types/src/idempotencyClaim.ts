export type ClaimBallot = readonly [number, string];

export interface Claimant {
  readonly id: string;
  readonly gateway: string;
  readonly address: string;
  readonly digest: string;
}

export interface ClaimAccepted {
  readonly ballot: ClaimBallot;
  readonly claimant: Claimant;
}

export interface ClaimState {
  readonly turn: number;
  readonly promised: ClaimBallot | null;
  readonly accepted: ClaimAccepted | null;
}

export type ClaimVote =
  | { readonly kind: 'state'; readonly isGranted: boolean; readonly state: ClaimState }
  | { readonly kind: 'unavailable' };

export interface ClaimPage {
  readonly entries: readonly (readonly [key: string, state: ClaimState])[];
  readonly next: number | null;
}

export const claimBallots = {
  compare: (a: ClaimBallot, b: ClaimBallot): number => a[0] - b[0] || (a[1] < b[1] ? -1 : a[1] > b[1] ? 1 : 0),
  isOver: (a: ClaimBallot | null, b: ClaimBallot): boolean => a !== null && claimBallots.compare(a, b) > 0,
};
