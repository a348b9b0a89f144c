import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { Repeating, agreed as agreedState } from '@martenworks/core-types';
import type {
  Agreed,
  Claimant,
  ClaimBallot,
  Listener,
  LoadReport,
  Member,
  NetFault,
  Ports,
  ReplicaRecord,
  SideClaim,
} from '@martenworks/core-types';
import type { Env } from '@martenworks/settings';
import type { WriteAheadLogFault } from '@martenworks/write-ahead-log';
import { peerConnections, hellos } from '@martenworks/peer-transport';
import type { PeerConnection, Handlers, Hello } from '@martenworks/peer-transport';
import type { ShelfCheckpoint } from '@martenworks/prefix-index';
import { Duties, Lines, Roster, Rounds, Verdicts } from '@martenworks/cluster-membership';
import type { LeaseAsk, LeaseReply, RosterEntry } from '@martenworks/cluster-membership';
import { acceptors } from './acceptor.js';
import type { Ballot, Acceptor, CompressedSettled, Since, Vote } from './acceptor.js';
import { CatchUp } from './catchUp.js';
import { compressedChanges } from './compressed.js';
import { claimTables } from './claims.js';
import type { ClaimTable } from './claims.js';
import { ChangeDesk } from './desk.js';
import { Founding } from './founding.js';
import type { Standing } from './founding.js';
import { KvDesk } from './kvDesk.js';
import type { RelayedKv } from './kvDesk.js';
import { leaseBooks } from './leases.js';
import type { KeptLeases } from './leases.js';
import { Membership } from './membership.js';
import { Proposer } from './proposer.js';
import type { Voters } from './proposer.js';
import { PushDesk } from './pushDesk.js';
import { ReplicaDesk } from './replicaDesk.js';
import { SideDesk } from './sideDesk.js';
import { replicaTables } from './replicaTable.js';
import type { ReplicaTable } from './replicaTable.js';

const votePatienceMs = 1_000;
const foundingMs = 200;
const upkeepMs = 500;
const settleAfterMs = 150;
const settleCheckMs = 100;
const beatMs = 500;
const trimMs = 5_000;
const dutyMs = 400;
const leasePatienceMs = 700;

const kvDuty = (replica: string): string => `kv/${replica}`;
const beatPatienceMs = 1_200;

export type StartFault = NetFault | WriteAheadLogFault;

export class Postmaster {
  readonly roster: Roster;
  readonly lines: Lines;
  readonly proposer: Proposer;
  readonly catchUp: CatchUp;
  readonly changes: ChangeDesk;
  readonly push: PushDesk;
  readonly replicas: ReplicaDesk;
  readonly sides: SideDesk;
  readonly kv: KvDesk;
  readonly duties: Duties;
  readonly rounds: Rounds;
  readonly verdicts: Verdicts;
  private readonly founding: Founding;
  private readonly membership: Membership;
  private readonly repeats: Repeating[] = [];
  private listener: Listener | null = null;
  private isStepping = false;
  private isMinding = false;

  constructor(
    readonly env: Env,
    readonly ports: Ports,
    readonly acceptor: Acceptor,
    readonly table: ReplicaTable,
    readonly claims: ClaimTable,
    private readonly leases: KeptLeases,
  ) {
    const { clock, random, log } = ports;
    this.roster = new Roster(clock, this.hello);
    this.verdicts = new Verdicts(clock);
    this.rounds = new Rounds(
      ports,
      this.hello,
      this.roster,
      () => this.lines,
      (suspects) => this.verdicts.report(env.name, suspects),
    );
    this.lines = new Lines(
      ports,
      this.hello,
      env.seeds,
      this.roster,
      () => [...(acceptor.agreed()?.members ?? []).map((member) => member.address), ...this.rounds.watcherAddresses()],
      this.handlers(),
    );
    this.catchUp = new CatchUp(acceptor, this.postmasters, clock, log);
    this.proposer = new Proposer(acceptor, this.voters(), clock, random, log);
    this.changes = new ChangeDesk(this.proposer);
    this.duties = new Duties(
      clock,
      () => acceptor.incarnation,
      () => this.reachableVoters(),
      () =>
        table
          .records()
          .filter((record) => record.state !== 'gone')
          .map((record) => kvDuty(record.name)),
      this.askLeases,
      (ask) => {
        this.leases.book.release(ask);
        this.tellPostmasters('leaseDrop', ask);
      },
      () => Math.floor((acceptor.agreed()?.members.length ?? 0) / 2) + 1,
      () => this.kv.align(table.records()),
    );
    this.kv = new KvDesk(
      ports,
      (news) => this.push.tellKv(news),
      (relayed) => this.tellPostmasters('kvRelay', relayed),
      (replica) => this.duties.fenceOf(kvDuty(replica)),
    );
    this.push = new PushDesk(acceptor, clock, table.records, this.kv.shelves);
    this.sides = new SideDesk(table, clock);
    this.replicas = new ReplicaDesk(table, claims, acceptor, () => this.lines);
    this.founding = new Founding(
      acceptor,
      this.hello,
      () => this.lines,
      () => this.roster.neighbours('postmaster'),
      this.catchUp.from,
      log,
    );
    this.membership = new Membership(acceptor, this.proposer, clock, () => this.lines, this.verdicts.isDown, log);
    table.watch((records) => {
      this.push.tellReplicas(records);
      this.kv.align(table.records());
    });
    this.kv.align(table.records());
    acceptor.watch(() => this.lines.align());
    this.repeats.push(
      new Repeating(clock, () => foundingMs * (0.5 + random.fraction()), this.stepFounding),
      new Repeating(clock, () => upkeepMs * (0.5 + random.fraction()), this.upkeep),
      new Repeating(clock, () => settleCheckMs * (0.5 + random.fraction()), this.settleRival),
      new Repeating(clock, () => beatMs, this.beat),
      new Repeating(
        clock,
        () => dutyMs * (0.9 + 0.2 * random.fraction()),
        () => void this.duties.tick(),
      ),
      new Repeating(
        clock,
        () => trimMs,
        () => void claims.trim(),
      ),
    );
  }

  readonly hello = (): Hello => hellos.of('postmaster', this.env, this.acceptor.incarnation);

  readonly open = async (): Promise<Result<void, NetFault>> => {
    const { net, clock, log } = this.ports;
    const opened = await peerConnections.listen(net, clock, log, this.hello, this.env.coachListen, this.handlers());
    if (opened.isErr()) return err(opened.error);
    this.listener = opened.value;
    return ok(undefined);
  };

  private readonly stepFounding = (): void => {
    if (this.isStepping || this.acceptor.agreed() !== null) return;
    this.isStepping = true;
    void this.founding.step().finally(() => (this.isStepping = false));
  };

  private readonly upkeep = (): void => {
    if (this.isMinding) return;
    this.isMinding = true;
    void this.mind().finally(() => (this.isMinding = false));
  };

  private readonly mind = async (): Promise<void> => {
    this.push.dropSilent();
    await this.syncFromPeers();
    await this.repairIndex();
    await this.membership.step();
  };

  private readonly syncFromPeers = async (): Promise<void> => {
    const state = this.acceptor.agreed();
    if (state === null) return;
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
    await this.catchUp.step();
  };

  private readonly settleRival = (): void => {
    const age = this.acceptor.unsettledFor();
    if (age !== null && age > settleAfterMs && this.proposer.depth() === 0) void this.proposer.finishRival();
  };

  private readonly beat = (): void => {
    for (const connection of this.lines.open()) {
      void connection.ask('beat', null, beatPatienceMs).then((receipt) => {
        if (receipt.isErr() && receipt.error.code === 'late') connection.close();
      });
    }
  };

  private readonly postmasters = (): PeerConnection[] =>
    this.lines.open().filter((connection) => connection.neighbour?.role === 'postmaster');

  private readonly tellPostmasters = (topic: string, body: unknown): void => {
    for (const connection of this.postmasters()) connection.tell(topic, body);
  };

  private readonly reachableVoters = (): string[] =>
    (this.acceptor.agreed()?.members ?? [])
      .map((member) => member.incarnation)
      .filter((incarnation) => incarnation === this.acceptor.incarnation || this.lines.to(incarnation) !== undefined);

  private readonly askLeases = async (ask: LeaseAsk): Promise<LeaseReply[]> => {
    const replies = await Promise.all(
      agreedState.distinctVoters(this.acceptor.agreed()).map(async (member): Promise<LeaseReply | null> => {
        if (member.incarnation === this.acceptor.incarnation) return this.leases.book.grant(ask);
        const receipt = await this.lines.to(member.incarnation)?.ask('leaseAsk', ask, leasePatienceMs);
        return receipt?.isOk() === true ? (receipt.value as LeaseReply | null) : null;
      }),
    );
    return replies.filter((reply) => reply !== null);
  };

  private readonly borrowShelves = async (connection: PeerConnection, names: readonly string[]): Promise<void> => {
    const told = await connection.ask('shelves', names, votePatienceMs);
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

  private readonly catchUpFrom = async (member: Member): Promise<Since | null> => {
    const connection = this.lines.to(member.incarnation);
    const isHeard = connection !== undefined && (await this.catchUp.ask(connection, votePatienceMs));
    return isHeard ? { k: 'nothing' } : null;
  };

  private readonly voters = (): Voters => {
    const isSelf = (member: Member): boolean => member.incarnation === this.acceptor.incarnation;
    const asked = async (member: Member, topic: string, body: unknown): Promise<unknown> => {
      const receipt = await this.lines.to(member.incarnation)?.ask(topic, body, votePatienceMs);
      return receipt?.isOk() === true ? receipt.value : null;
    };
    return {
      prepare: (member, slot, ballot) =>
        isSelf(member)
          ? this.acceptor.prepare(slot, ballot)
          : (asked(member, 'prepare', { slot, ballot }) as Promise<Vote | null>),
      accept: (member, slot, ballot, change) =>
        isSelf(member)
          ? this.acceptor.accept(slot, ballot, change)
          : (asked(member, 'accept', {
              slot,
              ballot,
              change: compressedChanges.encode(change),
            }) as Promise<Vote | null>),
      settle: (settled) => {
        this.tellPostmasters('settled', {
          generation: settled.generation,
          change: compressedChanges.encode(settled.change),
        } satisfies CompressedSettled);
      },
      since: (member, generation) =>
        isSelf(member) ? Promise.resolve(this.acceptor.since(generation)) : this.catchUpFrom(member),
      supply: async (member) => {
        const connection = this.lines.to(member.incarnation);
        if (connection !== undefined) await this.catchUp.supply(connection, votePatienceMs);
      },
    };
  };

  private readonly handlers = (): Handlers => ({
    joined: (connection) => {
      if (connection.neighbour !== null) this.roster.heard(connection.neighbour);
    },
    left: (connection) => {
      this.push.drop(connection);
      if (connection.neighbour !== null) this.replicas.syncedFrom.delete(connection.neighbour.incarnation);
    },
    told: (connection, topic, body) => {
      if (topic === 'settled') void this.catchUp.settle(connection, body as CompressedSettled);
      else if (topic === 'subscribe') this.push.subscribe(connection, body as number);
      else if (topic === 'ack') this.push.acked(connection, body as number);
      else if (topic === 'heavyNews') this.push.heavyNews(connection, body as LoadReport);
      else if (topic === 'heart') this.rounds.watch.heart(body as string);
      else if (topic === 'suspects') this.verdicts.report(connection.neighbour?.name ?? '', body as string[]);
      else if (topic === 'leaseDrop') this.leases.book.release(body as LeaseAsk);
      else if (topic === 'kvRelay') this.kv.takeRelayed(body as RelayedKv);
      else if (topic === 'shelvesPlease')
        for (const shelf of this.kv.shelves(body as string[])) connection.tell('shelf', shelf);
    },
    asked: async (connection, topic, body) => {
      if (connection.neighbour !== null) this.roster.heard(connection.neighbour);
      switch (topic) {
        case 'ping':
          return this.push.pong(connection, body as LoadReport);
        case 'beat':
          return true;
        case 'leaseAsk':
          return this.acceptor.isVoter() ? this.leases.book.grant(body as LeaseAsk) : null;
        case 'shelves':
          return this.kv.shelves(body as string[]);
        case 'roster':
          this.roster.merge(body as RosterEntry[]);
          return this.roster.entries();
        case 'standing':
          return this.standing();
        case 'vow':
          return this.acceptor.vow(body as Member[]);
        case 'prepare': {
          const { slot, ballot } = body as { slot: number; ballot: Ballot };
          return this.acceptor.prepare(slot, ballot);
        }
        case 'accept': {
          const { slot, ballot, change } = body as { slot: number; ballot: Ballot; change: Uint8Array };
          return this.acceptor.accept(slot, ballot, this.acceptor.changeOf(change));
        }
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
          return (await this.catchUp.answer(connection, topic, body)) ?? null;
      }
    },
  });

  private readonly standing = (): Standing => ({
    incarnation: this.acceptor.incarnation,
    generation: this.acceptor.agreed()?.generation ?? -1,
    isVoter: this.acceptor.isVoter(),
    vow: this.acceptor.vowHeld(),
    syncedFrom: [...this.replicas.syncedFrom],
  });

  readonly confirmed = async (): Promise<{ state: Agreed; isConfirmed: boolean } | null> => {
    const state = this.acceptor.agreed();
    if (state === null) return null;
    const others = agreedState
      .distinctVoters(state)
      .filter((member) => member.incarnation !== this.acceptor.incarnation);
    const told = await Promise.all(others.map((member) => this.voters().since(member, state.generation)));
    for (const since of told) if (since !== null) await this.proposer.learn(since);
    const heard = told.filter((since) => since !== null).length + (this.acceptor.isVoter() ? 1 : 0);
    return { state: this.acceptor.agreed() ?? state, isConfirmed: heard > state.members.length / 2 };
  };

  readonly reachable = (): number =>
    agreedState
      .distinctVoters(this.acceptor.agreed())
      .filter(
        (member) => member.incarnation === this.acceptor.incarnation || this.lines.to(member.incarnation) !== undefined,
      ).length;

  readonly isReady = (): boolean => {
    const state = this.acceptor.agreed();
    return state !== null && this.reachable() > state.members.length / 2;
  };

  readonly stop = async (): Promise<void> => {
    for (const repeat of this.repeats) repeat.stop();
    this.duties.resign();
    this.rounds.stop();
    this.kv.stop();
    this.lines.stop();
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
