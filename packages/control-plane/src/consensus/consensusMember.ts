/** One member of the consensus group: agreement, membership, leases and heartbeats, for every kind of core node. */
import { background, RepeatingTimer, stateMachine } from '@martenworks/core-types';
import type { Member, Ports } from '@martenworks/core-types';
import { LeaseManager, PeerPool, leaseMs } from '@martenworks/cluster-membership';
import type {
  DialPace,
  LeaseRequest,
  LeaseReply,
  LeaseTerms,
  MemberList,
  MemberEntry,
} from '@martenworks/cluster-membership';
import type { Handlers, Hello, PeerConnection } from '@martenworks/peer-transport';
import type { Acceptor } from './acceptor.js';
import type { CompressedCommit, Since } from './ballots.js';
import { CatchUp, catchUpTopics } from './catchUp.js';
import { compressedChanges } from './compression.js';
import { consensusMessages } from './consensusMessages.js';
import type { ElectorateLeaseRequest, MessageCheck } from './consensusMessages.js';
import { Founding } from '../membership/founding.js';
import type { MemberStatus } from '../membership/foundingMessages.js';
import type { PersistedLeases } from './leaseLog.js';
import { Membership } from '../membership/membership.js';
import { Proposer } from './proposer.js';
import { majorityOf, positions } from './quorumCall.js';
import type { Voters } from './quorumCall.js';

const commitPendingAfterMs = 150;
const commitPendingCheckMs = 100;

/** Milliseconds: how often each step is taken, and how long a reply is waited for. */
export interface ConsensusPace {
  readonly voteTimeoutMs: number;
  readonly foundingMs: number;
  readonly upkeepMs: number;
  readonly keepaliveIntervalMs: number;
  readonly keepaliveTimeoutMs: number;
  readonly leaseIntervalMs: number;
  readonly leaseTimeoutMs: number;
  readonly dialPace?: DialPace;
  /** How long a member must be lost before a node of another name may take its seat. */
  readonly strangerWaitMs?: number;
}

/** What the kind of node adds to the group's own work. */
export interface ConsensusRole extends Handlers {
  /** Addresses to hold connections to, besides those of the members. */
  readonly extraAddresses: () => readonly string[];
  /** Whether a lost member of this name is known to be down. */
  readonly isDown: (name: string) => boolean;
  readonly wantedLeases: () => readonly string[];
  readonly leasesChanged: () => void;
  /** Whether a newcomer must have copied data beside the agreed state from every member before it may vote. */
  readonly needsCopies: boolean;
  /** The members, by incarnation, whose data beside the agreed state is held here. */
  readonly syncedFrom: () => readonly string[];
  /** Work to be done before each step of membership; catching up is part of it. */
  readonly prepareUpkeep: () => Promise<void>;
  /** Entries of the member list that a peer is told of. */
  readonly sharedMembers: (entries: MemberEntry[]) => MemberEntry[];
}

export interface ConsensusParts {
  readonly ports: Ports;
  readonly hello: () => Hello;
  readonly memberList: MemberList;
  readonly seeds: readonly string[];
  readonly acceptor: Acceptor;
  readonly leases: PersistedLeases;
  readonly terms?: LeaseTerms;
  readonly coreSize?: number;
}

export class ConsensusMember {
  readonly peerPool: PeerPool;
  readonly catchUp: CatchUp;
  readonly proposer: Proposer;
  readonly leaseManager: LeaseManager;
  private readonly acceptor: Acceptor;
  private readonly founding: Founding;
  private readonly membership: Membership;
  private readonly timers: RepeatingTimer[] = [];
  private isFoundingStep = false;
  private isUpkeepStep = false;
  private wasVoter = false;
  private quietUntil = 0;

  constructor(
    private readonly parts: ConsensusParts,
    private readonly role: ConsensusRole,
    private readonly pace: ConsensusPace,
  ) {
    const { ports, hello, memberList, acceptor } = parts;
    const { clock, random, log } = ports;
    this.acceptor = acceptor;
    this.peerPool = new PeerPool(
      ports,
      hello,
      parts.seeds,
      memberList,
      () => [...this.members().map((member) => member.address), ...role.extraAddresses()],
      this.handlers(),
      pace.dialPace,
    );
    this.catchUp = new CatchUp(acceptor, this.peers, clock, log);
    this.proposer = new Proposer(acceptor, this.voters(), clock, random, log);
    this.leaseManager = new LeaseManager(
      clock,
      () => acceptor.incarnation,
      this.reachableVoters,
      () => (this.isLeaving() ? [] : role.wantedLeases()),
      this.askLeases,
      this.releaseLeases,
      () => majorityOf(this.members()),
      role.leasesChanged,
      parts.terms,
    );
    this.founding = new Founding(
      acceptor,
      hello,
      () => this.peerPool,
      () => memberList.withRole('control'),
      this.catchUp.from,
      log,
      parts.coreSize,
    );
    this.membership = new Membership(
      acceptor,
      this.proposer,
      clock,
      () => this.peerPool,
      role.isDown,
      log,
      { strangerWaitMs: pace.strangerWaitMs, needsCopies: role.needsCopies },
      (connection) => this.catchUp.supply(connection, pace.voteTimeoutMs),
    );
  }

  /** Begins the repeated steps. To be called once, when the node is able to answer its neighbours. */
  readonly start = (): void => {
    const { clock, random } = this.parts.ports;
    const { pace } = this;
    const varied = (everyMs: number) => (): number => everyMs * (0.5 + random.fraction());
    this.wasVoter = this.acceptor.isVoter();
    this.acceptor.watch(() => {
      this.noteSeat();
      this.peerPool.align();
    });
    this.timers.push(
      new RepeatingTimer(clock, varied(pace.foundingMs), this.stepFounding),
      new RepeatingTimer(clock, varied(pace.upkeepMs), this.upkeep),
      new RepeatingTimer(clock, varied(commitPendingCheckMs), this.commitPending),
      new RepeatingTimer(clock, () => pace.keepaliveIntervalMs, this.keepalive),
      new RepeatingTimer(
        clock,
        () => pace.leaseIntervalMs * (0.9 + 0.2 * random.fraction()),
        () => background.run('renew leases', this.leaseManager.tick()),
      ),
    );
  };

  /** Ends the repeated steps. */
  readonly pause = (): void => {
    for (const repeat of this.timers) repeat.stop();
  };

  readonly isLeaving = (): boolean => this.membership.isLeaving();

  /** Tells all peers that this node leaves, gives up its leases, and hands its seat over where somebody can have it: for `budgetMs` at most. */
  readonly leave = async (budgetMs: number): Promise<void> => {
    this.membership.noteLeaving(this.acceptor.incarnation);
    this.resign();
    this.tellPeers('leaving', null);
    await this.membership.leave(budgetMs);
  };

  /** Gives up the leases. */
  readonly resign = (): void => this.leaseManager.resign();

  /** Closes the held connections. */
  readonly close = (): void => this.peerPool.stop();

  private readonly members = (): readonly Member[] => this.acceptor.agreed()?.members ?? [];

  private readonly voterMembers = (): Member[] => stateMachine.distinctVoters(this.acceptor.agreed());

  private readonly isSelf = (member: Member): boolean => member.incarnation === this.acceptor.incarnation;

  /** Open connections to the other control nodes, voters or not. */
  readonly peers = (): PeerConnection[] =>
    this.peerPool.open().filter((connection) => connection.peer?.role === 'control');

  readonly tellPeers = (topic: string, body: unknown): void => {
    for (const connection of this.peers()) connection.tell(topic, body);
  };

  /** Incarnations of the voters with an open connection, this node's own among them if it is one. */
  readonly reachableVoters = (): string[] =>
    this.voterMembers()
      .filter((member) => this.isSelf(member) || this.peerPool.to(member.incarnation) !== undefined)
      .map((member) => member.incarnation);

  /** Milliseconds since this node last had bytes of each of a majority of the voters, itself counted; null where it has no connection to one. */
  readonly majorityHeardMs = (): number | null => {
    const silences = this.voterMembers().flatMap((member) => {
      if (this.isSelf(member)) return [0];
      const connection = this.peerPool.to(member.incarnation);
      return connection === undefined ? [] : [connection.silentMs()];
    });
    const majority = majorityOf(this.members());
    return silences.sort((a, b) => a - b)[majority - 1] ?? null;
  };

  private readonly stepFounding = (): void => {
    if (this.isFoundingStep || this.acceptor.agreed() !== null) return;
    this.isFoundingStep = true;
    background.run(
      'found the cluster',
      this.founding.step().finally(() => (this.isFoundingStep = false)),
    );
  };

  private readonly upkeep = (): void => {
    if (this.isUpkeepStep) return;
    this.isUpkeepStep = true;
    background.run(
      'membership upkeep',
      this.role
        .prepareUpkeep()
        .then(() => (this.isLeaving() ? undefined : this.membership.step()))
        .finally(() => (this.isUpkeepStep = false)),
    );
  };

  private readonly commitPending = (): void => {
    const age = this.acceptor.pendingForMs();
    if (age !== null && age > commitPendingAfterMs && this.proposer.depth() === 0)
      background.run('finish an unsettled proposal', this.proposer.finishPending());
  };

  private readonly keepalive = (): void => {
    for (const connection of this.peerPool.open()) {
      background.run(
        'heartbeat a peer',
        connection.ask('keepalive', null, this.pace.keepaliveTimeoutMs).then((reply) => {
          if (reply.isErr() && reply.error.code === 'late') connection.close();
        }),
      );
    }
  };

  private readonly askMember = async <T>(
    member: Member,
    topic: string,
    body: unknown,
    check: MessageCheck<T>,
    timeoutMs = this.pace.voteTimeoutMs,
  ): Promise<T | null> => {
    const reply = await this.peerPool.to(member.incarnation)?.ask(topic, body, timeoutMs);
    return reply?.isOk() === true && check(reply.value) ? reply.value : null;
  };

  /**
   * A member that was newly seated grants nothing until every lease has ended which the members before it may have
   * granted: they may have formed a majority without it.
   */
  private readonly noteSeat = (): void => {
    const isVoter = this.acceptor.isVoter();
    const isNewlySeated = isVoter && !this.wasVoter && (this.acceptor.agreed()?.logIndex ?? 0) > 0;
    this.wasVoter = isVoter;
    if (!isNewlySeated) return;
    const { terms, ports } = this.parts;
    this.quietUntil = ports.clock.now() + (terms?.leaseMs ?? leaseMs) + (terms?.gapMs ?? 0);
  };

  private readonly electorate = (): string[] => this.members().map((member) => member.incarnation);

  /** Leases count only among voters that agree on who votes, and not while a change of that may have been chosen. */
  private readonly mayGrant = (electorate: readonly string[]): boolean => {
    const own = this.electorate();
    return (
      this.acceptor.isVoter() &&
      !this.acceptor.hasPendingSwap() &&
      this.parts.ports.clock.now() >= this.quietUntil &&
      electorate.length === own.length &&
      electorate.every((incarnation) => own.includes(incarnation))
    );
  };

  private readonly grant = async (ask: ElectorateLeaseRequest): Promise<LeaseReply | null> =>
    this.mayGrant(ask.electorate ?? this.electorate()) ? this.parts.leases.table.grant(ask) : null;

  private readonly askLeases = async (leaseAsk: LeaseRequest): Promise<LeaseReply[]> => {
    const ask: ElectorateLeaseRequest = { ...leaseAsk, electorate: this.electorate() };
    const replies = await Promise.all(
      this.voterMembers().map((member) =>
        this.isSelf(member)
          ? this.grant(ask)
          : this.askMember(member, 'leaseRequest', ask, consensusMessages.isLeaseReply, this.pace.leaseTimeoutMs),
      ),
    );
    return replies.filter((reply) => reply !== null);
  };

  private readonly releaseLeases = (ask: LeaseRequest): void => {
    this.parts.leases.table.release(ask);
    this.tellPeers('leaseRelease', ask);
  };

  /** Brings this node up to what the member holds; null where that wasn't done in time. */
  private readonly catchUpFrom = async (member: Member): Promise<Since | null> => {
    const connection = this.peerPool.to(member.incarnation);
    const isDone = connection !== undefined && (await this.catchUp.ask(connection, this.pace.voteTimeoutMs));
    return isDone ? { kind: 'nothing' } : null;
  };

  private readonly voters = (): Voters => ({
    prepare: (member, slot, ballot) =>
      this.isSelf(member)
        ? this.acceptor.prepare(slot, ballot)
        : this.askMember(member, 'prepare', { slot, ballot }, consensusMessages.isVote),
    accept: (member, slot, ballot, change) =>
      this.isSelf(member)
        ? this.acceptor.accept(slot, ballot, change)
        : this.askMember(
            member,
            'accept',
            { slot, ballot, change: compressedChanges.encode(change) },
            consensusMessages.isVote,
          ),
    position: (member) => this.askMember(member, 'position', null, consensusMessages.isPosition),
    commit: ({ logIndex, change }) =>
      this.tellPeers('committed', {
        logIndex,
        change: compressedChanges.encode(change),
      } satisfies CompressedCommit),
    since: (member, logIndex) =>
      this.isSelf(member) ? Promise.resolve(this.acceptor.since(logIndex)) : this.catchUpFrom(member),
    supply: async (member) => {
      const connection = this.peerPool.to(member.incarnation);
      if (connection !== undefined) await this.catchUp.supply(connection, this.pace.voteTimeoutMs);
    },
  });

  private readonly memberStatus = (): MemberStatus => ({
    incarnation: this.acceptor.incarnation,
    logIndex: this.acceptor.agreed()?.logIndex ?? -1,
    isVoter: this.acceptor.isVoter(),
    foundingVote: this.acceptor.foundingVoteCast(),
    syncedFrom: this.role.syncedFrom(),
  });

  /** Handlers for every connection of the node: the group's own topics here, all others by the role. */
  readonly handlers = (): Handlers => ({
    joined: (connection) => {
      this.noteJoined(connection);
      this.role.joined(connection);
    },
    left: (connection) => this.role.left(connection),
    told: (connection, topic, body) => {
      if (topic === 'committed') this.takeCommitted(connection, body);
      else if (topic === 'leaseRelease') this.takeRelease(body);
      else if (topic === 'leaving') this.takeLeaving(connection);
      else this.role.told(connection, topic, body);
    },
    asked: (connection, topic, body) => {
      if (connection.peer !== null) this.parts.memberList.heard(connection.peer);
      return this.asked(connection, topic, body);
    },
  });

  private readonly isNewcomer = ({ incarnation }: Hello): boolean =>
    !this.members().some((member) => member.incarnation === incarnation);

  private readonly noteJoined = (connection: PeerConnection): void => {
    if (connection.peer === null) return;
    this.parts.memberList.heard(connection.peer);
    if (connection.peer.role !== 'control') return;
    this.membership.noteBack(connection.peer.incarnation);
    if (this.isLeaving()) connection.tell('leaving', null);
    if (this.acceptor.agreed() !== null && this.isNewcomer(connection.peer)) this.peerPool.align();
  };

  private readonly takeLeaving = (connection: PeerConnection): void => {
    if (connection.peer !== null) this.membership.noteLeaving(connection.peer.incarnation);
  };

  private readonly takeCommitted = (connection: PeerConnection, body: unknown): void => {
    if (consensusMessages.isCommitted(body))
      background.run('apply a settled change', this.catchUp.commit(connection, body));
  };

  private readonly takeRelease = (body: unknown): void => {
    if (consensusMessages.isLeaseAsk(body)) this.parts.leases.table.release(body);
  };

  private readonly asked = async (connection: PeerConnection, topic: string, body: unknown): Promise<unknown> => {
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
        return isLeaseAsk(body) ? this.grant(body) : null;
      case 'foundingVote':
        return isMembers(body) ? acceptor.voteFounding(body) : null;
      case 'prepare':
        return isPrepare(body) ? acceptor.prepare(body.slot, body.ballot) : null;
      case 'accept':
        return isAccept(body) ? acceptor.accept(body.slot, body.ballot, acceptor.changeOf(body.change)) : null;
      case 'position':
        return positions.of(acceptor);
      case catchUpTopics.held:
      case catchUpTopics.page:
      case catchUpTopics.behind:
        return this.catchUp.answer(connection, topic, body);
      default:
        return this.role.asked(connection, topic, body);
    }
  };

  private readonly exchangeMemberList = (body: unknown): MemberEntry[] => {
    const { memberList } = this.parts;
    if (consensusMessages.isMemberEntries(body)) memberList.merge(body);
    return this.role.sharedMembers(memberList.entries());
  };
}
