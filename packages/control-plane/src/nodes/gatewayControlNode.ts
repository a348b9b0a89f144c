import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { background, RepeatingTimer } from '@martenworks/core-types';
import type {
  CommittedState,
  Claimant,
  ClaimBallot,
  Listener,
  LoadReport,
  NetworkError,
  Ports,
  ReplicaRecord,
  IsolationClaim,
} from '@martenworks/core-types';
import type { GatewaySettings } from '@martenworks/settings';
import type { WriteAheadLogError } from '@martenworks/write-ahead-log';
import { peerConnections, hellos } from '@martenworks/peer-transport';
import type { PeerConnection, Hello } from '@martenworks/peer-transport';
import type { PrefixIndexSnapshot } from '@martenworks/prefix-index';
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
import type { RelayedKvEvents } from '../prefixcache/kvEventFollower.js';
import { leaseTables } from '../consensus/leaseLog.js';
import type { PersistedLeases } from '../consensus/leaseLog.js';
import type { Proposer } from '../consensus/proposer.js';
import { GatewayPublisher } from '../configuration/gatewayPublisher.js';
import { ReplicaRegistry } from '../endpoints/replicaRegistry.js';
import { IsolationRegistry } from '../endpoints/isolationRegistry.js';
import { replicaTables } from '../endpoints/replicaTable.js';
import type { ReplicaTable } from '../endpoints/replicaTable.js';

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

const kvDuty = (replica: string): string => `kv/${replica}`;

export type StartFault = NetworkError | WriteAheadLogError;

export class GatewayControlNode {
  readonly memberList: MemberList;
  readonly peerPool: PeerPool;
  readonly proposer: Proposer;
  readonly changes: ChangeService;
  readonly push: GatewayPublisher;
  readonly replicas: ReplicaRegistry;
  readonly sides: IsolationRegistry;
  readonly kv: KvEventFollower;
  readonly leaseManager: LeaseManager;
  readonly failureDetector: FailureDetector;
  readonly verdicts: FailureVerdicts;
  private readonly consensus: ConsensusMember;
  private readonly trimStep: RepeatingTimer;
  private listener: Listener | null = null;

  constructor(
    readonly settings: GatewaySettings,
    readonly ports: Ports,
    readonly acceptor: Acceptor,
    readonly table: ReplicaTable,
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
    this.kv = new KvEventFollower(
      ports,
      (update) => this.push.tellKv(update),
      (relayed) => this.consensus.tellPeers('kvRelay', relayed),
      (replica) => this.leaseManager.fenceOf(kvDuty(replica)),
    );
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

  readonly hello = (): Hello => hellos.of('control', this.settings, this.acceptor.incarnation);

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
    for (const connection of this.peerPool.open()) {
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
    const told = await connection.ask('prefixCaches', names, snapshotTimeoutMs);
    if (told.isOk()) this.push.tellSnapshots(this.kv.takeSnapshots(told.value as PrefixIndexSnapshot[]));
  };

  private readonly repairIndex = async (): Promise<void> => {
    const broken = this.kv.broken();
    if (broken.length === 0) return;
    for (const connection of this.peerPool.open()) {
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
        .map((record) => kvDuty(record.name)),
    leasesChanged: () => this.kv.align(this.table.records()),
    needsCopies: true,
    syncedFrom: () => [...this.replicas.syncedFrom],
    prepareUpkeep: this.prepareUpkeep,
    sharedMembers: (entries) => entries,
    joined: () => {},
    left: (connection) => {
      this.push.drop(connection);
      if (connection.peer !== null) this.replicas.syncedFrom.delete(connection.peer.incarnation);
    },
    told: (connection, topic, body) => {
      if (topic === 'subscribe') this.push.subscribe(connection, body as number);
      else if (topic === 'ack') this.push.acked(connection, body as number);
      else if (topic === 'longPrompts') this.push.longPrompts(connection, body as LoadReport);
      else if (topic === 'heartbeat') this.failureDetector.watch.heartbeatFrom(body as string);
      else if (topic === 'suspects') this.verdicts.report(connection.peer?.name ?? '', body as string[]);
      else if (topic === 'kvRelay') this.kv.takeRelayed(body as RelayedKvEvents);
      else if (topic === 'indexSnapshotRequest')
        for (const snapshot of this.kv.snapshots(body as string[])) connection.tell('indexSnapshot', snapshot);
    },
    asked: async (connection, topic, body) => {
      switch (topic) {
        case 'ping':
          return this.push.pong(connection, body as LoadReport);
        case 'prefixCaches':
          return this.kv.snapshots(body as string[]);
        case 'admitSides':
          return this.acceptor.isVoter() ? this.sides.admit(body as IsolationClaim[]) : null;
        case 'replicaLook':
          return this.replicas.look(body as string[]);
        case 'replicaNews':
          return this.replicas.takeNews(body as ReplicaRecord[]);
        case 'claimPrepare': {
          const { key, turn, ballot } = body as { key: string; turn: number; ballot: ClaimBallot };
          return this.acceptor.isVoter() ? this.claims.prepare(key, turn, ballot) : null;
        }
        case 'claimAccept': {
          const { key, turn, ballot, claimant } = body as {
            key: string;
            turn: number;
            ballot: ClaimBallot;
            claimant: Claimant;
          };
          return this.acceptor.isVoter() ? this.claims.accept(key, turn, ballot, claimant) : null;
        }
        case 'claimRelease': {
          const { key, turn } = body as { key: string; turn: number };
          const isKept = this.acceptor.isVoter() && (await this.claims.release(key, turn));
          return isKept
            ? { kind: 'state', isGranted: true, state: { turn: turn + 1, promised: null, accepted: null } }
            : null;
        }
        case 'claimPage':
          return this.claims.page(body as number);
        case 'replicaTable':
          await this.replicas.takeNews(body as ReplicaRecord[]);
          return this.table.records();
        default:
          return null;
      }
    },
  });

  /** The newest agreed state, or null where no majority of voters confirmed it within `confirmPatienceMs`. */
  readonly confirmed = (): Promise<CommittedState | null> => this.proposer.confirm(confirmTimeoutMs);

  readonly reachable = (): number => this.consensus.reachableVoters().length;

  /** Whether this node may take requests: it reaches a majority of the members. */
  readonly isReady = (): boolean => this.consensus.reachesMajority();

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

export const gatewayControlNodes = {
  start: async (settings: GatewaySettings, ports: Ports): Promise<Result<GatewayControlNode, StartFault>> => {
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
