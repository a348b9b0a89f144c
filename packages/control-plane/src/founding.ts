import { agreed as agreedState } from '@martenworks/core-types';
import type { Log, Member } from '@martenworks/core-types';
import type { PeerConnection, Hello } from '@martenworks/peer-transport';
import type { Lines } from '@martenworks/cluster-membership';
import type { Acceptor } from './acceptor.js';
import { consensusMessages } from './consensusMessages.js';
import type { Standing } from './foundingMessages.js';

const usualCoreSize = 3;
const patienceMs = 1_000;

const memberOf = (hello: Hello): Member => ({
  name: hello.name,
  address: hello.address,
  incarnation: hello.incarnation,
});

export class Founding {
  constructor(
    private readonly acceptor: Acceptor,
    private readonly own: () => Hello,
    private readonly lines: () => Lines,
    private readonly known: () => readonly Hello[],
    private readonly catchUpFrom: (connection: PeerConnection) => Promise<void>,
    private readonly log: Log,
    private readonly coreSize = usualCoreSize,
  ) {}

  private readonly postmasters = (): Map<string, PeerConnection> =>
    new Map(
      this.lines()
        .open()
        .flatMap((connection) =>
          connection.neighbour?.role === 'postmaster' ? [[connection.neighbour.incarnation, connection] as const] : [],
        ),
    );

  readonly step = async (): Promise<void> => {
    if (this.acceptor.agreed() !== null) return;
    const reached = this.postmasters();
    const standings = new Map<string, Standing>();
    for (const [incarnation, connection] of reached) {
      const told = await connection.ask('standing', null, patienceMs);
      if (told.isErr() || !consensusMessages.isStanding(told.value)) return;
      const standing = told.value;
      if (standing.generation >= 0) return this.catchUpFrom(connection);
      standings.set(incarnation, standing);
    }
    if (reached.size < this.coreSize - 1 || this.known().length !== reached.size) return;
    const members = [this.own(), ...[...reached.values()].flatMap((connection) => connection.neighbour ?? [])]
      .map(memberOf)
      .sort((a, b) => (a.name < b.name ? -1 : 1))
      .slice(0, this.coreSize);
    if (!members.some((member) => member.incarnation === this.own().incarnation)) return;
    if (new Set(members.map((member) => member.name)).size !== this.coreSize) return;
    const vows = [this.acceptor.vowHeld(), ...[...standings.values()].map((standing) => standing.vow)].filter(
      (vow) => vow !== null,
    );
    const texts = vows.map((vow) => JSON.stringify(vow));
    const shared = vows.find((_, at) => texts.filter((text) => text === texts[at]).length > this.coreSize / 2);
    if (shared !== undefined && JSON.stringify(shared) !== JSON.stringify(members)) return this.found(shared);
    if (texts.some((text) => text !== JSON.stringify(members)) || !this.acceptor.isFresh) return;
    await this.collect(members, reached);
  };

  private readonly collect = async (
    members: readonly Member[],
    reached: Map<string, PeerConnection>,
  ): Promise<void> => {
    const own = await this.acceptor.vow(members);
    if (!own.isVowed) return;
    for (const [incarnation, connection] of reached) {
      if (!members.some((member) => member.incarnation === incarnation)) continue;
      const told = await connection.ask('vow', members, patienceMs);
      if (told.isErr() || !consensusMessages.isVowReply(told.value) || !told.value.isVowed) return;
    }
    await this.found(members);
  };

  private readonly found = async (members: readonly Member[]): Promise<void> => {
    const isFounded = await this.acceptor.adopt(agreedState.founded(members));
    if (isFounded) this.log.info('the fleet is founded', { members: members.map((member) => member.name) });
  };
}
