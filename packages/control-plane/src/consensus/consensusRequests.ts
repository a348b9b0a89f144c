/** Answers the requests that members of the consensus group send each other. */
import type { MemberEntry, MemberList } from '@martenworks/cluster-membership';
import type { PeerConnection } from '@martenworks/peer-transport';
import type { MemberStatus } from '../membership/bootstrapMessages.js';
import type { Acceptor } from './acceptor.js';
import { catchUpTopics } from './catchUpMessages.js';
import type { CatchUp } from './catchUp.js';
import { consensusMessages } from './consensusMessages.js';
import type { ConsensusHooks } from './consensusOptions.js';
import type { MemberLeases } from './memberLeases.js';
import { positions } from './quorumCall.js';

/** Answers requests by topic; topics that are not those of the consensus group go to the hooks. */
export class ConsensusRequests {
  constructor(
    private readonly acceptor: Acceptor,
    private readonly catchUp: CatchUp,
    private readonly leases: MemberLeases,
    private readonly memberList: MemberList,
    private readonly hooks: ConsensusHooks,
  ) {}

  /** The reply to a request; null if the body is malformed. */
  readonly handleRequest = async (connection: PeerConnection, topic: string, body: unknown): Promise<unknown> => {
    const { acceptor } = this;
    const { isAccept, isLeaseRequest, isMembers, isPrepare } = consensusMessages;
    switch (topic) {
      case 'keepalive':
        return true;
      case 'memberStatus':
        return this.memberStatus();
      case 'memberList':
        return this.exchangeMemberList(body);
      case 'leaseRequest':
        return isLeaseRequest(body) ? this.leases.grant(body) : null;
      case 'foundingVote':
        return isMembers(body) ? acceptor.voteForInitialMembers(body) : null;
      case 'prepare':
        return isPrepare(body) ? acceptor.prepare(body.slot, body.ballot) : null;
      case 'accept':
        return isAccept(body) ? acceptor.accept(body.slot, body.ballot, acceptor.decodeChange(body.change)) : null;
      case 'position':
        return positions.of(acceptor);
      case catchUpTopics.logIndex:
      case catchUpTopics.page:
      case catchUpTopics.behind:
        return this.catchUp.handleRequest(connection, topic, body);
      default:
        return this.hooks.onCall(connection, topic, body);
    }
  };

  private readonly memberStatus = (): MemberStatus => ({
    incarnation: this.acceptor.incarnation,
    logIndex: this.acceptor.committedState()?.logIndex ?? -1,
    isVoter: this.acceptor.isVoter(),
    foundingVote: this.acceptor.initialMembersVotedFor(),
    syncedFrom: this.hooks.syncedFrom(),
  });

  private readonly exchangeMemberList = (body: unknown): MemberEntry[] => {
    if (consensusMessages.isMemberEntries(body)) this.memberList.merge(body);
    return this.hooks.sharedMembers(this.memberList.entries());
  };
}
