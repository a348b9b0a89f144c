/**
 * Founding of a cluster by nodes that know of none: all must vote for the same members (docs/control/membership.md).
 */
import { stateMachine } from '@martenworks/core-types';
import type { Log, Member } from '@martenworks/core-types';
import type { PeerConnection, Hello } from '@martenworks/peer-transport';
import type { PeerPool } from '@martenworks/cluster-membership';
import type { Acceptor } from '../consensus/acceptor.js';
import { consensusMessages } from '../consensus/consensusMessages.js';
import type { MemberStatus } from './foundingMessages.js';

const usualCoreSize = 3;
const timeoutMs = 1_000;

const memberOf = (hello: Hello): Member => ({
  name: hello.name,
  address: hello.address,
  incarnation: hello.incarnation,
});

/** Steps of one node towards a founded cluster. A node votes for one set of founding members only, on disk. */
export class Founding {
  constructor(
    private readonly acceptor: Acceptor,
    private readonly own: () => Hello,
    private readonly peerPool: () => PeerPool,
    private readonly known: () => readonly Hello[],
    private readonly catchUpFrom: (connection: PeerConnection) => Promise<void>,
    private readonly log: Log,
    private readonly coreSize = usualCoreSize,
  ) {}

  private readonly controlNodes = (): Map<string, PeerConnection> =>
    new Map(
      this.peerPool()
        .openConnections()
        .flatMap((connection) =>
          connection.peer?.role === 'control' ? [[connection.peer.incarnation, connection] as const] : [],
        ),
    );

  /** Founds the cluster where all reached nodes agree on its members; joins one that exists already. */
  readonly step = async (): Promise<void> => {
    if (this.acceptor.agreed() !== null) return;
    const reached = this.controlNodes();
    const statuses: MemberStatus[] = [];
    for (const connection of reached.values()) {
      const reply = await connection.call('memberStatus', null, timeoutMs);
      if (reply.isErr() || !consensusMessages.isMemberStatus(reply.value)) return;
      if (reply.value.logIndex >= 0) return this.catchUpFrom(connection);
      statuses.push(reply.value);
    }
    if (reached.size < this.coreSize - 1 || this.known().length !== reached.size) return;
    const members = this.candidates(reached);
    if (!members.some((member) => member.incarnation === this.own().incarnation)) return;
    if (new Set(members.map((member) => member.name)).size !== this.coreSize) return;
    await this.proposeMembers(members, statuses, reached);
  };

  /** The members that every node would choose which reaches the same nodes: the first of them by name. */
  private readonly candidates = (reached: Map<string, PeerConnection>): Member[] =>
    [this.own(), ...[...reached.values()].flatMap((connection) => connection.peer ?? [])]
      .map(memberOf)
      .sort((a, b) => (a.name < b.name ? -1 : 1))
      .slice(0, this.coreSize);

  /** Founds the cluster with the members that a majority voted for before, or else asks for votes for `members`. */
  private readonly proposeMembers = async (
    members: readonly Member[],
    statuses: readonly MemberStatus[],
    reached: Map<string, PeerConnection>,
  ): Promise<void> => {
    const votes = [this.acceptor.foundingVoteCast(), ...statuses.map((status) => status.foundingVote)].filter(
      (vote) => vote !== null,
    );
    const texts = votes.map((vote) => JSON.stringify(vote));
    const wanted = JSON.stringify(members);
    const chosen = votes.find((_, at) => texts.filter((text) => text === texts[at]).length > this.coreSize / 2);
    if (chosen !== undefined && JSON.stringify(chosen) !== wanted) return this.found(chosen);
    if (texts.some((text) => text !== wanted) || !this.acceptor.isFresh) return;
    await this.collect(members, reached);
  };

  private readonly collect = async (
    members: readonly Member[],
    reached: Map<string, PeerConnection>,
  ): Promise<void> => {
    const own = await this.acceptor.voteFounding(members);
    if (!own.isGranted) return;
    for (const [incarnation, connection] of reached) {
      if (!members.some((member) => member.incarnation === incarnation)) continue;
      const reply = await connection.call('foundingVote', members, timeoutMs);
      if (reply.isErr() || !consensusMessages.isFoundingVoteReply(reply.value) || !reply.value.isGranted) return;
    }
    await this.found(members);
  };

  private readonly found = async (members: readonly Member[]): Promise<void> => {
    const isFounded = await this.acceptor.adopt(stateMachine.initialState(members));
    if (isFounded) this.log.info('cluster founded', { members: members.map((member) => member.name) });
  };
}
