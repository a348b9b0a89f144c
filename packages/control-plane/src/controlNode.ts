import { createHash } from 'node:crypto';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { Repeating, agreed as agreedState } from '@martenworks/core-types';
import type {
  Agreed,
  BackEnds,
  FrontPing,
  Listener,
  Member,
  MissedNews,
  NetFault,
  Ports,
  ReadingNews,
  ShelfNews,
  StateHeld,
  Subscription,
} from '@martenworks/core-types';
import type { WayEnv } from '@martenworks/settings';
import type { WriteAheadLogFault } from '@martenworks/write-ahead-log';
import { peerConnections, hellos } from '@martenworks/peer-transport';
import type { PeerConnection, Handlers, Hello } from '@martenworks/peer-transport';
import { Duties, Lines, Roster } from '@martenworks/cluster-membership';
import type { LeaseAsk, LeaseReply, LeaseTerms, RosterEntry } from '@martenworks/cluster-membership';
import { CardReader } from './cardReader.js';
import { acceptors } from './acceptor.js';
import type { Ballot, Acceptor, CompressedSettled, Since, Vote } from './acceptor.js';
import { CatchUp } from './catchUp.js';
import { compressedChanges } from './compressed.js';
import { Founding } from './founding.js';
import type { Standing } from './founding.js';
import { leaseBooks } from './leases.js';
import type { KeptLeases } from './leases.js';
import { Membership } from './membership.js';
import { Proposer } from './proposer.js';
import type { Voters } from './proposer.js';
import { ReadingRelay } from './readingRelay.js';
import { ShelfDesk } from './shelfDesk.js';
import { ConfigService } from './configService.js';
import { StatePublisher } from './statePublisher.js';
import { WeightsDesk } from './weightsDesk.js';

const votePatienceMs = 800;
const confirmPatienceMs = 700;
const foundingMs = 150;
const upkeepMs = 300;
const settleAfterMs = 150;
const settleCheckMs = 100;
const beatMs = 400;
const beatPatienceMs = 900;
const dutyMs = 300;
const weightsStepMs = 60;
const leasePatienceMs = 500;
const strangerWaitMs = 2_500;
const leaseMs = 1_600;
const leaseMarginMs = 400;
const fencesPerGeneration = 1_000;
const weightsDuty = 'weights';

const scores = {
  held: new Map<string, string>(),
  of: (address: string, voter: string): string => {
    const label = `${address}\n${voter}`;
    const held = scores.held.get(label);
    if (held !== undefined) return held;
    const score = createHash('sha1').update(label).digest('hex');
    if (scores.held.size > 20_000) scores.held.clear();
    scores.held.set(label, score);
    return score;
  },
};

export const wayPace = { patienceMs: 700, longestWaitMs: 400 };

export class ControlNode {
  readonly roster: Roster;
  readonly lines: Lines;
  readonly proposer: Proposer;
  readonly catchUp: CatchUp;
  readonly changes: ConfigService;
  readonly push: StatePublisher;
  readonly cards: CardReader;
  readonly shelves: ShelfDesk;
  readonly readings: ReadingRelay;
  readonly duties: Duties;
  readonly weights: WeightsDesk;
  private readonly founding: Founding;
  private readonly membership: Membership;
  private readonly repeats: Repeating[] = [];
  private listener: Listener | null = null;
  private isStepping = false;
  private isMinding = false;

  constructor(
    readonly env: WayEnv,
    readonly ports: Ports,
    readonly backEnds: BackEnds,
    readonly acceptor: Acceptor,
    private readonly leases: KeptLeases,
    terms: LeaseTerms,
    seeds: readonly string[],
  ) {
    const { clock, random, log } = ports;
    this.roster = new Roster(clock, this.hello);
    this.lines = new Lines(
      ports,
      this.hello,
      seeds,
      this.roster,
      () => (acceptor.agreed()?.members ?? []).map((member) => member.address),
      this.handlers(),
      wayPace,
    );
    this.catchUp = new CatchUp(acceptor, this.postmasters, clock, log);
    this.proposer = new Proposer(acceptor, this.voters(), clock, random, log);
    this.changes = new ConfigService(this.proposer);
    this.duties = new Duties(
      clock,
      () => acceptor.incarnation,
      this.reachableVoters,
      () => (acceptor.isVoter() ? [weightsDuty] : []),
      this.askLeases,
      (ask) => {
        this.leases.book.release(ask);
        this.tellPostmasters('leaseDrop', ask);
      },
      () => Math.floor((acceptor.agreed()?.members.length ?? 0) / 2) + 1,
      () => {},
      terms,
    );
    this.cards = new CardReader(
      backEnds,
      clock,
      random,
      log,
      {
        everyMs: env.listEveryMs,
        perSecond: env.listPerSecond,
        readers: () => acceptor.agreed()?.members.length ?? env.voters,
      },
      (news) => {
        this.push.tellContent('cards', news);
        this.alignShelves();
      },
    );
    this.shelves = new ShelfDesk(
      backEnds,
      clock,
      random,
      log,
      (news) => this.push.tellContent('shelves', news),
      (news) => this.tellPostmasters('shelfRelay', news),
    );
    this.readings = new ReadingRelay(clock, (bundle) => {
      this.push.tellContent('reading', bundle);
      this.tellPostmasters('readingRelay', bundle);
    });
    this.push = new StatePublisher(acceptor, clock, this.cards.ageMs, (connection) => {
      if (this.cards.ageMs() !== null) connection.tell('cards', { isWhole: true, put: this.cards.all(), gone: [] });
      connection.tell('shelves', this.shelves.whole());
    });
    this.weights = new WeightsDesk(
      backEnds,
      clock,
      log,
      this.cards.all,
      this.wantedWeights,
      () => this.duties.fenceOf(weightsDuty),
      () => this.env.name,
      (news) => this.push.tellAll('weights', news),
      this.cards.holds,
    );
    this.founding = new Founding(
      acceptor,
      this.hello,
      () => this.lines,
      () => this.roster.neighbours('postmaster'),
      this.catchUp.from,
      log,
      env.voters,
    );
    this.membership = new Membership(
      acceptor,
      this.proposer,
      clock,
      () => this.lines,
      () => true,
      log,
      strangerWaitMs,
    );
    acceptor.watch(() => {
      this.lines.align();
      this.alignShelves();
    });
    this.alignShelves();
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
      new Repeating(clock, () => weightsStepMs, this.weights.step),
    );
  }

  readonly hello = (): Hello =>
    hellos.of(
      'postmaster',
      { name: this.env.name, coach: this.env.coach, http: this.env.http, operators: null, zone: this.env.zone },
      this.acceptor.incarnation,
    );

  readonly open = async (): Promise<Result<void, NetFault>> => {
    const { net, clock, log } = this.ports;
    const opened = await peerConnections.listen(net, clock, log, this.hello, this.env.coach, this.handlers());
    if (opened.isErr()) return err(opened.error);
    this.listener = opened.value;
    return ok(undefined);
  };

  private readonly wantedWeights = (): { pool: string; model: string; version: number }[] => {
    const state = this.acceptor.agreed();
    return (state?.ways?.book.pools ?? []).flatMap(({ name, engine }) =>
      (engine?.models ?? []).flatMap((model) => {
        const version = state?.named[model];
        return version === undefined ? [] : [{ pool: name, model, version }];
      }),
    );
  };

  private readonly alignShelves = (): void => {
    const book = this.acceptor.agreed()?.ways?.book;
    if (book === undefined) return;
    const engines = new Set(book.pools.filter((pool) => pool.engine !== null).map((pool) => pool.name));
    const voters = this.reachableVoters();
    const isMine = (address: string): boolean =>
      !voters.some((voter) => scores.of(address, voter) > scores.of(address, this.acceptor.incarnation));
    this.shelves.align(
      new Set([
        ...this.cards
          .all()
          .filter((card) => engines.has(card.pool))
          .map((card) => card.address),
        ...book.stores.map((store) => store.address),
      ]),
      isMine,
    );
    if (!this.env.watchesStale) return;
    const lives = new Map<string, Set<string>>();
    for (const { address, id } of this.cards.all()) lives.set(address, (lives.get(address) ?? new Set()).add(id));
    for (const [address, ids] of lives) this.shelves.lives(address, ids);
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
    this.alignShelves();
    const state = this.acceptor.agreed();
    if (state === null) return;
    await this.catchUp.step();
    await this.membership.step();
  };

  private readonly postmasters = (): PeerConnection[] =>
    this.lines.open().filter((connection) => connection.neighbour?.role === 'postmaster');

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

  private readonly tellPostmasters = (topic: string, body: unknown): void => {
    for (const connection of this.postmasters()) connection.tell(topic, body);
  };

  private readonly reachableVoters = (): string[] =>
    agreedState
      .distinctVoters(this.acceptor.agreed())
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
      settle: (settled) =>
        this.tellPostmasters('settled', {
          generation: settled.generation,
          change: compressedChanges.encode(settled.change),
        } satisfies CompressedSettled),
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
      if (connection.neighbour === null) return;
      this.roster.heard(connection.neighbour);
      if (connection.neighbour.role === 'postmaster') connection.tell('shelfRelay', this.shelves.followed());
    },
    left: (connection) => this.push.drop(connection),
    told: (connection, topic, body) => {
      if (topic === 'settled') void this.catchUp.settle(connection, body as CompressedSettled);
      else if (topic === 'subscribe') this.push.subscribe(connection, body as Subscription);
      else if (topic === 'ack') this.push.acked(connection, body as StateHeld);
      else if (topic === 'shelfRelay') this.shelves.takeRelayed(body as ShelfNews[]);
      else if (topic === 'reading') this.readings.take(body as ReadingNews);
      else if (topic === 'readingRelay') this.push.tellContent('reading', body);
      else if (topic === 'missed') {
        this.shelves.missed(body as MissedNews);
        this.push.tellOthers(connection, 'missed', body);
        this.tellPostmasters('missedRelay', body);
      } else if (topic === 'missedRelay') {
        this.shelves.missed(body as MissedNews);
        this.push.tellContent('missed', body);
      } else if (topic === 'leaseDrop') this.leases.book.release(body as LeaseAsk);
    },
    asked: async (connection, topic, body) => {
      if (connection.neighbour !== null) this.roster.heard(connection.neighbour);
      switch (topic) {
        case 'ping':
          return this.push.pong(connection, body as FrontPing, this.isReady());
        case 'state':
          return this.push.stateFor(body as StateHeld);
        case 'beat':
          return true;
        case 'leaseAsk':
          return this.acceptor.isVoter() ? this.leases.book.grant(body as LeaseAsk) : null;
        case 'roster':
          this.roster.merge(body as RosterEntry[]);
          return this.roster.entries().filter(({ hello }) => hello.role === 'postmaster');
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
    syncedFrom: (this.acceptor.agreed()?.members ?? []).map((member) => member.incarnation),
  });

  /** The newest agreed state, with what a majority had accepted settled before: null where no majority was heard. */
  readonly confirmed = async (): Promise<Agreed | null> =>
    (await this.proposer.confirm(confirmPatienceMs)) ? this.acceptor.agreed() : null;

  readonly isReady = (): boolean => {
    const state = this.acceptor.agreed();
    return state !== null && this.reachableVoters().length > state.members.length / 2;
  };

  readonly status = (): Record<string, unknown> => {
    const state = this.acceptor.agreed();
    return {
      name: this.env.name,
      zone: this.env.zone,
      incarnation: this.acceptor.incarnation,
      generation: state?.generation ?? null,
      edition: state?.ways?.edition ?? null,
      named: state?.named ?? {},
      members: state?.members ?? [],
      voter: this.acceptor.isVoter(),
      reachable: this.reachableVoters().length,
      fronts: this.push.lines(),
      leases: this.duties.lines(),
      weights: this.weights.status(),
      replicas: this.cards.all(),
      listAgeMs: this.cards.ageMs(),
      shelves: this.shelves.sizes(),
      stale: { isOn: this.env.watchesStale, ...this.shelves.stale() },
    };
  };

  readonly stop = async (): Promise<void> => {
    for (const repeat of this.repeats) repeat.stop();
    this.cards.stop();
    this.shelves.stop();
    this.duties.resign();
    this.lines.stop();
    await this.listener?.close();
    await this.acceptor.close();
    await this.leases.close();
  };
}

export const controlNodes = {
  start: async (
    env: WayEnv,
    ports: Ports,
    backEnds: BackEnds,
    seeds: readonly string[],
  ): Promise<Result<ControlNode, NetFault | WriteAheadLogFault>> => {
    const acceptor = await acceptors.open(ports.disk, ports.clock, ports.random, ports.log, env.isFresh);
    if (acceptor.isErr()) return err(acceptor.error);
    const terms: LeaseTerms = {
      leaseMs,
      marginMs: leaseMarginMs,
      gapMs: env.orderGapMs,
      floor: () => (acceptor.value.agreed()?.generation ?? 0) * fencesPerGeneration,
    };
    const leases = await leaseBooks.open(ports.disk, ports.clock, ports.log, terms);
    if (leases.isErr()) return err(leases.error);
    const postmaster = new ControlNode(env, ports, backEnds, acceptor.value, leases.value, terms, seeds);
    const opened = await postmaster.open();
    return opened.isErr() ? err(opened.error) : ok(postmaster);
  },
};
