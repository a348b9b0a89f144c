/** One member of the consensus group: the log, membership, leases and keepalives, for both kinds of control node. */
import { background, RepeatingTimer } from '@martenworks/core-types';
import { PeerPool } from '@martenworks/cluster-membership';
import type { LeaseManager } from '@martenworks/cluster-membership';
import type { PeerHandlers, Hello, PeerConnection } from '@martenworks/peer-transport';
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
const commitPendingIntervalMs = 100;

/** Wires the components of one member together and runs its periodic tasks. */
export class ConsensusMember {
  /** The open connections to other nodes. */
  readonly peerPool: PeerPool;
  /** Fetches committed changes that this node missed. */
  readonly catchUp: CatchUp;
  /** Commits changes to the log. */
  readonly proposer: Proposer;
  /** Acquires and renews the leases of this node. */
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
    return new PeerPool(ports, hello, seeds, memberList, addresses, this.handlers(), this.timing.dialOptions);
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

  /** Starts the periodic tasks. Call once, when the node can answer its peers. */
  readonly start = (): void => {
    const { clock, random } = this.dependencies.ports;
    const { timing } = this;
    const jittered = (meanMs: number) => (): number => meanMs * (0.5 + random.fraction());
    this.leases.start();
    this.acceptor.watch(() => this.peerPool.reconcile());
    this.timers.push(
      new RepeatingTimer(clock, jittered(timing.bootstrapIntervalMs), this.stepBootstrap),
      new RepeatingTimer(clock, jittered(timing.membershipIntervalMs), this.checkMembership),
      new RepeatingTimer(clock, jittered(commitPendingIntervalMs), this.commitPending),
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

  /** Stops the periodic tasks. */
  readonly pause = (): void => {
    for (const timer of this.timers) timer.stop();
  };

  /** Whether this node is leaving the cluster. */
  readonly isLeaving = (): boolean => this.membership.isLeaving();

  /**
   * Releases the leases, announces that this node is leaving, and lets a joining node replace it, for at most
   * `budgetMs`.
   */
  readonly leave = async (budgetMs: number): Promise<void> => {
    this.membership.markLeaving(this.acceptor.incarnation);
    this.resign();
    this.broadcast('leaving', null);
    await this.membership.leave(budgetMs);
  };

  /** Releases the leases of this node. */
  readonly resign = (): void => this.leaseManager.resign();

  /** Closes the connections to other nodes. */
  readonly close = (): void => this.peerPool.stop();

  /** Sends a message to all other control nodes, without a reply. */
  readonly broadcast = (topic: string, body: unknown): void => this.memberPeers.broadcast(topic, body);

  /** Incarnations of the voters with an open connection, including this node if it is a voter. */
  readonly reachableVoters = (): string[] => this.memberPeers.reachableVoters();

  /** Whether this node is connected to a majority of the members, including itself. False before the cluster exists. */
  readonly reachesMajority = (): boolean =>
    this.acceptor.committedState() !== null && this.reachableVoters().length >= majorityOf(this.memberPeers.members());

  /**
   * Age in milliseconds of this node's last contact with a majority of the voters, itself included; null if it is not
   * connected to a majority.
   */
  readonly majorityContactAgeMs = (): number | null => this.memberPeers.majorityContactAgeMs();

  private readonly stepBootstrap = (): void => {
    if (this.isBootstrapping || this.acceptor.committedState() !== null) return;
    this.isBootstrapping = true;
    background.run(
      'bootstrap the cluster',
      this.bootstrap.step().finally(() => (this.isBootstrapping = false)),
    );
  };

  private readonly checkMembership = (): void => {
    if (this.isCheckingMembership) return;
    this.isCheckingMembership = true;
    background.run(
      'check the membership',
      this.hooks
        .beforeMembershipCheck()
        .then(() => (this.isLeaving() ? undefined : this.membership.step()))
        .finally(() => (this.isCheckingMembership = false)),
    );
  };

  private readonly commitPending = (): void => {
    const pendingMs = this.acceptor.pendingForMs();
    if (pendingMs !== null && pendingMs > commitPendingAfterMs && this.proposer.queueDepth() === 0)
      background.run('commit a pending change', this.proposer.finishPending());
  };

  /** Handlers for every connection of the node; topics that are not those of the consensus group go to the hooks. */
  readonly handlers = (): PeerHandlers => ({
    onOpen: (connection) => {
      this.handleOpen(connection);
      this.hooks.onOpen(connection);
    },
    onClose: (connection) => this.hooks.onClose(connection),
    onMessage: (connection, topic, body) => {
      if (topic === 'committed') this.handleCommitted(connection, body);
      else if (topic === 'leaseRelease') this.leases.handleRelease(body);
      else if (topic === 'leaving') this.handleLeaving(connection);
      else this.hooks.onMessage(connection, topic, body);
    },
    onCall: (connection, topic, body) => {
      if (connection.peer !== null) this.dependencies.memberList.recordContact(connection.peer);
      return this.requests.handleRequest(connection, topic, body);
    },
  });

  private readonly isNonMember = ({ incarnation }: Hello): boolean =>
    !this.memberPeers.members().some((member) => member.incarnation === incarnation);

  private readonly handleOpen = (connection: PeerConnection): void => {
    if (connection.peer === null) return;
    this.dependencies.memberList.recordContact(connection.peer);
    if (connection.peer.role !== 'control') return;
    this.membership.markReturned(connection.peer.incarnation);
    if (this.isLeaving()) connection.send('leaving', null);
    if (this.acceptor.committedState() !== null && this.isNonMember(connection.peer)) this.peerPool.reconcile();
  };

  private readonly handleLeaving = (connection: PeerConnection): void => {
    if (connection.peer !== null) this.membership.markLeaving(connection.peer.incarnation);
  };

  private readonly handleCommitted = (connection: PeerConnection, body: unknown): void => {
    if (consensusMessages.isCommitted(body))
      background.run('apply a committed change', this.catchUp.commit(connection, body));
  };
}
