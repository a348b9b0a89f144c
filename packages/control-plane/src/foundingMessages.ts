/** Shapes of the messages by which control nodes found a consensus group that does not exist yet. */
import type { Member } from '@martenworks/core-types';

/** What a control node says of itself before it knows whether a group exists. */
export interface Standing {
  readonly incarnation: string;
  readonly generation: number;
  readonly isVoter: boolean;
  readonly vow: readonly Member[] | null;
  readonly syncedFrom: readonly string[];
}

/** The answer to a request to vow for a set of founding members; `members` are those vowed for, null where none. */
export interface VowReply {
  readonly isVowed: boolean;
  readonly members: readonly Member[] | null;
}
