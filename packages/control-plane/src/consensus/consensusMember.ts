/** One member of the consensus group: agreement, membership, leases and keepalives, for every kind of control node. */
import { background, RepeatingTimer } from '@martenworks/core-types';
import { PeerPool } from '@martenworks/cluster-membership';
import type { LeaseManager } from '@martenworks/cluster-membership';
import type { Handlers, Hello, PeerConnection } from '@martenworks/peer-transport';
import { ClusterBootstrap } from '../membership/clusterBootstrap.js';
import { Membership } from '../membership/membership.js';
import type { Acceptor } from './acceptor.js';
import { CatchUp } from './catchUp.js';
import { consensusMessages } from './consensusMessages.js';
import type { ConsensusTiming, ConsensusDependencies, ConsensusHooks } from './consensusOptions.js';
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
  private readonly bootstrap: ClusterBootstrap;
  private readonly membership: Membership;
  private readonly timers: RepeatingTimer[] = [];
  private isBootstrapping = false;
  private isCheckingMembership = false;

  constructor(
    private readonly dependencies: ConsensusDependencies,
    private readonly hooks: ConsensusHooks,
    private readonly timing: ConsensusTiming,
  ) {
    const { ports, memberList, acceptor } = dependencies;
    const { clock, random, log } = ports;
    this.acceptor = acceptor;
    this.memberPeers = new MemberPeers(acceptor, () => this.peerPool);
    this.peerPool = this.createPeerPool();
    this.catchUp = new CatchUp(acceptor, this.memberPeers.controlNodes, clock, log);
    const voters = remoteVoters(acceptor, this.memberPeers, this.catchUp, timing.voteTimeoutMs);
    this.proposer = new Proposer(acceptor, voters, clock, random, log);
    this.leases = new MemberLeases(dependencies, this.memberPeers, timing.leaseTimeoutMs, {
      wanted: () => (this.isLeaving() ? [] : hooks.wantedLeases()),
      changed: hooks.leasesChanged,
    });
    this.leaseManager = this.leases.manager;
    this.requests = new ConsensusRequests(acceptor, this.catchUp, this.leases, memberList, hooks);
    this.bootstrap = this.createBootstrap();
    this.membership = this.createMembership();
  }

  private readonly createPeerPool = (): PeerPool => {
    const { ports, hello, seeds, memberList } = this.dependencies;
    const addresses = (): string[] => [
      ...this.memberPeers.members().map((member) => member.address),
      ...this.hooks.extraAddresses(),
    ];
    return new PeerPool(ports, hello, seeds, memberList, addresses, this.handlers(), this.timing.dialPace);
  };

  private readonly createBootstrap = (): ClusterBootstrap => {
    const { ports, hello, memberList, acceptor, initialMemberCount } = this.dependencies;
    return new ClusterBootstrap(
      acceptor,
      hello,
      () => this.peerPool,
      () => memberList.withRole('control'),
      this.catchUp.fromPeer,
      ports.log,
      initialMemberCount,
    );
  };

  private readonly createMembership = (): Membership => {
    const { hooks, timing } = this;
    const { clock, log } = this.dependencies.ports;
    return new Membership(
      this.acceptor,
      this.proposer,
      clock,
      () => this.peerPool,
      hooks.isDown,
      log,
      { replacementDelayMs: timing.replacementDelayMs, requiresSync: hooks.requiresSync },
      (connection) => this.catchUp.bringUpToDate(connection, timing.voteTimeoutMs),
    );
  };

  /** Begins the repeated steps. To be called once, when the node is able to answer its neighbours. */
  readonly start = (): void => {
    const { clock, random } = this.dependencies.ports;
    const { timing } = this;
    const varied = (everyMs: number) => (): number => everyMs * (0.5 + random.fraction());
    this.leases.start();
    this.acceptor.watch(() => this.peerPool.align());
    this.timers.push(
      new RepeatingTimer(clock, varied(timing.bootstrapIntervalMs), this.stepBootstrap),
      new RepeatingTimer(clock, varied(timing.membershipIntervalMs), this.checkMembership),
      new RepeatingTimer(clock, varied(commitPendingCheckMs), this.commitPending),
      new RepeatingTimer(
        clock,
        () => timing.keepaliveIntervalMs,
        () => this.memberPeers.sendKeepalives(timing.keepaliveTimeoutMs),
      ),
      new RepeatingTimer(
        clock,
        () => timing.leaseIntervalMs * (0.9 + 0.2 * random.fraction()),
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
    this.membership.markLeaving(this.acceptor.incarnation);
    this.resign();
    this.broadcast('leaving', null);
    await this.membership.leave(budgetMs);
  };

  /** Gives up the leases. */
  readonly resign = (): void => this.leaseManager.resign();

  /** Closes the held connections. */
  readonly close = (): void => this.peerPool.stop();

  /** Sends a message to all other control nodes, without a reply. */
  readonly broadcast = (topic: string, body: unknown): void => this.memberPeers.broadcast(topic, body);

  /** Incarnations of the voters with an open connection, this node's own among them if it is one. */
  readonly reachableVoters = (): string[] => this.memberPeers.reachableVoters();

  /** Whether this node is connected to a majority of the members, itself counted. False before the founding. */
  readonly reachesMajority = (): boolean =>
    this.acceptor.committedState() !== null && this.reachableVoters().length >= majorityOf(this.memberPeers.members());

  /** Milliseconds since this node last had bytes of each of a majority of the voters, itself counted; null where it has no connection to one. */
  readonly majorityContactAgeMs = (): number | null => this.memberPeers.majorityContactAgeMs();

  private readonly stepBootstrap = (): void => {
    if (this.isBootstrapping || this.acceptor.committedState() !== null) return;
    this.isBootstrapping = true;
    background.run(
      'found the cluster',
      this.bootstrap.step().finally(() => (this.isBootstrapping = false)),
    );
  };

  private readonly checkMembership = (): void => {
    if (this.isCheckingMembership) return;
    this.isCheckingMembership = true;
    background.run(
      'membership upkeep',
      this.hooks
        .beforeMembershipCheck()
        .then(() => (this.isLeaving() ? undefined : this.membership.step()))
        .finally(() => (this.isCheckingMembership = false)),
    );
  };

  private readonly commitPending = (): void => {
    const age = this.acceptor.pendingForMs();
    if (age !== null && age > commitPendingAfterMs && this.proposer.queueDepth() === 0)
      background.run('finish an unsettled proposal', this.proposer.finishPending());
  };

  /** Handlers for every connection of the node: the group's own topics here, all others by the role. */
  readonly handlers = (): Handlers => ({
    joined: (connection) => {
      this.handleJoined(connection);
      this.hooks.joined(connection);
    },
    left: (connection) => this.hooks.left(connection),
    told: (connection, topic, body) => {
      if (topic === 'committed') this.handleCommitted(connection, body);
      else if (topic === 'leaseRelease') this.leases.handleRelease(body);
      else if (topic === 'leaving') this.handleLeaving(connection);
      else this.hooks.told(connection, topic, body);
    },
    asked: (connection, topic, body) => {
      if (connection.peer !== null) this.dependencies.memberList.heard(connection.peer);
      return this.requests.handleRequest(connection, topic, body);
    },
  });

  private readonly isNewcomer = ({ incarnation }: Hello): boolean =>
    !this.memberPeers.members().some((member) => member.incarnation === incarnation);

  private readonly handleJoined = (connection: PeerConnection): void => {
    if (connection.peer === null) return;
    this.dependencies.memberList.heard(connection.peer);
    if (connection.peer.role !== 'control') return;
    this.membership.markReturned(connection.peer.incarnation);
    if (this.isLeaving()) connection.tell('leaving', null);
    if (this.acceptor.committedState() !== null && this.isNewcomer(connection.peer)) this.peerPool.align();
  };

  private readonly handleLeaving = (connection: PeerConnection): void => {
    if (connection.peer !== null) this.membership.markLeaving(connection.peer.incarnation);
  };

  private readonly handleCommitted = (connection: PeerConnection, body: unknown): void => {
    if (consensusMessages.isCommitted(body))
      background.run('apply a settled change', this.catchUp.commit(connection, body));
  };
}
