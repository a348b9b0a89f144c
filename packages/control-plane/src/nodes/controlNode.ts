/** A control node for the platform's edges: a consensus member that publishes state and content to edges. */
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { RepeatingTimer } from '@martenworks/core-types';
import type {
  CommittedState,
  BackendClient,
  Listener,
  CacheMissReport,
  NetworkError,
  Ports,
  WeightsAgesMessage,
} from '@martenworks/core-types';
import type { NodeSettings } from '@martenworks/settings';
import { peerConnections, hellos } from '@martenworks/peer-transport';
import type { Hello, PeerConnection } from '@martenworks/peer-transport';
import { MemberList } from '@martenworks/cluster-membership';
import type { LeaseManager, LeaseTerms, PeerPool } from '@martenworks/cluster-membership';
import { EndpointListReader } from '../endpoints/endpointListReader.js';
import { acceptors } from '../consensus/acceptor.js';
import type { Acceptor } from '../consensus/acceptor.js';
import { ConsensusMember } from '../consensus/consensusMember.js';
import type { ConsensusTiming, ConsensusHooks } from '../consensus/consensusOptions.js';
import { leaseTables } from '../consensus/leaseLog.js';
import type { PersistedLeases } from '../consensus/leaseLog.js';
import type { Proposer } from '../consensus/proposer.js';
import { PrefillNoticeRelay } from '../prefixcache/prefillNoticeRelay.js';
import { PrefixCacheFollower } from '../prefixcache/prefixCacheFollower.js';
import { ConfigService } from '../configuration/configService.js';
import { TargetWeightsAges } from '../configuration/targetWeightsAges.js';
import { StatePublisher } from '../configuration/statePublisher.js';
import { rendezvousHashing } from '../prefixcache/rendezvousHashing.js';
import { controlNodeSettings } from './controlNodeSettings.js';
import type { StartError } from '../errors.js';
import { edgeMessages } from '../messages/edgeMessages.js';
import { WeightsRollout } from '../weights/weightsRollout.js';

const handoverShare = 0.5;
const weightsStepIntervalMs = 60;
const { confirmTimeoutMs, weightsLease } = controlNodeSettings;

const consensusTiming: ConsensusTiming = {
  ...controlNodeSettings.consensusTiming,
  dialOptions: { timeoutMs: 700, maxBackoffMs: 400 },
};

/** Connects the components of a control node, and dispatches messages from edges and other control nodes. */
export class ControlNode {
  /** The nodes that this node knows of. */
  readonly memberList: MemberList;
  /** Connections to other control nodes. */
  readonly peerPool: PeerPool;
  /** Proposes changes to the consensus group. */
  readonly proposer: Proposer;
  /** Proposes operators' configuration changes. */
  readonly configService: ConfigService;
  /** Sends the committed state and content to edges. */
  readonly statePublisher: StatePublisher;
  /** Reads the platform's list of replica endpoints. */
  readonly endpointList: EndpointListReader;
  /** Tracks the contents of the prefix caches of replicas and stores. */
  readonly prefixCaches: PrefixCacheFollower;
  /** Relays notices of long prefills between edges. */
  readonly prefillNotices: PrefillNoticeRelay;
  /** The leases this node holds. */
  readonly leaseManager: LeaseManager;
  /** Loads new weights onto replicas while this node holds the weights lease. */
  readonly weightsRollout: WeightsRollout;
  private readonly consensus: ConsensusMember;
  private readonly targetWeightsAges: TargetWeightsAges;
  private readonly weightsTimer: RepeatingTimer;
  private listener: Listener | null = null;

  constructor(
    /** The node's settings. */
    readonly settings: NodeSettings,
    /** Clock, network, disk, random numbers and log. */
    readonly ports: Ports,
    /** Client for the platform and replicas. */
    readonly backendClient: BackendClient,
    /** This node's votes and committed state. */
    readonly acceptor: Acceptor,
    private readonly leases: PersistedLeases,
    terms: LeaseTerms,
    seeds: readonly string[],
  ) {
    const { clock } = ports;
    const { hello } = this;
    this.memberList = new MemberList(clock, hello);
    const { memberList } = this;
    this.consensus = new ConsensusMember(
      { ports, hello, memberList, seeds, acceptor, leases, terms, initialMemberCount: settings.voters },
      this.hooks(),
      consensusTiming,
    );
    this.peerPool = this.consensus.peerPool;
    this.proposer = this.consensus.proposer;
    this.leaseManager = this.consensus.leaseManager;
    this.configService = new ConfigService(this.proposer);
    this.endpointList = this.createEndpointList();
    this.prefixCaches = this.createPrefixCaches();
    this.prefillNotices = new PrefillNoticeRelay(clock, (batch) => {
      this.statePublisher.sendToContentEdges('prefill', batch);
      this.consensus.broadcast('prefillRelay', batch);
    });
    this.targetWeightsAges = new TargetWeightsAges(clock);
    this.statePublisher = new StatePublisher(
      acceptor,
      clock,
      this.endpointList.ageMs,
      this.sendContent,
      this.targetWeightsAges,
    );
    this.weightsRollout = this.createWeightsRollout();
    this.consensus.start();
    acceptor.watch(this.reconcilePrefixCaches);
    this.reconcilePrefixCaches();
    this.weightsTimer = new RepeatingTimer(clock, () => weightsStepIntervalMs, this.weightsRollout.step);
  }

  private readonly createEndpointList = (): EndpointListReader => {
    const { settings, acceptor } = this;
    const { clock, random, log } = this.ports;
    const pace = {
      intervalMs: settings.listIntervalMs,
      maxCallsPerSecond: settings.listPerSecond,
      readerCount: () => acceptor.committedState()?.members.length ?? settings.voters,
    };
    return new EndpointListReader(this.backendClient, clock, random, log, pace, (update) => {
      this.statePublisher.sendToContentEdges('endpoints', update);
      this.reconcilePrefixCaches();
    });
  };

  private readonly createPrefixCaches = (): PrefixCacheFollower => {
    const { clock, random, log } = this.ports;
    return new PrefixCacheFollower(
      this.backendClient,
      clock,
      random,
      log,
      (update) => this.statePublisher.sendToContentEdges('prefixCaches', update),
      (update) => this.consensus.broadcast('prefixCacheRelay', update),
    );
  };

  private readonly createWeightsRollout = (): WeightsRollout => {
    const { clock, log } = this.ports;
    return new WeightsRollout(
      this.backendClient,
      clock,
      log,
      this.endpointList.all,
      this.rolloutTargets,
      () => this.leaseManager.fencingTokenOf(weightsLease),
      () => this.settings.name,
      (update) => this.statePublisher.sendToAll('weights', update),
      this.endpointList.recordLoadedWeights,
    );
  };

  /**
   * Sends the full endpoint list and prefix cache contents to an edge that now uses this node as its content source.
   */
  private readonly sendContent = (connection: PeerConnection): void => {
    if (this.endpointList.ageMs() !== null)
      connection.send('endpoints', { isWhole: true, put: this.endpointList.all(), gone: [] });
    connection.send('prefixCaches', this.prefixCaches.snapshot());
  };

  /** Returns the handshake message that this node sends when a connection opens. */
  readonly hello = (): Hello =>
    hellos.of(
      'control',
      {
        name: this.settings.name,
        peerAddress: this.settings.peerAddress,
        http: this.settings.http,
        operators: null,
        zone: this.settings.zone,
      },
      this.acceptor.incarnation,
    );

  /** Starts listening for peers; the error is that of binding the address. */
  readonly open = async (): Promise<Result<void, NetworkError>> => {
    const { net, clock, log } = this.ports;
    const opened = await peerConnections.listen(
      net,
      clock,
      log,
      this.hello,
      this.settings.peerAddress,
      this.consensus.handlers(),
    );
    if (opened.isErr()) return err(opened.error);
    this.listener = opened.value;
    return ok(undefined);
  };

  private readonly rolloutTargets = (): { pool: string; model: string; version: number }[] => {
    const state = this.acceptor.committedState();
    return (state?.routing?.table.pools ?? []).flatMap(({ name, engine }) =>
      (engine?.models ?? []).flatMap((model) => {
        const version = state?.targetWeights[model];
        return version === undefined ? [] : [{ pool: name, model, version }];
      }),
    );
  };

  private readonly reconcilePrefixCaches = (): void => {
    const routingTable = this.acceptor.committedState()?.routing?.table;
    if (routingTable === undefined) return;
    const enginePools = new Set(routingTable.pools.filter((pool) => pool.engine !== null).map((pool) => pool.name));
    const voters = this.consensus.reachableVoters();
    const isAssigned = (address: string): boolean =>
      rendezvousHashing.isAssigned(address, this.acceptor.incarnation, voters);
    this.prefixCaches.reconcile(
      new Set([
        ...this.endpointList
          .all()
          .filter((endpoint) => enginePools.has(endpoint.pool))
          .map((endpoint) => endpoint.address),
        ...routingTable.stores.map((store) => store.address),
      ]),
      isAssigned,
    );
    if (!this.settings.detectsStaleEntries) return;
    const idsByAddress = new Map<string, Set<string>>();
    for (const { address, id } of this.endpointList.all())
      idsByAddress.set(address, (idsByAddress.get(address) ?? new Set()).add(id));
    for (const [address, ids] of idsByAddress) this.prefixCaches.updateReplicaIds(address, ids);
  };

  private readonly beforeMembershipCheck = async (): Promise<void> => {
    this.statePublisher.closeIdleConnections();
    this.reconcilePrefixCaches();
    if (this.acceptor.committedState() === null) return;
    await this.consensus.catchUp.fromNewestPeer();
  };

  private readonly hooks = (): ConsensusHooks => ({
    extraAddresses: () => [],
    isDown: () => true,
    wantedLeases: () => (this.acceptor.isVoter() ? [weightsLease] : []),
    leasesChanged: () => {},
    requiresSync: false,
    syncedFrom: () => [],
    beforeMembershipCheck: this.beforeMembershipCheck,
    sharedMembers: (entries) => entries.filter(({ hello }) => hello.role === 'control'),
    onOpen: (connection) => {
      if (connection.peer?.role !== 'control') return;
      connection.send('prefixCacheRelay', this.prefixCaches.followedSnapshot());
      connection.send('weightsAges', { weightsAges: this.targetWeightsAges.ages() } satisfies WeightsAgesMessage);
    },
    onClose: (connection) => this.statePublisher.unsubscribe(connection),
    onMessage: this.handleMessage,
    onCall: this.handleRequest,
  });

  /** Handles a message from an edge or another control node; malformed messages and unknown topics are ignored. */
  private readonly handleMessage = (connection: PeerConnection, topic: string, body: unknown): void => {
    switch (topic) {
      case 'subscribe':
        if (edgeMessages.isSubscription(body)) this.statePublisher.subscribe(connection, body);
        return;
      case 'ack':
        if (edgeMessages.isStatePosition(body)) this.statePublisher.handleAck(connection, body);
        return;
      case 'prefixCacheRelay':
        if (edgeMessages.isPrefixCacheUpdates(body)) this.prefixCaches.applyRelayed(body);
        return;
      case 'weightsAges':
        if (edgeMessages.isWeightsAges(body)) this.targetWeightsAges.mergeAges(body.weightsAges);
        return;
      case 'prefill':
        if (edgeMessages.isPrefillNotice(body)) this.prefillNotices.add(body);
        return;
      case 'prefillRelay':
        if (edgeMessages.isPrefillNotices(body)) this.statePublisher.sendToContentEdges('prefill', body);
        return;
      case 'cacheMiss':
        if (edgeMessages.isCacheMissReport(body)) this.handleCacheMiss(connection, body);
        return;
      case 'cacheMissRelay':
        if (edgeMessages.isCacheMissReport(body)) this.handleRelayedCacheMiss(body);
        return;
    }
  };

  private readonly handleCacheMiss = (connection: PeerConnection, report: CacheMissReport): void => {
    this.prefixCaches.handleCacheMiss(report);
    this.statePublisher.sendToOtherContentEdges(connection, 'cacheMiss', report);
    this.consensus.broadcast('cacheMissRelay', report);
  };

  private readonly handleRelayedCacheMiss = (report: CacheMissReport): void => {
    this.prefixCaches.handleCacheMiss(report);
    this.statePublisher.sendToContentEdges('cacheMiss', report);
  };

  /** Returns the reply to a request of an edge; null if the request is malformed or its topic unknown. */
  private readonly handleRequest = async (
    connection: PeerConnection,
    topic: string,
    body: unknown,
  ): Promise<unknown> => {
    if (topic === 'ping' && edgeMessages.isEdgePing(body))
      return this.statePublisher.handlePing(connection, body, this.consensus.majorityContactAgeMs());
    if (topic === 'state' && edgeMessages.isStatePosition(body)) return this.statePublisher.stateFor(body);
    return null;
  };

  /**
   * Returns the newest committed state, after committing what a majority had accepted; null if no majority confirmed it
   * within 700 ms.
   */
  readonly confirmedState = async (): Promise<CommittedState | null> => {
    const startedAt = this.ports.clock.now();
    const state = await this.proposer.linearizableRead(confirmTimeoutMs);
    if (state === null)
      this.ports.log.warn('read not confirmed by a majority', {
        logIndex: this.acceptor.committedState()?.logIndex ?? null,
        members: this.acceptor.committedState()?.members.length ?? 0,
        reachable: this.consensus.reachableVoters().length,
        pendingMs: this.acceptor.pendingForMs(),
        proposals: this.proposer.queueDepth(),
        afterMs: Math.round(this.ports.clock.now() - startedAt),
      });
    return state;
  };

  /** Whether this node can serve requests: it is not leaving the cluster, and reaches a majority of the members. */
  readonly isReady = (): boolean => !this.consensus.isLeaving() && this.consensus.reachesMajority();

  /** Returns the content of the status page as JSON values. Times in milliseconds. */
  readonly status = (): Record<string, unknown> => {
    const state = this.acceptor.committedState();
    return {
      name: this.settings.name,
      zone: this.settings.zone,
      incarnation: this.acceptor.incarnation,
      logIndex: state?.logIndex ?? null,
      configVersion: state?.routing?.configVersion ?? null,
      named: state?.targetWeights ?? {},
      members: state?.members ?? [],
      voter: this.acceptor.isVoter(),
      reachable: this.consensus.reachableVoters().length,
      edges: this.statePublisher.status(),
      leases: this.leaseManager.status(),
      weights: this.weightsRollout.status(),
      replicas: this.endpointList.all(),
      listAgeMs: this.endpointList.ageMs(),
      prefixCaches: this.prefixCaches.sizes(),
      stale: { isOn: this.settings.detectsStaleEntries, ...this.prefixCaches.staleEntryCounts() },
    };
  };

  /**
   * Hands over the voting membership by a committed membership change, releases the leases and notifies the other
   * nodes, within half of the drain time. To be called before `stop`.
   */
  readonly leave = (): Promise<void> => this.consensus.leave(this.settings.drainMs * handoverShare);

  /** Stops all work and closes the logs. Call `leave` first if the node should hand over its voting membership. */
  readonly stop = async (): Promise<void> => {
    this.consensus.pause();
    this.weightsTimer.stop();
    this.endpointList.stop();
    this.prefixCaches.stop();
    this.consensus.resign();
    this.consensus.close();
    await this.listener?.close();
    await this.acceptor.close();
    await this.leases.close();
  };
}

/** Starts control nodes from their logs. `seeds` are the addresses to connect to while no member is known. */
export const controlNodes = {
  start: async (
    settings: NodeSettings,
    ports: Ports,
    backendClient: BackendClient,
    seeds: readonly string[],
  ): Promise<Result<ControlNode, StartError>> => {
    const acceptor = await acceptors.open(ports.disk, ports.clock, ports.random, ports.log, settings.isFresh);
    if (acceptor.isErr()) return err(acceptor.error);
    const terms = controlNodeSettings.leaseTerms(acceptor.value, settings.orderGapMs);
    const leases = await leaseTables.open(ports.disk, ports.clock, ports.log, terms);
    if (leases.isErr()) return err(leases.error);
    const controlNode = new ControlNode(settings, ports, backendClient, acceptor.value, leases.value, terms, seeds);
    const opened = await controlNode.open();
    return opened.isErr() ? err(opened.error) : ok(controlNode);
  },
};
