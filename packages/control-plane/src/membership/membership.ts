/** Who has a seat among the voters: swaps of lost and leaving members for newcomers, one at a time and by agreement. */
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { CommittedState, Change, Clock, Log, Member } from '@martenworks/core-types';
import { stateMachine, digests, timing } from '@martenworks/core-types';
import type { PeerConnection } from '@martenworks/peer-transport';
import type { PeerPool } from '@martenworks/cluster-membership';
import type { Acceptor } from '../consensus/acceptor.js';
import { consensusMessages } from '../consensus/consensusMessages.js';
import type { MemberStatus } from './foundingMessages.js';
import { proposalErrors } from '../errors.js';
import type { ProposalError } from '../errors.js';
import type { Proposer } from '../consensus/proposer.js';
import { majorityOf } from '../consensus/quorumCall.js';

const usualStrangerWaitMs = 12_000;
const timeoutMs = 1_000;
const swapTimeoutMs = 2_000;
const confirmTimeoutMs = 1_000;
const retryMs = 50;

/** Conditions on giving a seat away. */
export interface MembershipTerms {
  /** Milliseconds that a member must be lost before a node of another name may have its seat. */
  readonly strangerWaitMs?: number;
  /** Whether a newcomer must have copied data from every member, beside the agreed state, before it may vote. */
  readonly needsCopies: boolean;
}

const pollUntil = async (clock: Clock, untilMs: number, isDone: () => Promise<boolean>): Promise<boolean> => {
  while (!(await isDone())) {
    if (clock.now() + retryMs > untilMs) return false;
    await timing.sleep(clock, retryMs);
  }
  return true;
};

/** Proposes swaps of members: one seat at a time, so that old and new majorities always have a member in common. */
export class Membership {
  private readonly lostAt = new Map<string, number>();
  private readonly leaving = new Set<string>();

  constructor(
    private readonly acceptor: Acceptor,
    private readonly proposer: Proposer,
    private readonly clock: Clock,
    private readonly peerPool: () => PeerPool,
    private readonly isDown: (name: string) => boolean,
    private readonly log: Log,
    private readonly terms: MembershipTerms,
    /** Has the peer catch up from this node. */
    private readonly supply: (connection: PeerConnection) => Promise<void>,
  ) {}

  /** A node has said that it leaves: its seat may be given away without a wait, and it gets no other one. */
  readonly noteLeaving = (incarnation: string): void => void this.leaving.add(incarnation);

  /** A node is there again: what it said of leaving is over. */
  readonly noteBack = (incarnation: string): void => {
    if (incarnation !== this.acceptor.incarnation) this.leaving.delete(incarnation);
  };

  /** Whether this node has said that it leaves. */
  readonly isLeaving = (): boolean => this.leaving.has(this.acceptor.incarnation);

  private readonly noteLost = (members: readonly Member[]): void => {
    const now = this.clock.now();
    for (const member of members) {
      if (
        member.incarnation === this.acceptor.incarnation ||
        this.peerPool().connectionTo(member.incarnation) !== undefined
      )
        this.lostAt.delete(member.incarnation);
      else if (!this.lostAt.has(member.incarnation)) this.lostAt.set(member.incarnation, now);
    }
    for (const incarnation of this.lostAt.keys())
      if (!members.some((member) => member.incarnation === incarnation)) this.lostAt.delete(incarnation);
  };

  /** Forgets of leaving nodes those that are gone and have no seat. */
  private readonly forgetGone = (state: CommittedState): void => {
    for (const incarnation of this.leaving) {
      const isKnown = incarnation === this.acceptor.incarnation || stateMachine.isVoter(state, incarnation);
      if (!isKnown && this.peerPool().connectionTo(incarnation) === undefined) this.leaving.delete(incarnation);
    }
  };

  private readonly isLostForLong = (member: Member): boolean => {
    const lostAt = this.lostAt.get(member.incarnation);
    const waitMs = this.terms.strangerWaitMs ?? usualStrangerWaitMs;
    return lostAt !== undefined && this.isDown(member.name) && this.clock.now() - lostAt > waitMs;
  };

  /** The seat that a newcomer may have: that of its own name first, then one that is left, then one lost for long. */
  private readonly seatFor = (newcomer: Member, members: readonly Member[]): Member | undefined => {
    const sameName = members.find((member) => member.name === newcomer.name);
    if (sameName !== undefined) {
      const isFree = this.lostAt.has(sameName.incarnation) || this.leaving.has(sameName.incarnation);
      return isFree ? sameName : undefined;
    }
    return members.find((member) => this.leaving.has(member.incarnation)) ?? members.find(this.isLostForLong);
  };

  /** Open connections to control nodes that have no seat and stay. */
  private readonly newcomers = (state: CommittedState): { connection: PeerConnection; member: Member }[] =>
    this.peerPool()
      .openConnections()
      .flatMap((connection) => {
        const { peer } = connection;
        if (peer === null || peer.role !== 'control') return [];
        const { name, address, incarnation } = peer;
        if (stateMachine.isVoter(state, incarnation) || this.leaving.has(incarnation)) return [];
        return [{ connection, member: { name, address, incarnation } }];
      });

  private readonly memberStatusOf = async (connection: PeerConnection): Promise<MemberStatus | null> => {
    const reply = await connection.call('memberStatus', null, timeoutMs);
    return reply.isOk() && consensusMessages.isMemberStatus(reply.value) ? reply.value : null;
  };

  private readonly isCaughtUp = (memberStatus: MemberStatus, state: CommittedState, outgoing: Member): boolean => {
    if (memberStatus.logIndex < state.logIndex) return false;
    if (!this.terms.needsCopies) return true;
    return state.members.every(
      (member) => member.incarnation === outgoing.incarnation || memberStatus.syncedFrom.includes(member.incarnation),
    );
  };

  /** Gives one free seat to a newcomer that is caught up, where there are both. */
  readonly step = async (): Promise<void> => {
    const state = this.acceptor.agreed();
    if (state === null || !this.acceptor.isVoter()) return;
    this.noteLost(state.members);
    this.forgetGone(state);
    for (const { connection, member } of this.newcomers(state)) {
      const outgoing = this.seatFor(member, state.members);
      if (outgoing === undefined) continue;
      const memberStatus = await this.memberStatusOf(connection);
      if (memberStatus !== null && this.isCaughtUp(memberStatus, state, outgoing))
        return this.swap(outgoing, member, memberStatus);
    }
  };

  /**
   * Hands this node's seat to a newcomer, for at most `budgetMs` milliseconds. Ends at once where there is no seat to
   * hand over or nobody to have it; else when the new member and a majority of the new members hold the swap.
   */
  readonly leave = async (budgetMs: number): Promise<void> => {
    this.noteLeaving(this.acceptor.incarnation);
    const before = this.acceptor.agreed();
    if (before === null || !this.acceptor.isVoter()) return;
    const untilMs = this.clock.now() + budgetMs;
    const handover = pollUntil(this.clock, untilMs, () => this.handOver(before));
    const isInTime = await Promise.race([handover, timing.sleep(this.clock, budgetMs).then(() => false)]);
    this.log.info('draining: this node is leaving the cluster', { hasSeat: this.acceptor.isVoter(), isInTime });
  };

  /** One try at handing over this node's seat: true where nothing is left to be done. */
  private readonly handOver = async (before: CommittedState): Promise<boolean> => {
    const state = this.acceptor.agreed() ?? before;
    if (!this.acceptor.isVoter()) return this.isHeldByNewMajority(before, state);
    if (this.newcomers(state).length === 0) return true;
    await this.step();
    return false;
  };

  /**
   * Whether a swap may be proposed on `state`. Asked anew on each try, since `state` may be newer than the one that
   * `standing` was compared with before: a seat goes only to a newcomer that reported the generation it is proposed on.
   */
  private readonly swapRefusal = (
    state: CommittedState,
    outgoing: Member,
    incoming: Member,
    memberStatus: MemberStatus,
  ): string | null => {
    if (!stateMachine.canSwap(state, outgoing.incarnation, incoming)) return 'the seats have changed';
    return this.isCaughtUp(memberStatus, state, outgoing) ? null : 'the newcomer has not reported the newest state';
  };

  private readonly swap = async (outgoing: Member, incoming: Member, memberStatus: MemberStatus): Promise<void> => {
    const id = `swap-${outgoing.incarnation}-${incoming.incarnation}`;
    const body = { kind: 'swap' as const, outgoing: outgoing.incarnation, incoming };
    const digest = digests.of(body);
    const check = (state: CommittedState): Result<Change, ProposalError> => {
      const refusal = this.swapRefusal(state, outgoing, incoming, memberStatus);
      if (refusal === null) return ok({ id, digest, body });
      return err(proposalErrors.conflict(state.configLogIndex, refusal));
    };
    const before = this.acceptor.agreed() as CommittedState;
    const outcome = await this.proposer.propose(check, id, digest, swapTimeoutMs);
    this.log.info('membership change proposed', {
      outgoing: outgoing.name,
      incoming: incoming.name,
      outcome: outcome.isOk() ? outcome.value : outcome.error,
    });
    if (outcome.isErr()) return;
    const untilMs = this.clock.now() + confirmTimeoutMs;
    const isHeld = await pollUntil(this.clock, untilMs, () =>
      this.isHeldByNewMajority(before, this.acceptor.agreed() ?? before),
    );
    this.log.info('membership change committed', { incoming: incoming.name, isHeldByNewMajority: isHeld });
  };

  /** Whether every member that is new since `before`, and a majority of the members of `state`, hold that on disk. */
  private readonly isHeldByNewMajority = async (before: CommittedState, state: CommittedState): Promise<boolean> => {
    const isHolder = await Promise.all(state.members.map((member) => this.isHeldBy(member, state)));
    const holders = state.members.filter((_, at) => isHolder[at]);
    const newMembers = state.members.filter((member) => !stateMachine.isVoter(before, member.incarnation));
    return holders.length >= majorityOf(state.members) && newMembers.every((member) => holders.includes(member));
  };

  private readonly isHeldBy = async (member: Member, state: CommittedState): Promise<boolean> => {
    if (member.incarnation === this.acceptor.incarnation) return true;
    const connection = this.peerPool().connectionTo(member.incarnation);
    if (connection === undefined) return false;
    const memberStatus = await this.memberStatusOf(connection);
    if (memberStatus === null) return false;
    if (memberStatus.logIndex >= state.logIndex) return true;
    await this.supply(connection);
    return false;
  };
}
