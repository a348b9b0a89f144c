/** A control node for gateways: a consensus member with replica records, claims, prefix index and failure detection. */
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { background, RepeatingTimer } from '@martenworks/core-types';
import type { CommittedState, ClaimVote, Listener, NetworkError, Ports, ReplicaRecord } from '@martenworks/core-types';
import type { GatewaySettings } from '@martenworks/settings';
import { peerConnections, hellos } from '@martenworks/peer-transport';
import type { PeerConnection, Hello } from '@martenworks/peer-transport';
import { MemberList, FailureDetector, FailureVerdicts } from '@martenworks/cluster-membership';
import type { LeaseManager, PeerPool } from '@martenworks/cluster-membership';
import { acceptors } from '../consensus/acceptor.js';
import type { Acceptor } from '../consensus/acceptor.js';
import { claimTables } from '../endpoints/claimTable.js';
import type { ClaimTable } from '../endpoints/claimTable.js';
import { ConsensusMember } from '../consensus/consensusMember.js';
import type { ConsensusTiming, ConsensusHooks } from '../consensus/consensusOptions.js';
import { ChangeService } from '../configuration/changeService.js';
import { KvEventFollower } from '../prefixcache/kvEventFollower.js';
import { leaseTables } from '../consensus/leaseLog.js';
import type { PersistedLeases } from '../consensus/leaseLog.js';
import type { Proposer } from '../consensus/proposer.js';
import { GatewayPublisher } from '../configuration/gatewayPublisher.js';
import { ReplicaRegistry } from '../endpoints/replicaRegistry.js';
import { IsolationRegistry } from '../endpoints/isolationRegistry.js';
import { replicaTables } from '../endpoints/replicaTable.js';
import type { ReplicaTable } from '../endpoints/replicaTable.js';
import type { StartError } from '../errors.js';
import { messageChecks } from '../messages/messageChecks.js';
import { gatewayMessages } from '../messages/gatewayMessages.js';

const { isNumber, isText, isTexts } = messageChecks;
const snapshotTimeoutMs = 1_000;
const confirmTimeoutMs = 700;
const trimIntervalMs = 5_000;

const consensusTiming: ConsensusTiming = {
  voteTimeoutMs: 1_000,
  bootstrapIntervalMs: 200,
  membershipIntervalMs: 500,
  keepaliveIntervalMs: 500,
  keepaliveTimeoutMs: 1_200,
  leaseIntervalMs: 400,
  leaseTimeoutMs: 700,
};

const kvLease = (replica: string): string => `kv/${replica}`;

/** Connects the components of a gateway control node, and dispatches messages from gateways and other control nodes. */
export class GatewayControlNode {
  /** The nodes that this node knows of. */
  readonly memberList: MemberList;
  /** Connections to other nodes. */
  readonly peerPool: PeerPool;
  /** Proposes changes to the consensus group. */
  readonly proposer: Proposer;
  /** Proposes operators' changes. */
  readonly changeService: ChangeService;
  /** Sends the committed state and content to gateways. */
  readonly gatewayPublisher: GatewayPublisher;
  /** Replicates replica records to the other control nodes. */
  readonly replicaRegistry: ReplicaRegistry;
  /** Tracks which isolation sides each replica serves. */
  readonly isolationRegistry: IsolationRegistry;
  /** Follows the cache events of the replicas whose lease this node holds. */
  readonly kvEventFollower: KvEventFollower;
  /** The leases this node holds. */
  readonly leaseManager: LeaseManager;
  /** Monitors the nodes that the ring assigns to this one. */
  readonly failureDetector: FailureDetector;
  /** Decides which nodes count as down, by the reports of the nodes that monitor them. */
  readonly failureVerdicts: FailureVerdicts;
  private readonly consensus: ConsensusMember;
  private readonly trimTimer: RepeatingTimer;
  private listener: Listener | null = null;

  constructor(
    /** The node's settings. */
    readonly settings: GatewaySettings,
    /** Clock, network, disk, random numbers and log. */
    readonly ports: Ports,
    /** This node's votes and committed state. */
    readonly acceptor: Acceptor,
    /** The replica records. */
    readonly replicaTable: ReplicaTable,
    /** The claims on idempotency keys. */
    readonly claimTable: ClaimTable,
    private readonly leases: PersistedLeases,
  ) {
    const { clock } = ports;
    this.memberList = new MemberList(clock, this.hello);
    this.failureVerdicts = new FailureVerdicts(clock);
    this.failureDetector = new FailureDetector(
      ports,
      this.hello,
      this.memberList,
      () => this.peerPool,
      (suspects) => this.failureVerdicts.report(settings.name, suspects),
    );
    this.consensus = new ConsensusMember(
      { ports, hello: this.hello, memberList: this.memberList, seeds: settings.seeds, acceptor, leases },
      this.hooks(),
      consensusTiming,
    );
    this.peerPool = this.consensus.peerPool;
    this.proposer = this.consensus.proposer;
    this.leaseManager = this.consensus.leaseManager;
    this.changeService = new ChangeService(this.proposer);
    this.kvEventFollower = this.createKvEventFollower();
    this.gatewayPublisher = new GatewayPublisher(acceptor, clock, replicaTable.records, this.kvEventFollower.snapshots);
    this.isolationRegistry = new IsolationRegistry(replicaTable, clock);
    this.replicaRegistry = new ReplicaRegistry(replicaTable, claimTable, acceptor, () => this.peerPool);
    replicaTable.watch((records) => {
      this.gatewayPublisher.sendReplicas(records);
      this.kvEventFollower.reconcile(replicaTable.records());
    });
    this.kvEventFollower.reconcile(replicaTable.records());
    this.consensus.start();
    this.trimTimer = new RepeatingTimer(
      clock,
      () => trimIntervalMs,
      () => background.run('trim claims', claimTable.trim()),
    );
  }

  private readonly createKvEventFollower = (): KvEventFollower =>
    new KvEventFollower(
      this.ports,
      (events) => this.gatewayPublisher.sendCacheEvents(events),
      (relayed) => this.consensus.broadcast('kvRelay', relayed),
      (replica) => this.leaseManager.fencingTokenOf(kvLease(replica)),
    );

  /** Returns the handshake message that this node sends when a connection opens. */
  readonly hello = (): Hello => hellos.of('control', this.settings, this.acceptor.incarnation);

  /** Starts listening for peers; the error is that of binding the address. */
  readonly open = async (): Promise<Result<void, NetworkError>> => {
    const { net, clock, log } = this.ports;
    const opened = await peerConnections.listen(
      net,
      clock,
      log,
      this.hello,
      this.settings.peerListenAddress,
      this.consensus.handlers(),
    );
    if (opened.isErr()) return err(opened.error);
    this.listener = opened.value;
    return ok(undefined);
  };

  private readonly beforeMembershipCheck = async (): Promise<void> => {
    this.gatewayPublisher.closeIdleConnections();
    await this.catchUp();
    await this.repairIndex();
  };

  private readonly catchUp = async (): Promise<void> => {
    if (this.acceptor.committedState() === null) return;
    for (const connection of this.peerPool.openConnections()) {
      if (connection.peer?.role !== 'control') continue;
      const { incarnation } = connection.peer;
      if (!this.replicaRegistry.syncedFrom.has(incarnation)) {
        await this.replicaRegistry.reconcile(incarnation, this.peerPool);
        await this.fetchSnapshots(
          connection,
          this.replicaTable.records().map((record) => record.name),
        );
      }
    }
    await this.consensus.catchUp.fromNewestPeer();
  };

  private readonly fetchSnapshots = async (connection: PeerConnection, names: readonly string[]): Promise<void> => {
    const reply = await connection.call('prefixCaches', names, snapshotTimeoutMs);
    if (reply.isErr() || !gatewayMessages.isPrefixIndexSnapshots(reply.value)) return;
    this.gatewayPublisher.sendSnapshots(this.kvEventFollower.restoreSnapshots(reply.value));
  };

  private readonly repairIndex = async (): Promise<void> => {
    const names = this.kvEventFollower.replicasWithGaps();
    if (names.length === 0) return;
    for (const connection of this.peerPool.openConnections()) {
      if (connection.peer?.role !== 'control') continue;
      await this.fetchSnapshots(connection, names);
    }
  };

  private readonly hooks = (): ConsensusHooks => ({
    extraAddresses: () => this.failureDetector.watcherAddresses(),
    isDown: this.failureVerdicts.isDown,
    wantedLeases: () =>
      this.replicaTable
        .records()
        .filter((record) => record.state !== 'gone')
        .map((record) => kvLease(record.name)),
    leasesChanged: () => this.kvEventFollower.reconcile(this.replicaTable.records()),
    requiresSync: true,
    syncedFrom: () => [...this.replicaRegistry.syncedFrom],
    beforeMembershipCheck: this.beforeMembershipCheck,
    sharedMembers: (entries) => entries,
    onOpen: () => {},
    onClose: (connection) => {
      this.gatewayPublisher.unsubscribe(connection);
      if (connection.peer !== null) this.replicaRegistry.syncedFrom.delete(connection.peer.incarnation);
    },
    onMessage: this.handleMessage,
    onCall: this.handleRequest,
  });

  /** Handles a message from a gateway or another control node; malformed messages and unknown topics are ignored. */
  private readonly handleMessage = (connection: PeerConnection, topic: string, body: unknown): void => {
    switch (topic) {
      case 'subscribe':
        if (isNumber(body)) this.gatewayPublisher.subscribe(connection, body);
        return;
      case 'ack':
        if (isNumber(body)) this.gatewayPublisher.handleAck(connection, body);
        return;
      case 'longPrompts':
        if (gatewayMessages.isLoadReport(body)) this.gatewayPublisher.handleLongPrompts(connection, body);
        return;
      case 'heartbeat':
        if (isText(body)) this.failureDetector.heartbeatMonitor.recordHeartbeat(body);
        return;
      case 'suspects':
        if (isTexts(body)) this.failureVerdicts.report(connection.peer?.name ?? '', body);
        return;
      case 'kvRelay':
        if (gatewayMessages.isRelayedKvEvents(body)) this.kvEventFollower.applyRelayed(body);
        return;
      case 'indexSnapshotRequest':
        if (isTexts(body)) this.sendSnapshots(connection, body);
        return;
    }
  };

  private readonly sendSnapshots = (connection: PeerConnection, replicas: readonly string[]): void => {
    for (const snapshot of this.kvEventFollower.snapshots(replicas)) connection.send('indexSnapshot', snapshot);
  };

  /** Returns the reply to a gateway or another control node; null if the request is malformed or its topic unknown. */
  private readonly handleRequest = async (
    connection: PeerConnection,
    topic: string,
    body: unknown,
  ): Promise<unknown> => {
    switch (topic) {
      case 'ping':
        return gatewayMessages.isLoadReport(body) ? this.gatewayPublisher.handlePing(connection, body) : null;
      case 'prefixCaches':
        return isTexts(body) ? this.kvEventFollower.snapshots(body) : null;
      case 'replicaLook':
        return isTexts(body) ? this.replicaRegistry.lookUp(body) : null;
      case 'replicaNews':
        return gatewayMessages.isReplicaRecords(body) ? this.replicaRegistry.mergeRecords(body) : null;
      case 'replicaTable':
        return gatewayMessages.isReplicaRecords(body) ? this.exchangeRecords(body) : null;
      case 'claimPage':
        return isNumber(body) ? this.claimTable.page(body) : null;
      default:
        return this.acceptor.isVoter() ? this.handleVoterRequest(topic, body) : null;
    }
  };

  private readonly exchangeRecords = async (records: readonly ReplicaRecord[]): Promise<ReplicaRecord[]> => {
    await this.replicaRegistry.mergeRecords(records);
    return this.replicaTable.records();
  };

  /** Handles the requests that only a voter may answer. */
  private readonly handleVoterRequest = async (topic: string, body: unknown): Promise<unknown> => {
    switch (topic) {
      case 'admitSides':
        return gatewayMessages.isIsolationClaims(body) ? this.isolationRegistry.recordClaims(body) : null;
      case 'claimPrepare':
        return gatewayMessages.isClaimPrepare(body) ? this.claimTable.prepare(body.key, body.turn, body.ballot) : null;
      case 'claimAccept':
        return gatewayMessages.isClaimAccept(body)
          ? this.claimTable.accept(body.key, body.turn, body.ballot, body.claimant)
          : null;
      case 'claimRelease':
        return gatewayMessages.isClaimTurn(body) ? this.releaseClaim(body.key, body.turn) : null;
      default:
        return null;
    }
  };

  private readonly releaseClaim = async (key: string, turn: number): Promise<ClaimVote | null> => {
    if (!(await this.claimTable.release(key, turn))) return null;
    return { kind: 'state', isGranted: true, state: { turn: turn + 1, promised: null, accepted: null } };
  };

  /** Returns the newest committed state; null if no majority of voters confirmed it within 700 ms. */
  readonly confirmedState = (): Promise<CommittedState | null> => this.proposer.linearizableRead(confirmTimeoutMs);

  /** Returns the number of voters with an open connection, including this node if it is a voter. */
  readonly reachableVoterCount = (): number => this.consensus.reachableVoters().length;

  /** Whether this node can serve requests: it reaches a majority of the members. */
  readonly isReady = (): boolean => this.consensus.reachesMajority();

  /** Stops all work and closes the logs. */
  readonly stop = async (): Promise<void> => {
    this.consensus.pause();
    this.trimTimer.stop();
    this.consensus.resign();
    this.failureDetector.stop();
    this.kvEventFollower.stop();
    this.consensus.close();
    await this.listener?.close();
    await this.acceptor.close();
    await this.replicaTable.close();
    await this.claimTable.close();
    await this.leases.close();
  };
}

/** Starts gateway control nodes from their logs. */
export const gatewayControlNodes = {
  start: async (settings: GatewaySettings, ports: Ports): Promise<Result<GatewayControlNode, StartError>> => {
    const acceptor = await acceptors.open(ports.disk, ports.clock, ports.random, ports.log);
    if (acceptor.isErr()) return err(acceptor.error);
    const table = await replicaTables.open(ports.disk, ports.log);
    if (table.isErr()) return err(table.error);
    const claims = await claimTables.open(ports.disk, ports.clock, ports.log, settings.claimRetentionMs);
    if (claims.isErr()) return err(claims.error);
    const leases = await leaseTables.open(ports.disk, ports.clock, ports.log);
    if (leases.isErr()) return err(leases.error);
    const controlNode = new GatewayControlNode(
      settings,
      ports,
      acceptor.value,
      table.value,
      claims.value,
      leases.value,
    );
    const opened = await controlNode.open();
    return opened.isErr() ? err(opened.error) : ok(controlNode);
  },
};
