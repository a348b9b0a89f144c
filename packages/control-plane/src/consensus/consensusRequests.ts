/** Replies to the requests that members of the consensus group send each other. */
import type { MemberEntry, MemberList } from '@martenworks/cluster-membership';
import type { PeerConnection } from '@martenworks/peer-transport';
import type { MemberStatus } from '../membership/foundingMessages.js';
import type { Acceptor } from './acceptor.js';
import { catchUpTopics } from './catchUpMessages.js';
import type { CatchUp } from './catchUp.js';
import { consensusMessages } from './consensusMessages.js';
import type { ConsensusRole } from './consensusOptions.js';
import type { MemberLeases } from './memberLeases.js';
import { positions } from './quorumCall.js';

/** Answers by topic. A malformed body gets null; topics that are not the group's go to the role. */
export class ConsensusRequests {
  constructor(
    private readonly acceptor: Acceptor,
    private readonly catchUp: CatchUp,
    private readonly leases: MemberLeases,
    private readonly memberList: MemberList,
    private readonly role: ConsensusRole,
  ) {}

  /** The reply to a request; null for a malformed one. */
  readonly answer = async (connection: PeerConnection, topic: string, body: unknown): Promise<unknown> => {
    const { acceptor } = this;
    const { isAccept, isLeaseAsk, isMembers, isPrepare } = consensusMessages;
    switch (topic) {
      case 'keepalive':
        return true;
      case 'memberStatus':
        return this.memberStatus();
      case 'memberList':
        return this.exchangeMemberList(body);
      case 'leaseRequest':
        return isLeaseAsk(body) ? this.leases.grant(body) : null;
      case 'foundingVote':
        return isMembers(body) ? acceptor.voteFounding(body) : null;
      case 'prepare':
        return isPrepare(body) ? acceptor.prepare(body.slot, body.ballot) : null;
      case 'accept':
        return isAccept(body) ? acceptor.accept(body.slot, body.ballot, acceptor.changeOf(body.change)) : null;
      case 'position':
        return positions.of(acceptor);
      case catchUpTopics.logIndex:
      case catchUpTopics.page:
      case catchUpTopics.behind:
        return this.catchUp.answer(connection, topic, body);
      default:
        return this.role.onCall(connection, topic, body);
    }
  };

  private readonly memberStatus = (): MemberStatus => ({
    incarnation: this.acceptor.incarnation,
    logIndex: this.acceptor.agreed()?.logIndex ?? -1,
    isVoter: this.acceptor.isVoter(),
    foundingVote: this.acceptor.foundingVoteCast(),
    syncedFrom: this.role.syncedFrom(),
  });

  private readonly exchangeMemberList = (body: unknown): MemberEntry[] => {
    if (consensusMessages.isMemberEntries(body)) this.memberList.merge(body);
    return this.role.sharedMembers(this.memberList.entries());
  };
}
