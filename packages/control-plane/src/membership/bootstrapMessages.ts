/** Messages with which control nodes bootstrap a consensus group. */
import type { Member } from '@martenworks/core-types';

/**
 * The status of a control node. `logIndex` is -1 while it belongs to no cluster, `foundingVote` the initial members that
 * it voted for, and `syncedFrom` the incarnations of the members whose data outside the committed state it copied.
 */
export interface MemberStatus {
  readonly incarnation: string;
  readonly logIndex: number;
  readonly isVoter: boolean;
  readonly foundingVote: readonly Member[] | null;
  readonly syncedFrom: readonly string[];
}

/** The reply to a request to vote for the initial members; `members` are those voted for, null if no vote was cast. */
export interface BootstrapVoteReply {
  readonly isGranted: boolean;
  readonly members: readonly Member[] | null;
}
