/**
 * A control node of gateways: the consensus member with replica records, claims, prefix indexes and failure detection.
 */
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
import { claimTables } from '../endpoints/claims.js';
import type { ClaimTable } from '../endpoints/claims.js';
import { ConsensusMember } from '../consensus/consensusMember.js';
import type { ConsensusPace, ConsensusRole } from '../consensus/consensusOptions.js';
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
const trimMs = 5_000;

const consensusPace: ConsensusPace = {
  voteTimeoutMs: 1_000,
  foundingMs: 200,
  upkeepMs: 500,
  keepaliveIntervalMs: 500,
  keepaliveTimeoutMs: 1_200,
  leaseIntervalMs: 400,
  leaseTimeoutMs: 700,
};

const kvLease = (replica: string): string => `kv/${replica}`;

/**
 * Wires the parts of a gateway control node together and dispatches the messages of gateways and other control nodes.
 */
export class GatewayControlNode {
  /** The nodes this one has heard of. */
  readonly memberList: MemberList;
  /** The held connections to other nodes. */
  readonly peerPool: PeerPool;
  /** Gets changes committed. */
  readonly proposer: Proposer;
  /** Takes the operators' changes. */
  readonly changes: ChangeService;
  /** Sends gateways the committed state and content. */
  readonly push: GatewayPublisher;
  /** Agrees on replica records with the other control nodes. */
  readonly replicas: ReplicaRegistry;
  /** Which isolation sides each replica serves. */
  readonly sides: IsolationRegistry;
  /** Follows the cache events of the replicas whose lease this node holds. */
  readonly kv: KvEventFollower;
  /** The leases this node holds. */
  readonly leaseManager: LeaseManager;
  /** Watches the nodes that the ring assigns to this one. */
  readonly failureDetector: FailureDetector;
  /** Which nodes count as down, by the reports of those that watch them. */
  readonly verdicts: FailureVerdicts;
  private readonly consensus: ConsensusMember;
  private readonly trimStep: RepeatingTimer;
  private listener: Listener | null = null;

  constructor(
    /** The node's settings. */
    readonly settings: GatewaySettings,
    /** Clock, network, disk, random numbers and log. */
    readonly ports: Ports,
    /** This node's vote and committed state. */
    readonly acceptor: Acceptor,
    /** The replica records. */
    readonly table: ReplicaTable,
    /** The claims on idempotency keys. */
    readonly claims: ClaimTable,
    private readonly leases: PersistedLeases,
  ) {
    const { clock } = ports;
    this.memberList = new MemberList(clock, this.hello);
    this.verdicts = new FailureVerdicts(clock);
    this.failureDetector = new FailureDetector(
      ports,
      this.hello,
      this.memberList,
      () => this.peerPool,
      (suspects) => this.verdicts.report(settings.name, suspects),
    );
    this.consensus = new ConsensusMember(
      { ports, hello: this.hello, memberList: this.memberList, seeds: settings.seeds, acceptor, leases },
      this.role(),
      consensusPace,
    );
    this.peerPool = this.consensus.peerPool;
    this.proposer = this.consensus.proposer;
    this.leaseManager = this.consensus.leaseManager;
    this.changes = new ChangeService(this.proposer);
    this.kv = this.createKvEventFollower();
    this.push = new GatewayPublisher(acceptor, clock, table.records, this.kv.snapshots);
    this.sides = new IsolationRegistry(table, clock);
    this.replicas = new ReplicaRegistry(table, claims, acceptor, () => this.peerPool);
    table.watch((records) => {
      this.push.tellReplicas(records);
      this.kv.align(table.records());
    });
    this.kv.align(table.records());
    this.consensus.start();
    this.trimStep = new RepeatingTimer(
      clock,
      () => trimMs,
      () => background.run('trim claims', claims.trim()),
    );
  }

  private readonly createKvEventFollower = (): KvEventFollower =>
    new KvEventFollower(
      this.ports,
      (update) => this.push.tellKv(update),
      (relayed) => this.consensus.tellPeers('kvRelay', relayed),
      (replica) => this.leaseManager.fencingTokenOf(kvLease(replica)),
    );

  /** What this node says of itself when a connection opens. */
  readonly hello = (): Hello => hellos.of('control', this.settings, this.acceptor.incarnation);

  /** Listens for peers; the error is that of the address. */
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

  private readonly prepareUpkeep = async (): Promise<void> => {
    this.push.dropSilent();
    await this.catchUp();
    await this.repairIndex();
  };

  private readonly catchUp = async (): Promise<void> => {
    if (this.acceptor.agreed() === null) return;
    for (const connection of this.peerPool.openConnections()) {
      if (connection.peer?.role !== 'control') continue;
      const { incarnation } = connection.peer;
      if (!this.replicas.syncedFrom.has(incarnation)) {
        await this.replicas.reconcile(incarnation, this.peerPool);
        await this.borrowSnapshots(
          connection,
          this.table.records().map((record) => record.name),
        );
      }
    }
    await this.consensus.catchUp.step();
  };

  private readonly borrowSnapshots = async (connection: PeerConnection, names: readonly string[]): Promise<void> => {
    const reply = await connection.call('prefixCaches', names, snapshotTimeoutMs);
    if (reply.isErr() || !gatewayMessages.isPrefixIndexSnapshots(reply.value)) return;
    this.push.tellSnapshots(this.kv.takeSnapshots(reply.value));
  };

  private readonly repairIndex = async (): Promise<void> => {
    const broken = this.kv.broken();
    if (broken.length === 0) return;
    for (const connection of this.peerPool.openConnections()) {
      if (connection.peer?.role !== 'control') continue;
      await this.borrowSnapshots(connection, broken);
    }
  };

  private readonly role = (): ConsensusRole => ({
    extraAddresses: () => this.failureDetector.watcherAddresses(),
    isDown: this.verdicts.isDown,
    wantedLeases: () =>
      this.table
        .records()
        .filter((record) => record.state !== 'gone')
        .map((record) => kvLease(record.name)),
    leasesChanged: () => this.kv.align(this.table.records()),
    needsCopies: true,
    syncedFrom: () => [...this.replicas.syncedFrom],
    prepareUpkeep: this.prepareUpkeep,
    sharedMembers: (entries) => entries,
    onOpen: () => {},
    onClose: (connection) => {
      this.push.drop(connection);
      if (connection.peer !== null) this.replicas.syncedFrom.delete(connection.peer.incarnation);
    },
    onMessage: this.takeMessage,
    onCall: this.answer,
  });

  /** Takes a message of a gateway or another control node; one that is malformed or of an unknown topic is ignored. */
  private readonly takeMessage = (connection: PeerConnection, topic: string, body: unknown): void => {
    switch (topic) {
      case 'subscribe':
        if (isNumber(body)) this.push.subscribe(connection, body);
        return;
      case 'ack':
        if (isNumber(body)) this.push.acked(connection, body);
        return;
      case 'longPrompts':
        if (gatewayMessages.isLoadReport(body)) this.push.longPrompts(connection, body);
        return;
      case 'heartbeat':
        if (isText(body)) this.failureDetector.heartbeatMonitor.recordHeartbeat(body);
        return;
      case 'suspects':
        if (isTexts(body)) this.verdicts.report(connection.peer?.name ?? '', body);
        return;
      case 'kvRelay':
        if (gatewayMessages.isRelayedKvEvents(body)) this.kv.takeRelayed(body);
        return;
      case 'indexSnapshotRequest':
        if (isTexts(body)) this.sendSnapshots(connection, body);
        return;
    }
  };

  private readonly sendSnapshots = (connection: PeerConnection, replicas: readonly string[]): void => {
    for (const snapshot of this.kv.snapshots(replicas)) connection.send('indexSnapshot', snapshot);
  };

  /** Answers a gateway or another control node; null for a request that is malformed or of an unknown topic. */
  private readonly answer = async (connection: PeerConnection, topic: string, body: unknown): Promise<unknown> => {
    switch (topic) {
      case 'ping':
        return gatewayMessages.isLoadReport(body) ? this.push.pong(connection, body) : null;
      case 'prefixCaches':
        return isTexts(body) ? this.kv.snapshots(body) : null;
      case 'replicaLook':
        return isTexts(body) ? this.replicas.look(body) : null;
      case 'replicaNews':
        return gatewayMessages.isReplicaRecords(body) ? this.replicas.takeRecords(body) : null;
      case 'replicaTable':
        return gatewayMessages.isReplicaRecords(body) ? this.exchangeRecords(body) : null;
      case 'claimPage':
        return isNumber(body) ? this.claims.page(body) : null;
      default:
        return this.acceptor.isVoter() ? this.answerAsVoter(topic, body) : null;
    }
  };

  private readonly exchangeRecords = async (records: readonly ReplicaRecord[]): Promise<ReplicaRecord[]> => {
    await this.replicas.takeRecords(records);
    return this.table.records();
  };

  /** Answers the requests that only a voter may answer. */
  private readonly answerAsVoter = async (topic: string, body: unknown): Promise<unknown> => {
    switch (topic) {
      case 'admitSides':
        return gatewayMessages.isIsolationClaims(body) ? this.sides.admit(body) : null;
      case 'claimPrepare':
        return gatewayMessages.isClaimPrepare(body) ? this.claims.prepare(body.key, body.turn, body.ballot) : null;
      case 'claimAccept':
        return gatewayMessages.isClaimAccept(body)
          ? this.claims.accept(body.key, body.turn, body.ballot, body.claimant)
          : null;
      case 'claimRelease':
        return gatewayMessages.isClaimTurn(body) ? this.releaseClaim(body.key, body.turn) : null;
      default:
        return null;
    }
  };

  private readonly releaseClaim = async (key: string, turn: number): Promise<ClaimVote | null> => {
    if (!(await this.claims.release(key, turn))) return null;
    return { kind: 'state', isGranted: true, state: { turn: turn + 1, promised: null, accepted: null } };
  };

  /** The newest committed state, or null where no majority of voters confirmed it within 700 ms. */
  readonly confirmed = (): Promise<CommittedState | null> => this.proposer.confirm(confirmTimeoutMs);

  /** Number of voters with an open connection, this node counted if it is one. */
  readonly reachable = (): number => this.consensus.reachableVoters().length;

  /** Whether this node may take requests: it reaches a majority of the members. */
  readonly isReady = (): boolean => this.consensus.reachesMajority();

  /** Ends all work and closes the logs. */
  readonly stop = async (): Promise<void> => {
    this.consensus.pause();
    this.trimStep.stop();
    this.consensus.resign();
    this.failureDetector.stop();
    this.kv.stop();
    this.consensus.close();
    await this.listener?.close();
    await this.acceptor.close();
    await this.table.close();
    await this.claims.close();
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
