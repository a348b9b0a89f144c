/** Calls on all voters at once that end as soon as a quorum's replies decide them. */
import type { Acceptor } from './acceptor.js';
import type { Ballot, CommittedChange, LogSuffix, Vote } from './ballots.js';
import { background } from '@martenworks/core-types';
import type { Change, Member } from '@martenworks/core-types';

/** An acceptor's position: the highest log index it has committed, and the slot of a change it accepted after that, if any. */
export interface Position {
  readonly logIndex: number;
  readonly acceptedSlot: number | null;
}

/** Calls on one voter, the own acceptor included. Each answers null where no reply came in time. */
export interface Voters {
  readonly prepare: (member: Member, slot: number, ballot: Ballot) => Promise<Vote | null>;
  readonly accept: (member: Member, slot: number, ballot: Ballot, change: Change) => Promise<Vote | null>;
  readonly position: (member: Member) => Promise<Position | null>;
  readonly broadcastCommit: (committed: CommittedChange) => void;
  readonly logSuffixAfter: (member: Member, logIndex: number) => Promise<LogSuffix | null>;
  readonly bringUpToDate: (member: Member, since: LogSuffix) => Promise<void>;
}

/** Positions of acceptors in the log. */
export const positions = {
  /** Null while the acceptor belongs to no founded fleet. */
  of: (acceptor: Acceptor): Position | null => {
    const state = acceptor.committedState();
    return state === null ? null : { logIndex: state.logIndex, acceptedSlot: acceptor.acceptedSlot() };
  },
};

/** The least number of members of which any two such sets have one in common. */
export const majorityOf = (members: readonly Member[]): number => Math.floor(members.length / 2) + 1;

/** Asks all members at once and resolves as soon as `decide` gives an outcome; it is called after each reply with the replies so far (null for a member that gave none) and how many are still open. At the last reply it must decide. */
export const askMembers = <Reply, Outcome>(
  members: readonly Member[],
  ask: (member: Member) => Promise<Reply | null>,
  decide: (replies: readonly (Reply | null)[], open: number) => Outcome | null,
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
