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
        .open()
        .flatMap((connection) =>
          connection.peer?.role === 'control' ? [[connection.peer.incarnation, connection] as const] : [],
        ),
    );

  readonly step = async (): Promise<void> => {
    if (this.acceptor.agreed() !== null) return;
    const reached = this.controlNodes();
    const memberStatuses = new Map<string, MemberStatus>();
    for (const [incarnation, connection] of reached) {
      const told = await connection.ask('memberStatus', null, timeoutMs);
      if (told.isErr() || !consensusMessages.isMemberStatus(told.value)) return;
      const memberStatus = told.value;
      if (memberStatus.logIndex >= 0) return this.catchUpFrom(connection);
      memberStatuses.set(incarnation, memberStatus);
    }
    if (reached.size < this.coreSize - 1 || this.known().length !== reached.size) return;
    const members = [this.own(), ...[...reached.values()].flatMap((connection) => connection.peer ?? [])]
      .map(memberOf)
      .sort((a, b) => (a.name < b.name ? -1 : 1))
      .slice(0, this.coreSize);
    if (!members.some((member) => member.incarnation === this.own().incarnation)) return;
    if (new Set(members.map((member) => member.name)).size !== this.coreSize) return;
    const foundingVotes = [
      this.acceptor.foundingVoteCast(),
      ...[...memberStatuses.values()].map((memberStatus) => memberStatus.foundingVote),
    ].filter((foundingVote) => foundingVote !== null);
    const texts = foundingVotes.map((foundingVote) => JSON.stringify(foundingVote));
    const shared = foundingVotes.find((_, at) => texts.filter((text) => text === texts[at]).length > this.coreSize / 2);
    if (shared !== undefined && JSON.stringify(shared) !== JSON.stringify(members)) return this.found(shared);
    if (texts.some((text) => text !== JSON.stringify(members)) || !this.acceptor.isFresh) return;
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
      const told = await connection.ask('foundingVote', members, timeoutMs);
      if (told.isErr() || !consensusMessages.isFoundingVoteReply(told.value) || !told.value.isGranted) return;
    }
    await this.found(members);
  };

  private readonly found = async (members: readonly Member[]): Promise<void> => {
    const isFounded = await this.acceptor.adopt(stateMachine.founded(members));
    if (isFounded) this.log.info('cluster founded', { members: members.map((member) => member.name) });
  };
}
