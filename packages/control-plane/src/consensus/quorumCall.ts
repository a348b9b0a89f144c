/** Parallel calls to all voters that resolve as soon as the replies of a quorum decide the outcome. */
import type { Acceptor } from './acceptor.js';
import type { Ballot, CommittedChange, LogSuffix, Vote } from './ballots.js';
import { background } from '@martenworks/core-types';
import type { Change, Member } from '@martenworks/core-types';

/** An acceptor's position in the log: its committed log index, and the slot of a pending accepted change, if any. */
export interface Position {
  readonly logIndex: number;
  readonly acceptedSlot: number | null;
}

/** Calls to the voters, including this node's own acceptor. A call resolves to null if no reply came in time. */
export interface Voters {
  readonly prepare: (member: Member, slot: number, ballot: Ballot) => Promise<Vote | null>;
  readonly accept: (member: Member, slot: number, ballot: Ballot, change: Change) => Promise<Vote | null>;
  readonly position: (member: Member) => Promise<Position | null>;
  readonly broadcastCommit: (committed: CommittedChange) => void;
  readonly logSuffixAfter: (member: Member, logIndex: number) => Promise<LogSuffix | null>;
  readonly bringUpToDate: (member: Member, suffix: LogSuffix) => Promise<void>;
}

/** Positions of acceptors in the log. */
export const positions = {
  /** Null while the acceptor has no committed state. */
  of: (acceptor: Acceptor): Position | null => {
    const state = acceptor.committedState();
    return state === null ? null : { logIndex: state.logIndex, acceptedSlot: acceptor.acceptedSlot() };
  },
};

/** The size of a majority: any two sets of that many members have a member in common. */
export const majorityOf = (members: readonly Member[]): number => Math.floor(members.length / 2) + 1;

/**
 * Asks all members in parallel and resolves as soon as `decide` returns an outcome. It is called after each reply with
 * the replies so far (null for a member that did not reply) and the number outstanding; at 0 it must return an outcome.
 */
export const askMembers = <Reply, Outcome>(
  members: readonly Member[],
  ask: (member: Member) => Promise<Reply | null>,
  decide: (replies: readonly (Reply | null)[], outstanding: number) => Outcome | null,
): Promise<Outcome> =>
  new Promise((resolve, fail) => {
    const replies: (Reply | null)[] = [];
    let isDecided = false;
    for (const member of members) {
      background.run(
        'quorum call',
        ask(member).then((reply) => {
          replies.push(reply);
          if (isDecided) return;
          const outcome = decide(replies, members.length - replies.length);
          if (outcome === null) return;
          isDecided = true;
          resolve(outcome);
        }, fail),
      );
    }
  });
