import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { background, Repeating, pause } from '@martenworks/core-types';
import type {
  Agreed,
  Change,
  KvNews,
  Listener,
  LoadReport,
  Loads,
  NetFault,
  Pong,
  Ports,
  ReplicaRecord,
  SideClaim,
  SideStanding,
} from '@martenworks/core-types';
import type { Env } from '@martenworks/settings';
import { peerConnections, hellos } from '@martenworks/peer-transport';
import type { PeerConnection, Handlers, Hello } from '@martenworks/peer-transport';
import type { ShelfCheckpoint } from '@martenworks/prefix-index';
import { Lines, Roster, Rounds } from '@martenworks/cluster-membership';
import type { RosterEntry } from '@martenworks/cluster-membership';
import { Book } from './book.js';
import { Claims } from './claims.js';
import { Freshness } from './freshness.js';
import { Parcel } from './parcel.js';
import type { Order, Receipt } from './parcel.js';
import { Stages } from './stages.js';
import { Tally } from './tally.js';
import { Tracks } from './tracks.js';

const pingMs = 250;
const pingPatienceMs = 2_000;
const admitPatienceMs = 1_000;

export class Counter {
  readonly incarnation: string;
  readonly roster: Roster;
  readonly lines: Lines;
  readonly rounds: Rounds;
  readonly book: Book;
  readonly freshness: Freshness;
  readonly tracks: Tracks;
  readonly tally = new Tally();
  readonly claims: Claims;
  readonly stages: Stages;
  private readonly pinger: Repeating;
  private readonly pinged = new Set<PeerConnection>();
  private listener: Listener | null = null;
  private isAdmitting = false;

  constructor(
    readonly env: Env,
    readonly ports: Ports,
  ) {
    const { clock, random } = ports;
    this.incarnation = random.token(8);
    this.roster = new Roster(clock, this.hello);
    this.book = new Book(clock, () => this.changed());
    this.freshness = new Freshness(clock, () => this.book.agreed()?.members ?? [], this.book.generation);
    this.tracks = new Tracks(clock, this.tellHeavy);
    this.claims = new Claims(
      ports,
      this.hello,
      () => this.book.agreed()?.members ?? [],
      () => this.lines,
    );
    this.stages = new Stages({
      env,
      ports,
      book: this.book,
      tracks: this.tracks,
      freshness: this.freshness,
      tally: this.tally,
      claims: this.claims,
    });
    this.rounds = new Rounds(
      ports,
      this.hello,
      this.roster,
      () => this.lines,
      () => {},
    );
    this.lines = new Lines(
      ports,
      this.hello,
      env.seeds,
      this.roster,
      () => [...(this.book.agreed()?.members ?? []).map((member) => member.address), ...this.rounds.watcherAddresses()],
      this.handlers(this.joinPostmaster),
    );
    this.pinger = new Repeating(clock, () => pingMs * (0.9 + 0.2 * random.fraction()), this.pingAll);
  }

  readonly hello = (): Hello => hellos.of('counter', this.env, this.incarnation);

  readonly open = async (): Promise<Result<void, NetFault>> => {
    const { net, clock, log } = this.ports;
    const opened = await peerConnections.listen(
      net,
      clock,
      log,
      this.hello,
      this.env.coachListen,
      this.handlers(() => {}),
    );
    if (opened.isErr()) return err(opened.error);
    this.listener = opened.value;
    return ok(undefined);
  };

  private readonly changed = (): void => {
    for (const connection of this.lines?.open() ?? []) connection.tell('ack', this.book.generation());
    this.stages?.recheck();
    if (this.lines !== undefined) background.run('admit sub-agents', this.admitSides());
    this.lines?.align();
  };

  private readonly admitSides = async (): Promise<void> => {
    const claims = this.book.sidesWanted();
    if (this.isAdmitting || claims.length === 0) return;
    this.isAdmitting = true;
    const standings = await this.askSides(claims);
    this.isAdmitting = false;
    if (standings.length === 0) return;
    this.book.sidesAdmitted(standings);
    this.stages.placing.pumpAll();
  };

  private readonly askSides = async (claims: readonly SideClaim[]): Promise<SideStanding[]> => {
    const members = this.book.agreed()?.members ?? [];
    const majority = Math.floor(members.length / 2) + 1;
    const told = new Map<string, SideStanding[]>();
    return new Promise((settle) => {
      let open = members.length;
      const tally = (standings: readonly SideStanding[]): void => {
        open -= 1;
        for (const one of standings) told.set(one.replica, [...(told.get(one.replica) ?? []), one]);
        const known = [...told.values()].filter((some) => some.length >= majority);
        if (known.length < claims.length && open > 0) return;
        settle(
          known.map((some) => ({
            ...(some[0] as SideStanding),
            sides: [...new Set(some.flatMap((one) => one.sides))],
            ageMs: some.map((one) => one.ageMs).sort((a, b) => b - a)[majority - 1] as number,
          })),
        );
      };
      if (members.length === 0) settle([]);
      for (const member of members) {
        const connection = this.lines.to(member.incarnation);
        if (connection === undefined) tally([]);
        else
          background.run(
            'ask a peer to admit sub-agents',
            connection
              .ask('admitSides', claims, admitPatienceMs)
              .then((receipt) => tally(receipt.isOk() ? ((receipt.value as SideStanding[] | null) ?? []) : [])),
          );
      }
    });
  };

  private readonly report = (): LoadReport => ({
    replicas: this.tracks.report(),
    pools: this.stages.placing.demands(),
  });

  private readonly tellHeavy = (): void => {
    const report = this.report();
    for (const connection of this.lines.open())
      if (connection.neighbour?.role === 'postmaster') connection.tell('heavyNews', report);
  };

  private readonly pingAll = (): void => {
    this.stages.placing.sweep();
    background.run('admit sub-agents', this.admitSides());
    for (const connection of this.lines.open()) background.run('report load to a control node', this.ping(connection));
  };

  private readonly ping = async (connection: PeerConnection): Promise<void> => {
    if (connection.neighbour?.role !== 'postmaster' || this.pinged.has(connection)) return;
    this.pinged.add(connection);
    const stamp = this.freshness.stamp();
    const receipt = await connection.ask('ping', this.report(), pingPatienceMs);
    this.pinged.delete(connection);
    if (receipt.isErr()) return connection.close();
    const pong = receipt.value as Pong;
    this.freshness.heard(stamp, pong);
    this.tracks.toldOthers(pong.loads);
    this.stages.placing.contention = pong.contention;
    const broken = this.book.index.broken();
    if (broken.length > 0) connection.tell('shelvesPlease', broken);
    if (pong.generation > this.book.generation()) connection.tell('subscribe', this.book.generation());
    this.stages.placing.pumpAll();
  };

  private readonly joinPostmaster = (connection: PeerConnection): void => {
    if (connection.neighbour?.role !== 'postmaster') return;
    connection.tell('subscribe', this.book.generation());
    background.run('report load to a control node', this.ping(connection));
  };

  private readonly handlers = (joined: (connection: PeerConnection) => void): Handlers => ({
    joined: (connection) => {
      if (connection.neighbour === null) return;
      this.roster.heard(connection.neighbour);
      joined(connection);
    },
    left: () => {},
    told: (connection, topic, body) => {
      switch (topic) {
        case 'heart':
          return this.rounds.watch.heart(body as string);
        case 'change': {
          const { generation, change } = body as { generation: number; change: Change };
          if (!this.book.takeChange(generation, change)) connection.tell('ack', this.book.generation());
          return;
        }
        case 'checkpoint':
          if (!this.book.takeCheckpoint(body as Agreed)) connection.tell('ack', this.book.generation());
          return;
        case 'replicas':
          this.book.takeReplicas(body as ReplicaRecord[]);
          return;
        case 'loads':
          return this.tracks.toldOthers(body as Loads);
        case 'shelf':
          this.book.takeShelf(body as ShelfCheckpoint);
          return;
        case 'kv':
          this.book.takeKv(body as KvNews[]);
          return;
      }
    },
    asked: async (_coach, topic, body) => {
      if (topic === 'beat') return true;
      if (topic === 'claimState') return this.claims.shelf.stateOf(body as string);
      if (topic !== 'roster') return null;
      this.roster.merge(body as RosterEntry[]);
      return this.roster.entries();
    },
  });

  readonly serve = (order: Order): Promise<Receipt> =>
    new Promise((settle) => this.stages.enter(new Parcel(order, this.ports.clock.now(), settle)));

  readonly drain = async (): Promise<void> => {
    this.stages.drain();
    const { clock } = this.ports;
    const endAt = clock.now() + this.env.drainMs;
    while (this.stages.live.size > 0 && clock.now() < endAt) await pause.for(clock, 50);
  };

  readonly stop = async (): Promise<void> => {
    this.pinger.stop();
    this.rounds.stop();
    this.lines.stop();
    for (const parcel of [...this.stages.live])
      this.stages.denying.refuse(parcel, 'draining', 'this counter is closing');
    await this.listener?.close();
    await this.ports.carriage.close();
  };
}

export const counters = {
  start: async (env: Env, ports: Ports): Promise<Result<Counter, NetFault>> => {
    const counter = new Counter(env, ports);
    const opened = await counter.open();
    return opened.isErr() ? err(opened.error) : ok(counter);
  },
};
