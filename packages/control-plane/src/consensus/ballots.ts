/**
 * Values that proposers and acceptors exchange about one slot of the log: single-decree Paxos (Lamport, "Paxos Made
 * Simple", 2001), run once per log index. Field names are used in messages between nodes and in the log on disk.
 */
import type { Change, CommittedState } from '@martenworks/core-types';

/** A ballot number: a round, and the proposer's incarnation to break ties. Totally ordered by `ballots.compare`. */
export type Ballot = readonly [round: number, proposer: string];

/** A change that an acceptor has accepted, under the ballot that proposed it. */
export interface Accepted {
  readonly ballot: Ballot;
  readonly change: Change;
}

/** The change that was chosen for a log index. */
export interface CommittedChange {
  readonly logIndex: number;
  readonly change: Change;
}

/** A committed change in compressed form (see `compressedChanges`). */
export interface CompressedCommit {
  readonly logIndex: number;
  readonly change: Uint8Array;
}

/**
 * An acceptor's reply to `prepare` or `accept`. `rejected`: a higher ballot was promised. `ahead`, `behind`: the
 * acceptor's committed log index is higher or lower than the proposer's. `unavailable`: it cannot vote, because it has
 * no committed state (`unfounded`), is not a member (`no voter`), or its disk failed.
 */
export type Vote =
  | { readonly kind: 'promised'; readonly accepted: Accepted | null }
  | { readonly kind: 'accepted' }
  | { readonly kind: 'rejected'; readonly promised: Ballot }
  | { readonly kind: 'ahead'; readonly logIndex: number }
  | { readonly kind: 'behind'; readonly logIndex: number }
  | { readonly kind: 'unavailable'; readonly cause: 'unfounded' | 'no voter' | 'disk' };

/**
 * What a node has committed after a given log index: the changes, a snapshot (`checkpoint`) if they are too many or no
 * longer in memory, or `nothing` if the node has no committed state.
 */
export type LogSuffix =
  | { readonly kind: 'changes'; readonly committed: readonly CommittedChange[] }
  | { readonly kind: 'checkpoint'; readonly agreed: CommittedState }
  | { readonly kind: 'nothing' };

/** Compares ballots. */
export const ballots = {
  /**
   * Orders by round, then by proposer: negative, zero or positive if `a` is lower than, equal to or higher than `b`.
   */
  compare: (a: Ballot, b: Ballot): number => a[0] - b[0] || (a[1] < b[1] ? -1 : a[1] > b[1] ? 1 : 0),
};
