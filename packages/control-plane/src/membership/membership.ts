/**
 * Membership of the consensus group: replaces lost and leaving members by joining nodes, one committed swap at a time.
 */
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { CommittedState, Change, Clock, Log, Member } from '@martenworks/core-types';
import { stateMachine, digests, timing } from '@martenworks/core-types';
import type { PeerConnection } from '@martenworks/peer-transport';
import type { PeerPool } from '@martenworks/cluster-membership';
import type { Acceptor } from '../consensus/acceptor.js';
import { consensusMessages } from '../consensus/consensusMessages.js';
import type { MemberStatus } from './bootstrapMessages.js';
import { proposalErrors } from '../errors.js';
import type { ProposalError } from '../errors.js';
import type { Proposer } from '../consensus/proposer.js';
import { majorityOf } from '../consensus/quorumCall.js';

const defaultReplacementDelayMs = 12_000;
const timeoutMs = 1_000;
const swapTimeoutMs = 2_000;
const confirmTimeoutMs = 1_000;
const retryMs = 50;

/** When a joining node may replace a member. */
export interface MembershipOptions {
  /** Milliseconds that a member must be unreachable before a node of another name may replace it. */
  readonly replacementDelayMs?: number;
  /** Whether a joining node must copy data outside the committed state from every member before it may vote. */
  readonly requiresSync: boolean;
}

const pollUntil = async (clock: Clock, untilMs: number, isDone: () => Promise<boolean>): Promise<boolean> => {
  while (!(await isDone())) {
    if (clock.now() + retryMs > untilMs) return false;
    await timing.sleep(clock, retryMs);
  }
  return true;
};

/** Proposes swaps of members, one at a time, so that old and new majorities always have a member in common. */
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
    private readonly options: MembershipOptions,
    /** Makes the peer catch up from this node. */
    private readonly bringUpToDate: (connection: PeerConnection) => Promise<void>,
  ) {}

  /** Records that a node is leaving: it may be replaced without delay and does not become a voter again. */
  readonly markLeaving = (incarnation: string): void => void this.leaving.add(incarnation);

  /** Records that a node has returned and is no longer leaving. */
  readonly markReturned = (incarnation: string): void => {
    if (incarnation !== this.acceptor.incarnation) this.leaving.delete(incarnation);
  };

  /** Whether this node is leaving the cluster. */
  readonly isLeaving = (): boolean => this.leaving.has(this.acceptor.incarnation);

  private readonly trackLostMembers = (members: readonly Member[]): void => {
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

  /** Drops leaving nodes that are disconnected and not members. */
  private readonly forgetDepartedNodes = (state: CommittedState): void => {
    for (const incarnation of this.leaving) {
      const isKnown = incarnation === this.acceptor.incarnation || stateMachine.isVoter(state, incarnation);
      if (!isKnown && this.peerPool().connectionTo(incarnation) === undefined) this.leaving.delete(incarnation);
    }
  };

  private readonly isReplaceable = (member: Member): boolean => {
    const lostAt = this.lostAt.get(member.incarnation);
    const delayMs = this.options.replacementDelayMs ?? defaultReplacementDelayMs;
    return lostAt !== undefined && this.isDown(member.name) && this.clock.now() - lostAt > delayMs;
  };

  /**
   * The member that a joining node may replace: only the member of its own name if there is one, which must be lost or
   * leaving; otherwise a leaving member, or one that is down and has been lost for longer than the replacement delay.
   */
  private readonly memberToReplace = (joining: Member, members: readonly Member[]): Member | undefined => {
    const sameName = members.find((member) => member.name === joining.name);
    if (sameName !== undefined) {
      const isFree = this.lostAt.has(sameName.incarnation) || this.leaving.has(sameName.incarnation);
      return isFree ? sameName : undefined;
    }
    return members.find((member) => this.leaving.has(member.incarnation)) ?? members.find(this.isReplaceable);
  };

  /** Connected control nodes that are not members and are not leaving. */
  private readonly joiningNodes = (state: CommittedState): { connection: PeerConnection; member: Member }[] =>
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
    if (!this.options.requiresSync) return true;
    return state.members.every(
      (member) => member.incarnation === outgoing.incarnation || memberStatus.syncedFrom.includes(member.incarnation),
    );
  };

  /** Replaces one lost or leaving member by a joining node that has caught up, if both exist. */
  readonly step = async (): Promise<void> => {
    const state = this.acceptor.committedState();
    if (state === null || !this.acceptor.isVoter()) return;
    this.trackLostMembers(state.members);
    this.forgetDepartedNodes(state);
    for (const { connection, member } of this.joiningNodes(state)) {
      const outgoing = this.memberToReplace(member, state.members);
      if (outgoing === undefined) continue;
      const memberStatus = await this.memberStatusOf(connection);
      if (memberStatus !== null && this.isCaughtUp(memberStatus, state, outgoing))
        return this.swap(outgoing, member, memberStatus);
    }
  };

  /**
   * Lets a joining node replace this one, within `budgetMs` milliseconds. Returns at once if this node is not a member
   * or no joining node is connected, otherwise when the new member and a majority of the new members have stored the
   * swap.
   */
  readonly leave = async (budgetMs: number): Promise<void> => {
    this.markLeaving(this.acceptor.incarnation);
    const before = this.acceptor.committedState();
    if (before === null || !this.acceptor.isVoter()) return;
    const untilMs = this.clock.now() + budgetMs;
    const handover = pollUntil(this.clock, untilMs, () => this.tryHandOver(before));
    const isInTime = await Promise.race([handover, timing.sleep(this.clock, budgetMs).then(() => false)]);
    this.log.info('draining: this node is leaving the cluster', { hasSeat: this.acceptor.isVoter(), isInTime });
  };

  /** One attempt to have this node replaced: true if nothing is left to do. */
  private readonly tryHandOver = async (before: CommittedState): Promise<boolean> => {
    const state = this.acceptor.committedState() ?? before;
    if (!this.acceptor.isVoter()) return this.isStoredByNewMajority(before, state);
    if (this.joiningNodes(state).length === 0) return true;
    await this.step();
    return false;
  };

  /**
   * Why the swap may not be proposed on `state`; null if it may. Checked before every ballot, since `state` may be newer
   * than the one that `memberStatus` was compared with, and the joining node must have reported at least its log index.
   */
  private readonly swapRefusal = (
    state: CommittedState,
    outgoing: Member,
    incoming: Member,
    memberStatus: MemberStatus,
  ): string | null => {
    if (!stateMachine.canSwap(state, outgoing.incarnation, incoming)) return 'the members have changed';
    return this.isCaughtUp(memberStatus, state, outgoing) ? null : 'the joining node has not reported the newest state';
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
    const before = this.acceptor.committedState() as CommittedState;
    const outcome = await this.proposer.propose(check, id, digest, swapTimeoutMs);
    this.log.info('membership change proposed', {
      outgoing: outgoing.name,
      incoming: incoming.name,
      outcome: outcome.isOk() ? outcome.value : outcome.error,
    });
    if (outcome.isErr()) return;
    const untilMs = this.clock.now() + confirmTimeoutMs;
    const isStored = await pollUntil(this.clock, untilMs, () =>
      this.isStoredByNewMajority(before, this.acceptor.committedState() ?? before),
    );
    this.log.info('membership change committed', { incoming: incoming.name, isHeldByNewMajority: isStored });
  };

  /**
   * Whether every member added since `before`, and a majority of the members of `state`, have stored `state` on disk.
   */
  private readonly isStoredByNewMajority = async (before: CommittedState, state: CommittedState): Promise<boolean> => {
    const hasState = await Promise.all(state.members.map((member) => this.hasStored(member, state)));
    const holders = state.members.filter((_, at) => hasState[at]);
    const newMembers = state.members.filter((member) => !stateMachine.isVoter(before, member.incarnation));
    return holders.length >= majorityOf(state.members) && newMembers.every((member) => holders.includes(member));
  };

  private readonly hasStored = async (member: Member, state: CommittedState): Promise<boolean> => {
    if (member.incarnation === this.acceptor.incarnation) return true;
    const connection = this.peerPool().connectionTo(member.incarnation);
    if (connection === undefined) return false;
    const memberStatus = await this.memberStatusOf(connection);
    if (memberStatus === null) return false;
    if (memberStatus.logIndex >= state.logIndex) return true;
    await this.bringUpToDate(connection);
    return false;
  };
}
