import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { background, Repeating } from '@martenworks/core-types';
import type {
  Agreed,
  Claimant,
  ClaimBallot,
  Listener,
  LoadReport,
  NetFault,
  Ports,
  ReplicaRecord,
  SideClaim,
} from '@martenworks/core-types';
import type { Env } from '@martenworks/settings';
import type { WriteAheadLogFault } from '@martenworks/write-ahead-log';
import { peerConnections, hellos } from '@martenworks/peer-transport';
import type { PeerConnection, Hello } from '@martenworks/peer-transport';
import type { ShelfCheckpoint } from '@martenworks/prefix-index';
import { Roster, Rounds, Verdicts } from '@martenworks/cluster-membership';
import type { Duties, Lines } from '@martenworks/cluster-membership';
import { acceptors } from './acceptor.js';
import type { Acceptor } from './acceptor.js';
import { claimTables } from './claims.js';
import type { ClaimTable } from './claims.js';
import { ConsensusMember } from './consensusMember.js';
import type { ConsensusPace, ConsensusRole } from './consensusMember.js';
import { ChangeDesk } from './desk.js';
import { KvDesk } from './kvDesk.js';
import type { RelayedKv } from './kvDesk.js';
import { leaseBooks } from './leases.js';
import type { KeptLeases } from './leases.js';
import type { Proposer } from './proposer.js';
import { PushDesk } from './pushDesk.js';
import { ReplicaDesk } from './replicaDesk.js';
import { SideDesk } from './sideDesk.js';
import { replicaTables } from './replicaTable.js';
import type { ReplicaTable } from './replicaTable.js';

const shelvesPatienceMs = 1_000;
const confirmPatienceMs = 700;
const trimMs = 5_000;

const consensusPace: ConsensusPace = {
  votePatienceMs: 1_000,
  foundingMs: 200,
  upkeepMs: 500,
  beatMs: 500,
  beatPatienceMs: 1_200,
  dutyMs: 400,
  leasePatienceMs: 700,
};

const kvDuty = (replica: string): string => `kv/${replica}`;

export type StartFault = NetFault | WriteAheadLogFault;

export class Postmaster {
  readonly roster: Roster;
  readonly lines: Lines;
  readonly proposer: Proposer;
  readonly changes: ChangeDesk;
  readonly push: PushDesk;
  readonly replicas: ReplicaDesk;
  readonly sides: SideDesk;
  readonly kv: KvDesk;
  readonly duties: Duties;
  readonly rounds: Rounds;
  readonly verdicts: Verdicts;
  private readonly consensus: ConsensusMember;
  private readonly trimStep: Repeating;
  private listener: Listener | null = null;

  constructor(
    readonly env: Env,
    readonly ports: Ports,
    readonly acceptor: Acceptor,
    readonly table: ReplicaTable,
    readonly claims: ClaimTable,
    private readonly leases: KeptLeases,
  ) {
    const { clock } = ports;
    this.roster = new Roster(clock, this.hello);
    this.verdicts = new Verdicts(clock);
    this.rounds = new Rounds(
      ports,
      this.hello,
      this.roster,
      () => this.lines,
      (suspects) => this.verdicts.report(env.name, suspects),
    );
    this.consensus = new ConsensusMember(
      { ports, hello: this.hello, roster: this.roster, seeds: env.seeds, acceptor, leases },
      this.role(),
      consensusPace,
    );
    this.lines = this.consensus.lines;
    this.proposer = this.consensus.proposer;
    this.duties = this.consensus.duties;
    this.changes = new ChangeDesk(this.proposer);
    this.kv = new KvDesk(
      ports,
      (news) => this.push.tellKv(news),
      (relayed) => this.consensus.tellPeers('kvRelay', relayed),
      (replica) => this.duties.fenceOf(kvDuty(replica)),
    );
    this.push = new PushDesk(acceptor, clock, table.records, this.kv.shelves);
    this.sides = new SideDesk(table, clock);
    this.replicas = new ReplicaDesk(table, claims, acceptor, () => this.lines);
    table.watch((records) => {
      this.push.tellReplicas(records);
      this.kv.align(table.records());
    });
    this.kv.align(table.records());
    this.consensus.start();
    this.trimStep = new Repeating(
      clock,
      () => trimMs,
      () => background.run('trim claims', claims.trim()),
    );
  }

  readonly hello = (): Hello => hellos.of('postmaster', this.env, this.acceptor.incarnation);

  readonly open = async (): Promise<Result<void, NetFault>> => {
    const { net, clock, log } = this.ports;
    const opened = await peerConnections.listen(
      net,
      clock,
      log,
      this.hello,
      this.env.coachListen,
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
    for (const connection of this.lines.open()) {
      if (connection.neighbour?.role !== 'postmaster') continue;
      const { incarnation } = connection.neighbour;
      if (!this.replicas.syncedFrom.has(incarnation)) {
        await this.replicas.reconcile(incarnation, this.lines);
        await this.borrowShelves(
          connection,
          this.table.records().map((record) => record.name),
        );
      }
    }
    await this.consensus.catchUp.step();
  };

  private readonly borrowShelves = async (connection: PeerConnection, names: readonly string[]): Promise<void> => {
    const told = await connection.ask('shelves', names, shelvesPatienceMs);
    if (told.isOk()) this.push.tellShelves(this.kv.takeShelves(told.value as ShelfCheckpoint[]));
  };

  private readonly repairIndex = async (): Promise<void> => {
    const broken = this.kv.broken();
    if (broken.length === 0) return;
    for (const connection of this.lines.open()) {
      if (connection.neighbour?.role !== 'postmaster') continue;
      await this.borrowShelves(connection, broken);
    }
  };

  private readonly role = (): ConsensusRole => ({
    extraAddresses: () => this.rounds.watcherAddresses(),
    isDown: this.verdicts.isDown,
    wantedDuties: () =>
      this.table
        .records()
        .filter((record) => record.state !== 'gone')
        .map((record) => kvDuty(record.name)),
    dutiesChanged: () => this.kv.align(this.table.records()),
    needsCopies: true,
    syncedFrom: () => [...this.replicas.syncedFrom],
    prepareUpkeep: this.prepareUpkeep,
    sharedRoster: (entries) => entries,
    joined: () => {},
    left: (connection) => {
      this.push.drop(connection);
      if (connection.neighbour !== null) this.replicas.syncedFrom.delete(connection.neighbour.incarnation);
    },
    told: (connection, topic, body) => {
      if (topic === 'subscribe') this.push.subscribe(connection, body as number);
      else if (topic === 'ack') this.push.acked(connection, body as number);
      else if (topic === 'heavyNews') this.push.heavyNews(connection, body as LoadReport);
      else if (topic === 'heart') this.rounds.watch.heart(body as string);
      else if (topic === 'suspects') this.verdicts.report(connection.neighbour?.name ?? '', body as string[]);
      else if (topic === 'kvRelay') this.kv.takeRelayed(body as RelayedKv);
      else if (topic === 'shelvesPlease')
        for (const shelf of this.kv.shelves(body as string[])) connection.tell('shelf', shelf);
    },
    asked: async (connection, topic, body) => {
      switch (topic) {
        case 'ping':
          return this.push.pong(connection, body as LoadReport);
        case 'shelves':
          return this.kv.shelves(body as string[]);
        case 'admitSides':
          return this.acceptor.isVoter() ? this.sides.admit(body as SideClaim[]) : null;
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
            ? { k: 'state', isGranted: true, state: { turn: turn + 1, promised: null, accepted: null } }
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
  readonly confirmed = (): Promise<Agreed | null> => this.proposer.confirm(confirmPatienceMs);

  readonly reachable = (): number => this.consensus.reachableVoters().length;

  readonly isReady = (): boolean => {
    const state = this.acceptor.agreed();
    return state !== null && this.reachable() > state.members.length / 2;
  };

  readonly stop = async (): Promise<void> => {
    this.consensus.pause();
    this.trimStep.stop();
    this.consensus.resign();
    this.rounds.stop();
    this.kv.stop();
    this.consensus.close();
    await this.listener?.close();
    await this.acceptor.close();
    await this.table.close();
    await this.claims.close();
    await this.leases.close();
  };
}

export const postmasters = {
  start: async (env: Env, ports: Ports): Promise<Result<Postmaster, StartFault>> => {
    const acceptor = await acceptors.open(ports.disk, ports.clock, ports.random, ports.log);
    if (acceptor.isErr()) return err(acceptor.error);
    const table = await replicaTables.open(ports.disk, ports.log);
    if (table.isErr()) return err(table.error);
    const claims = await claimTables.open(ports.disk, ports.clock, ports.log, env.claimRetentionMs);
    if (claims.isErr()) return err(claims.error);
    const leases = await leaseBooks.open(ports.disk, ports.clock, ports.log);
    if (leases.isErr()) return err(leases.error);
    const postmaster = new Postmaster(env, ports, acceptor.value, table.value, claims.value, leases.value);
    const opened = await postmaster.open();
    return opened.isErr() ? err(opened.error) : ok(postmaster);
  },
};
