/** A control node of the platform's edges: the consensus member with all that it publishes to edges. */
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
import type { ConsensusPace, ConsensusRole } from '../consensus/consensusOptions.js';
import { leaseTables } from '../consensus/leaseLog.js';
import type { PersistedLeases } from '../consensus/leaseLog.js';
import type { Proposer } from '../consensus/proposer.js';
import { PrefillNoticeRelay } from '../prefixcache/prefillNoticeRelay.js';
import { PrefixCacheFollower } from '../prefixcache/prefixCacheFollower.js';
import { ConfigService } from '../configuration/configService.js';
import { NamedWeights } from '../configuration/namedWeights.js';
import { StatePublisher } from '../configuration/statePublisher.js';
import { rendezvousHashing } from '../prefixcache/rendezvousHashing.js';
import { controlNodeSettings } from './controlNodeSettings.js';
import type { StartError } from '../errors.js';
import { edgeMessages } from '../messages/edgeMessages.js';
import { WeightsRollout } from '../weights/weightsRollout.js';

const handoverShare = 0.5;
const weightsStepMs = 60;
const { confirmTimeoutMs, weightsLease } = controlNodeSettings;

const consensusPace: ConsensusPace = {
  ...controlNodeSettings.consensusPace,
  dialPace: { timeoutMs: 700, maxBackoffMs: 400 },
};

/** Wires the parts of a control node together and dispatches the messages of edges and other control nodes. */
export class ControlNode {
  /** The nodes this one has heard of. */
  readonly memberList: MemberList;
  /** The held connections to other control nodes. */
  readonly peerPool: PeerPool;
  /** Gets changes committed. */
  readonly proposer: Proposer;
  /** Takes the operator's changes. */
  readonly configService: ConfigService;
  /** Sends edges the committed state and content. */
  readonly statePublisher: StatePublisher;
  /** The platform's list of replica endpoints. */
  readonly endpointList: EndpointListReader;
  /** What replicas and stores keep in their prefix caches. */
  readonly prefixCaches: PrefixCacheFollower;
  /** Relays notices of long prompts between edges. */
  readonly prefillNotices: PrefillNoticeRelay;
  /** The leases this node holds. */
  readonly leaseManager: LeaseManager;
  /** Loads new weights onto replicas while this node holds the lease for it. */
  readonly weightsRollout: WeightsRollout;
  private readonly consensus: ConsensusMember;
  private readonly namedWeights: NamedWeights;
  private readonly weightsStep: RepeatingTimer;
  private listener: Listener | null = null;

  constructor(
    /** The node's settings. */
    readonly settings: NodeSettings,
    /** Clock, network, disk, random numbers and log. */
    readonly ports: Ports,
    /** Calls on the platform and on replicas. */
    readonly backendClient: BackendClient,
    /** This node's vote and committed state. */
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
      { ports, hello, memberList, seeds, acceptor, leases, terms, coreSize: settings.voters },
      this.role(),
      consensusPace,
    );
    this.peerPool = this.consensus.peerPool;
    this.proposer = this.consensus.proposer;
    this.leaseManager = this.consensus.leaseManager;
    this.configService = new ConfigService(this.proposer);
    this.endpointList = this.createEndpointList();
    this.prefixCaches = this.createPrefixCaches();
    this.prefillNotices = new PrefillNoticeRelay(clock, (bundle) => {
      this.statePublisher.tellContent('prefill', bundle);
      this.consensus.tellPeers('prefillRelay', bundle);
    });
    this.namedWeights = new NamedWeights(clock);
    this.statePublisher = new StatePublisher(
      acceptor,
      clock,
      this.endpointList.ageMs,
      this.sendContent,
      this.namedWeights,
    );
    this.weightsRollout = this.createWeightsRollout();
    this.consensus.start();
    acceptor.watch(this.alignPrefixCaches);
    this.alignPrefixCaches();
    this.weightsStep = new RepeatingTimer(clock, () => weightsStepMs, this.weightsRollout.step);
  }

  private readonly createEndpointList = (): EndpointListReader => {
    const { settings, acceptor } = this;
    const { clock, random, log } = this.ports;
    const pace = {
      everyMs: settings.listIntervalMs,
      perSecond: settings.listPerSecond,
      readers: () => acceptor.agreed()?.members.length ?? settings.voters,
    };
    return new EndpointListReader(this.backendClient, clock, random, log, pace, (update) => {
      this.statePublisher.tellContent('endpoints', update);
      this.alignPrefixCaches();
    });
  };

  private readonly createPrefixCaches = (): PrefixCacheFollower => {
    const { clock, random, log } = this.ports;
    return new PrefixCacheFollower(
      this.backendClient,
      clock,
      random,
      log,
      (update) => this.statePublisher.tellContent('prefixCaches', update),
      (update) => this.consensus.tellPeers('prefixCacheRelay', update),
    );
  };

  private readonly createWeightsRollout = (): WeightsRollout => {
    const { clock, log } = this.ports;
    return new WeightsRollout(
      this.backendClient,
      clock,
      log,
      this.endpointList.all,
      this.wantedWeights,
      () => this.leaseManager.fencingTokenOf(weightsLease),
      () => this.settings.name,
      (update) => this.statePublisher.tellAll('weights', update),
      this.endpointList.holds,
    );
  };

  /** Sends an edge that now takes its content from this node the endpoint list and the prefix caches as a whole. */
  private readonly sendContent = (connection: PeerConnection): void => {
    if (this.endpointList.ageMs() !== null)
      connection.send('endpoints', { isWhole: true, put: this.endpointList.all(), gone: [] });
    connection.send('prefixCaches', this.prefixCaches.whole());
  };

  /** What this node says of itself when a connection opens. */
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

  /** Listens for peers; the error is that of the address. */
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

  private readonly wantedWeights = (): { pool: string; model: string; version: number }[] => {
    const state = this.acceptor.agreed();
    return (state?.routing?.table.pools ?? []).flatMap(({ name, engine }) =>
      (engine?.models ?? []).flatMap((model) => {
        const version = state?.targetWeights[model];
        return version === undefined ? [] : [{ pool: name, model, version }];
      }),
    );
  };

  private readonly alignPrefixCaches = (): void => {
    const routingTable = this.acceptor.agreed()?.routing?.table;
    if (routingTable === undefined) return;
    const engines = new Set(routingTable.pools.filter((pool) => pool.engine !== null).map((pool) => pool.name));
    const voters = this.consensus.reachableVoters();
    const isMine = (address: string): boolean =>
      rendezvousHashing.isAssigned(address, this.acceptor.incarnation, voters);
    this.prefixCaches.align(
      new Set([
        ...this.endpointList
          .all()
          .filter((endpoint) => engines.has(endpoint.pool))
          .map((endpoint) => endpoint.address),
        ...routingTable.stores.map((store) => store.address),
      ]),
      isMine,
    );
    if (!this.settings.detectsStaleEntries) return;
    const lives = new Map<string, Set<string>>();
    for (const { address, id } of this.endpointList.all())
      lives.set(address, (lives.get(address) ?? new Set()).add(id));
    for (const [address, ids] of lives) this.prefixCaches.lives(address, ids);
  };

  private readonly prepareUpkeep = async (): Promise<void> => {
    this.statePublisher.dropSilent();
    this.alignPrefixCaches();
    if (this.acceptor.agreed() === null) return;
    await this.consensus.catchUp.step();
  };

  private readonly role = (): ConsensusRole => ({
    extraAddresses: () => [],
    isDown: () => true,
    wantedLeases: () => (this.acceptor.isVoter() ? [weightsLease] : []),
    leasesChanged: () => {},
    needsCopies: false,
    syncedFrom: () => [],
    prepareUpkeep: this.prepareUpkeep,
    sharedMembers: (entries) => entries.filter(({ hello }) => hello.role === 'control'),
    onOpen: (connection) => {
      if (connection.peer?.role !== 'control') return;
      connection.send('prefixCacheRelay', this.prefixCaches.followed());
      connection.send('weightsAges', { weightsAges: this.namedWeights.ages() } satisfies WeightsAgesMessage);
    },
    onClose: (connection) => this.statePublisher.drop(connection),
    onMessage: this.takeMessage,
    onCall: this.answer,
  });

  /** Takes a message of an edge or another control node; one that is malformed or of an unknown topic is ignored. */
  private readonly takeMessage = (connection: PeerConnection, topic: string, body: unknown): void => {
    switch (topic) {
      case 'subscribe':
        if (edgeMessages.isSubscription(body)) this.statePublisher.subscribe(connection, body);
        return;
      case 'ack':
        if (edgeMessages.isStatePosition(body)) this.statePublisher.acked(connection, body);
        return;
      case 'prefixCacheRelay':
        if (edgeMessages.isPrefixCacheUpdates(body)) this.prefixCaches.takeRelayed(body);
        return;
      case 'weightsAges':
        if (edgeMessages.isWeightsAges(body)) this.namedWeights.take(body.weightsAges);
        return;
      case 'prefill':
        if (edgeMessages.isPrefillNotice(body)) this.prefillNotices.take(body);
        return;
      case 'prefillRelay':
        if (edgeMessages.isPrefillNotices(body)) this.statePublisher.tellContent('prefill', body);
        return;
      case 'cacheMiss':
        if (edgeMessages.isCacheMissReport(body)) this.takeCacheMiss(connection, body);
        return;
      case 'cacheMissRelay':
        if (edgeMessages.isCacheMissReport(body)) this.takeRelayedCacheMiss(body);
        return;
    }
  };

  private readonly takeCacheMiss = (connection: PeerConnection, report: CacheMissReport): void => {
    this.prefixCaches.missed(report);
    this.statePublisher.tellOthers(connection, 'cacheMiss', report);
    this.consensus.tellPeers('cacheMissRelay', report);
  };

  private readonly takeRelayedCacheMiss = (report: CacheMissReport): void => {
    this.prefixCaches.missed(report);
    this.statePublisher.tellContent('cacheMiss', report);
  };

  /** Answers an edge; null for a request that is malformed or of an unknown topic. */
  private readonly answer = async (connection: PeerConnection, topic: string, body: unknown): Promise<unknown> => {
    if (topic === 'ping' && edgeMessages.isEdgePing(body))
      return this.statePublisher.pong(connection, body, this.consensus.majorityHeardMs());
    if (topic === 'state' && edgeMessages.isStatePosition(body)) return this.statePublisher.stateFor(body);
    return null;
  };

  /** The newest committed state, after finishing what a majority had accepted; null where no majority replied in time. */
  readonly confirmed = async (): Promise<CommittedState | null> => {
    const askedAt = this.ports.clock.now();
    const state = await this.proposer.confirm(confirmTimeoutMs);
    if (state === null)
      this.ports.log.warn('read not confirmed by a majority', {
        logIndex: this.acceptor.agreed()?.logIndex ?? null,
        members: this.acceptor.agreed()?.members.length ?? 0,
        reachable: this.consensus.reachableVoters().length,
        pendingMs: this.acceptor.pendingForMs(),
        proposals: this.proposer.depth(),
        afterMs: Math.round(this.ports.clock.now() - askedAt),
      });
    return state;
  };

  /** Whether this node may take requests: it stays, and reaches a majority of the members. */
  readonly isReady = (): boolean => !this.consensus.isLeaving() && this.consensus.reachesMajority();

  /** The status page's content, as JSON values. Times in milliseconds. */
  readonly status = (): Record<string, unknown> => {
    const state = this.acceptor.agreed();
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
      stale: { isOn: this.settings.detectsStaleEntries, ...this.prefixCaches.stale() },
    };
  };

  /** Hands the seat over by agreement, gives up the leases and tells the others, within a share of the drain time; to be called before `stop`. */
  readonly leave = (): Promise<void> => this.consensus.leave(this.settings.drainMs * handoverShare);

  /** Ends all work and closes the logs; `leave` comes first where the node is to hand over its seat. */
  readonly stop = async (): Promise<void> => {
    this.consensus.pause();
    this.weightsStep.stop();
    this.endpointList.stop();
    this.prefixCaches.stop();
    this.consensus.resign();
    this.consensus.close();
    await this.listener?.close();
    await this.acceptor.close();
    await this.leases.close();
  };
}

/** Starts control nodes from their logs; `seeds` are addresses to dial before any member is known. */
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
