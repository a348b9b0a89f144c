import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { Agreed, Change, Clock, Log, Member } from '@martenworks/core-types';
import { agreed as agreedState, digests } from '@martenworks/core-types';
import type { Hello } from '@martenworks/peer-transport';
import type { Lines } from '@martenworks/cluster-membership';
import type { Acceptor } from './acceptor.js';
import { consensusMessages } from './consensusMessages.js';
import type { ProposeFault, Proposer } from './proposer.js';

const usualStrangerWaitMs = 12_000;
const patienceMs = 1_000;
const swapPatienceMs = 2_000;

export class Membership {
  private readonly lostAt = new Map<string, number>();

  constructor(
    private readonly acceptor: Acceptor,
    private readonly proposer: Proposer,
    private readonly clock: Clock,
    private readonly lines: () => Lines,
    private readonly isDown: (name: string) => boolean,
    private readonly log: Log,
    private readonly strangerWaitMs = usualStrangerWaitMs,
  ) {}

  private readonly noteLost = (members: readonly Member[]): void => {
    const now = this.clock.now();
    for (const member of members) {
      if (member.incarnation === this.acceptor.incarnation || this.lines().to(member.incarnation) !== undefined)
        this.lostAt.delete(member.incarnation);
      else if (!this.lostAt.has(member.incarnation)) this.lostAt.set(member.incarnation, now);
    }
    for (const incarnation of this.lostAt.keys())
      if (!members.some((member) => member.incarnation === incarnation)) this.lostAt.delete(incarnation);
  };

  private readonly outgoingFor = (newcomer: Hello, members: readonly Member[]): Member | undefined => {
    const lost = members.filter((member) => this.lostAt.has(member.incarnation));
    const sameName = members.find((member) => member.name === newcomer.name);
    if (sameName !== undefined) return lost.find((member) => member.name === newcomer.name);
    return lost.find(
      (member) =>
        this.isDown(member.name) &&
        this.clock.now() - (this.lostAt.get(member.incarnation) ?? this.clock.now()) > this.strangerWaitMs,
    );
  };

  readonly step = async (): Promise<void> => {
    const state = this.acceptor.agreed();
    if (state === null || !this.acceptor.isVoter()) return;
    this.noteLost(state.members);
    const seated = new Set(state.members.map((member) => member.incarnation));
    for (const connection of this.lines().open()) {
      const newcomer = connection.neighbour;
      if (newcomer === null || newcomer.role !== 'postmaster' || seated.has(newcomer.incarnation)) continue;
      const outgoing = this.outgoingFor(newcomer, state.members);
      if (outgoing === undefined) continue;
      const told = await connection.ask('standing', null, patienceMs);
      if (told.isErr() || !consensusMessages.isStanding(told.value)) continue;
      const standing = told.value;
      const isReady =
        standing.generation === state.generation &&
        state.members.every(
          (member) => member.incarnation === outgoing.incarnation || standing.syncedFrom.includes(member.incarnation),
        );
      if (isReady)
        return this.swap(outgoing, {
          name: newcomer.name,
          address: newcomer.address,
          incarnation: newcomer.incarnation,
        });
    }
  };

  private readonly swap = async (outgoing: Member, incoming: Member): Promise<void> => {
    const id = `swap-${outgoing.incarnation}-${incoming.incarnation}`;
    const body = { kind: 'swap' as const, outgoing: outgoing.incarnation, incoming };
    const digest = digests.of(body);
    const check = (state: Agreed): Result<Change, ProposeFault> =>
      agreedState.maySwap(state, outgoing.incarnation, incoming)
        ? ok({ id, digest, body })
        : err({ kind: 'conflict', layoutGeneration: state.layoutGeneration, detail: 'the seats have changed' });
    const outcome = await this.proposer.propose(check, id, digest, swapPatienceMs);
    this.log.info('a membership swap was proposed', {
      outgoing: outgoing.name,
      incoming: incoming.name,
      outcome: outcome.isOk() ? outcome.value : outcome.error,
    });
  };
}
