/** One member of the consensus group: agreement, membership, leases and keepalives, for every kind of control node. */
import { background, RepeatingTimer } from '@martenworks/core-types';
import { PeerPool } from '@martenworks/cluster-membership';
import type { LeaseManager } from '@martenworks/cluster-membership';
import type { PeerHandlers, Hello, PeerConnection } from '@martenworks/peer-transport';
import { Founding } from '../membership/founding.js';
import { Membership } from '../membership/membership.js';
import type { Acceptor } from './acceptor.js';
import { CatchUp } from './catchUp.js';
import { consensusMessages } from './consensusMessages.js';
import type { ConsensusPace, ConsensusParts, ConsensusRole } from './consensusOptions.js';
import { ConsensusRequests } from './consensusRequests.js';
import { MemberLeases } from './memberLeases.js';
import { MemberPeers } from './memberPeers.js';
import { Proposer } from './proposer.js';
import { majorityOf } from './quorumCall.js';
import { remoteVoters } from './remoteVoters.js';

const commitPendingAfterMs = 150;
const commitPendingCheckMs = 100;

/** Wires the parts of one member together and takes its repeated steps. */
export class ConsensusMember {
  /** The held connections to other nodes. */
  readonly peerPool: PeerPool;
  /** Fetches committed changes that this node missed. */
  readonly catchUp: CatchUp;
  /** Gets changes committed. */
  readonly proposer: Proposer;
  /** Keeps the leases that this node holds. */
  readonly leaseManager: LeaseManager;
  private readonly acceptor: Acceptor;
  private readonly memberPeers: MemberPeers;
  private readonly leases: MemberLeases;
  private readonly requests: ConsensusRequests;
  private readonly founding: Founding;
  private readonly membership: Membership;
  private readonly timers: RepeatingTimer[] = [];
  private isFoundingStep = false;
  private isUpkeepStep = false;

  constructor(
    private readonly parts: ConsensusParts,
    private readonly role: ConsensusRole,
    private readonly pace: ConsensusPace,
  ) {
    const { ports, memberList, acceptor } = parts;
    const { clock, random, log } = ports;
    this.acceptor = acceptor;
    this.memberPeers = new MemberPeers(acceptor, () => this.peerPool);
    this.peerPool = this.createPeerPool();
    this.catchUp = new CatchUp(acceptor, this.memberPeers.controlNodes, clock, log);
    const voters = remoteVoters(acceptor, this.memberPeers, this.catchUp, pace.voteTimeoutMs);
    this.proposer = new Proposer(acceptor, voters, clock, random, log);
    this.leases = new MemberLeases(parts, this.memberPeers, pace.leaseTimeoutMs, {
      wanted: () => (this.isLeaving() ? [] : role.wantedLeases()),
      changed: role.leasesChanged,
    });
    this.leaseManager = this.leases.manager;
    this.requests = new ConsensusRequests(acceptor, this.catchUp, this.leases, memberList, role);
    this.founding = this.createFounding();
    this.membership = this.createMembership();
  }

  private readonly createPeerPool = (): PeerPool => {
    const { ports, hello, seeds, memberList } = this.parts;
    const addresses = (): string[] => [
      ...this.memberPeers.members().map((member) => member.address),
      ...this.role.extraAddresses(),
    ];
    return new PeerPool(ports, hello, seeds, memberList, addresses, this.handlers(), this.pace.dialPace);
  };

  private readonly createFounding = (): Founding => {
    const { ports, hello, memberList, acceptor, coreSize } = this.parts;
    return new Founding(
      acceptor,
      hello,
      () => this.peerPool,
      () => memberList.withRole('control'),
      this.catchUp.from,
      ports.log,
      coreSize,
    );
  };

  private readonly createMembership = (): Membership => {
    const { role, pace } = this;
    const { clock, log } = this.parts.ports;
    return new Membership(
      this.acceptor,
      this.proposer,
      clock,
      () => this.peerPool,
      role.isDown,
      log,
      { strangerWaitMs: pace.strangerWaitMs, needsCopies: role.needsCopies },
      (connection) => this.catchUp.supply(connection, pace.voteTimeoutMs),
    );
  };

  /** Begins the repeated steps. To be called once, when the node is able to answer its neighbours. */
  readonly start = (): void => {
    const { clock, random } = this.parts.ports;
    const { pace } = this;
    const varied = (everyMs: number) => (): number => everyMs * (0.5 + random.fraction());
    this.leases.start();
    this.acceptor.watch(() => this.peerPool.reconcile());
    this.timers.push(
      new RepeatingTimer(clock, varied(pace.foundingMs), this.stepFounding),
      new RepeatingTimer(clock, varied(pace.upkeepMs), this.upkeep),
      new RepeatingTimer(clock, varied(commitPendingCheckMs), this.commitPending),
      new RepeatingTimer(
        clock,
        () => pace.keepaliveIntervalMs,
        () => this.memberPeers.sendKeepalives(pace.keepaliveTimeoutMs),
      ),
      new RepeatingTimer(
        clock,
        () => pace.leaseIntervalMs * (0.9 + 0.2 * random.fraction()),
        () => background.run('renew leases', this.leaseManager.tick()),
      ),
    );
  };

  /** Ends the repeated steps. */
  readonly pause = (): void => {
    for (const timer of this.timers) timer.stop();
  };

  /** Whether this node has begun to hand over its seat. */
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

  /** Sends a message to all other control nodes, without a reply. */
  readonly tellPeers = (topic: string, body: unknown): void => this.memberPeers.tellAll(topic, body);

  /** Incarnations of the voters with an open connection, this node's own among them if it is one. */
  readonly reachableVoters = (): string[] => this.memberPeers.reachableVoters();

  /** Whether this node is connected to a majority of the members, itself counted. False before the founding. */
  readonly reachesMajority = (): boolean =>
    this.acceptor.agreed() !== null && this.reachableVoters().length >= majorityOf(this.memberPeers.members());

  /** Milliseconds since this node last had bytes of each of a majority of the voters, itself counted; null where it has no connection to one. */
  readonly majorityHeardMs = (): number | null => this.memberPeers.majorityHeardMs();

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

  /** Handlers for every connection of the node: the group's own topics here, all others by the role. */
  readonly handlers = (): PeerHandlers => ({
    onOpen: (connection) => {
      this.noteJoined(connection);
      this.role.onOpen(connection);
    },
    onClose: (connection) => this.role.onClose(connection),
    onMessage: (connection, topic, body) => {
      if (topic === 'committed') this.takeCommitted(connection, body);
      else if (topic === 'leaseRelease') this.leases.takeRelease(body);
      else if (topic === 'leaving') this.takeLeaving(connection);
      else this.role.onMessage(connection, topic, body);
    },
    onCall: (connection, topic, body) => {
      if (connection.peer !== null) this.parts.memberList.recordContact(connection.peer);
      return this.requests.answer(connection, topic, body);
    },
  });

  private readonly isNewcomer = ({ incarnation }: Hello): boolean =>
    !this.memberPeers.members().some((member) => member.incarnation === incarnation);

  private readonly noteJoined = (connection: PeerConnection): void => {
    if (connection.peer === null) return;
    this.parts.memberList.recordContact(connection.peer);
    if (connection.peer.role !== 'control') return;
    this.membership.noteBack(connection.peer.incarnation);
    if (this.isLeaving()) connection.send('leaving', null);
    if (this.acceptor.agreed() !== null && this.isNewcomer(connection.peer)) this.peerPool.reconcile();
  };

  private readonly takeLeaving = (connection: PeerConnection): void => {
    if (connection.peer !== null) this.membership.noteLeaving(connection.peer.incarnation);
  };

  private readonly takeCommitted = (connection: PeerConnection, body: unknown): void => {
    if (consensusMessages.isCommitted(body))
      background.run('apply a settled change', this.catchUp.commit(connection, body));
  };
}
