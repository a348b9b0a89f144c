/**
 * Bootstrap of a cluster by nodes that know of none: all must vote for the same initial members
 * (docs/control/membership.md).
 */
import { stateMachine } from '@martenworks/core-types';
import type { Log, Member } from '@martenworks/core-types';
import type { PeerConnection, Hello } from '@martenworks/peer-transport';
import type { PeerPool } from '@martenworks/cluster-membership';
import type { Acceptor } from '../consensus/acceptor.js';
import { consensusMessages } from '../consensus/consensusMessages.js';
import type { MemberStatus } from './bootstrapMessages.js';

const defaultMemberCount = 3;
const timeoutMs = 1_000;

const memberOf = (hello: Hello): Member => ({
  name: hello.name,
  address: hello.address,
  incarnation: hello.incarnation,
});

/** One node's part in the bootstrap. A node votes for one set of initial members only, and stores its vote on disk. */
export class ClusterBootstrap {
  constructor(
    private readonly acceptor: Acceptor,
    private readonly ownHello: () => Hello,
    private readonly peerPool: () => PeerPool,
    private readonly knownControlNodes: () => readonly Hello[],
    private readonly catchUpFrom: (connection: PeerConnection) => Promise<void>,
    private readonly log: Log,
    private readonly memberCount = defaultMemberCount,
  ) {}

  private readonly controlNodes = (): Map<string, PeerConnection> =>
    new Map(
      this.peerPool()
        .openConnections()
        .flatMap((connection) =>
          connection.peer?.role === 'control' ? [[connection.peer.incarnation, connection] as const] : [],
        ),
    );

  /** Bootstraps the cluster if all reachable nodes agree on its members, or catches up with an existing cluster. */
  readonly step = async (): Promise<void> => {
    if (this.acceptor.committedState() !== null) return;
    const connections = this.controlNodes();
    const statuses: MemberStatus[] = [];
    for (const connection of connections.values()) {
      const reply = await connection.call('memberStatus', null, timeoutMs);
      if (reply.isErr() || !consensusMessages.isMemberStatus(reply.value)) return;
      if (reply.value.logIndex >= 0) return this.catchUpFrom(connection);
      statuses.push(reply.value);
    }
    if (connections.size < this.memberCount - 1 || this.knownControlNodes().length !== connections.size) return;
    const members = this.candidates(connections);
    if (!members.some((member) => member.incarnation === this.ownHello().incarnation)) return;
    if (new Set(members.map((member) => member.name)).size !== this.memberCount) return;
    await this.proposeMembers(members, statuses, connections);
  };

  /** The first nodes by name: every node that reaches the same nodes chooses the same members. */
  private readonly candidates = (connections: Map<string, PeerConnection>): Member[] =>
    [this.ownHello(), ...[...connections.values()].flatMap((connection) => connection.peer ?? [])]
      .map(memberOf)
      .sort((a, b) => (a.name < b.name ? -1 : 1))
      .slice(0, this.memberCount);

  /**
   * Bootstraps the cluster with the members that a majority has voted for, if they are other than `members`. Otherwise
   * collects votes for `members`, unless a node has voted for others or this node is not new.
   */
  private readonly proposeMembers = async (
    members: readonly Member[],
    statuses: readonly MemberStatus[],
    connections: Map<string, PeerConnection>,
  ): Promise<void> => {
    const votes = [this.acceptor.initialMembersVotedFor(), ...statuses.map((status) => status.foundingVote)].filter(
      (vote) => vote !== null,
    );
    const encodedVotes = votes.map((vote) => JSON.stringify(vote));
    const encodedMembers = JSON.stringify(members);
    const chosen = votes.find(
      (_, at) => encodedVotes.filter((text) => text === encodedVotes[at]).length > this.memberCount / 2,
    );
    if (chosen !== undefined && JSON.stringify(chosen) !== encodedMembers) return this.adoptInitialState(chosen);
    if (encodedVotes.some((text) => text !== encodedMembers) || !this.acceptor.isNewNode) return;
    await this.collectVotes(members, connections);
  };

  private readonly collectVotes = async (
    members: readonly Member[],
    connections: Map<string, PeerConnection>,
  ): Promise<void> => {
    const ownVote = await this.acceptor.voteForInitialMembers(members);
    if (!ownVote.isGranted) return;
    for (const [incarnation, connection] of connections) {
      if (!members.some((member) => member.incarnation === incarnation)) continue;
      const reply = await connection.call('foundingVote', members, timeoutMs);
      if (reply.isErr() || !consensusMessages.isBootstrapVoteReply(reply.value) || !reply.value.isGranted) return;
    }
    await this.adoptInitialState(members);
  };

  private readonly adoptInitialState = async (members: readonly Member[]): Promise<void> => {
    const isAdopted = await this.acceptor.adopt(stateMachine.initialState(members));
    if (isAdopted) this.log.info('cluster founded', { members: members.map((member) => member.name) });
  };
}
