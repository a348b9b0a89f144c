/** Shapes of the messages by which control nodes found a consensus group that does not exist yet. */
import type { Member } from '@martenworks/core-types';

/** What a control node says of itself before it knows whether a group exists. */
export interface MemberStatus {
  readonly incarnation: string;
  readonly logIndex: number;
  readonly isVoter: boolean;
  readonly foundingVote: readonly Member[] | null;
  readonly syncedFrom: readonly string[];
}

/** The answer to a request to vow for a set of founding members; `members` are those vowed for, null where none. */
export interface BootstrapVoteReply {
  readonly isGranted: boolean;
  readonly members: readonly Member[] | null;
}
