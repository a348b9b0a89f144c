/** Quorum calls to the control nodes about claims on idempotency keys. */
import { background } from '@martenworks/core-types';
import type { ClaimVote, Member } from '@martenworks/core-types';
import type { PeerPool } from '@martenworks/cluster-membership';
import { peerMessages } from '../peers/peerMessages.js';

const voteTimeoutMs = 1_000;

type StateVote = Extract<ClaimVote, { kind: 'state' }>;

/** The votes received until a majority granted the message, or until every member had voted or failed to. */
export interface PollResult {
  readonly granted: number;
  readonly states: readonly StateVote[];
}

/** Topics of the messages on which the control nodes vote. */
export type ClaimTopic = 'claimPrepare' | 'claimAccept' | 'claimRelease';

/** Collects the votes on one message and resolves once the result is known. */
class VoteCollector {
  private readonly states: StateVote[] = [];
  private granted = 0;

  constructor(
    private outstanding: number,
    private readonly majority: number,
    private readonly resolve: (poll: PollResult) => void,
  ) {}

  readonly add = (vote: ClaimVote | null): void => {
    this.outstanding -= 1;
    if (vote?.kind === 'state') {
      this.states.push(vote);
      if (vote.isGranted) this.granted += 1;
    }
    if (this.granted >= this.majority || this.outstanding <= 0)
      this.resolve({ granted: this.granted, states: [...this.states] });
  };
}

/** Sends messages to all members and counts their votes. */
export class ClaimQuorum {
  constructor(
    private readonly members: () => readonly Member[],
    private readonly peerPool: () => PeerPool,
  ) {}

  /** Sends one message to every member; a member that cannot be reached counts as not voting. */
  readonly poll = (topic: ClaimTopic, body: unknown): Promise<PollResult> => {
    const members = this.members();
    const majority = Math.floor(members.length / 2) + 1;
    return new Promise((resolve) => {
      const votes = new VoteCollector(members.length, majority, resolve);
      if (members.length === 0) resolve({ granted: 0, states: [] });
      for (const member of members) this.callMember(member, topic, body, votes);
    });
  };

  private readonly callMember = (member: Member, topic: ClaimTopic, body: unknown, votes: VoteCollector): void => {
    const connection = this.peerPool().connectionTo(member.incarnation);
    if (connection === undefined) {
      votes.add(null);
      return;
    }
    background.run(
      'quorum call on a claim',
      connection
        .call(topic, body, voteTimeoutMs)
        .then((response) => votes.add(response.isOk() ? peerMessages.claimVote(response.value) : null)),
    );
  };

  /** Whether this many votes are a majority of the current members. */
  readonly isMajority = (votes: number): boolean => votes > this.members().length / 2;
}
