import { createHash } from 'node:crypto';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { Repeating } from '@martenworks/core-types';
import type {
  Agreed,
  BackEnds,
  FrontPing,
  Listener,
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
import type { Hello } from '@martenworks/peer-transport';
import { Roster } from '@martenworks/cluster-membership';
import type { Duties, LeaseTerms, Lines } from '@martenworks/cluster-membership';
import { CardReader } from './cardReader.js';
import { acceptors } from './acceptor.js';
import type { Acceptor } from './acceptor.js';
import { ConsensusMember } from './consensusMember.js';
import type { ConsensusPace, ConsensusRole } from './consensusMember.js';
import { leaseBooks } from './leases.js';
import type { KeptLeases } from './leases.js';
import type { Proposer } from './proposer.js';
import { ReadingRelay } from './readingRelay.js';
import { ShelfDesk } from './shelfDesk.js';
import { ConfigService } from './configService.js';
import { StatePublisher } from './statePublisher.js';
import { WeightsDesk } from './weightsDesk.js';

const confirmPatienceMs = 700;
const handoverShare = 0.5;
const weightsStepMs = 60;
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

const wayPace = { patienceMs: 700, longestWaitMs: 400 };

const consensusPace: ConsensusPace = {
  votePatienceMs: 800,
  foundingMs: 150,
  upkeepMs: 300,
  beatMs: 400,
  beatPatienceMs: 900,
  dutyMs: 300,
  leasePatienceMs: 500,
  dial: wayPace,
  strangerWaitMs: 2_500,
};

export class ControlNode {
  readonly roster: Roster;
  readonly lines: Lines;
  readonly proposer: Proposer;
  readonly changes: ConfigService;
  readonly push: StatePublisher;
  readonly cards: CardReader;
  readonly shelves: ShelfDesk;
  readonly readings: ReadingRelay;
  readonly duties: Duties;
  readonly weights: WeightsDesk;
  private readonly consensus: ConsensusMember;
  private readonly weightsStep: Repeating;
  private listener: Listener | null = null;

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
    this.consensus = new ConsensusMember(
      { ports, hello: this.hello, roster: this.roster, seeds, acceptor, leases, terms, coreSize: env.voters },
      this.role(),
      consensusPace,
    );
    this.lines = this.consensus.lines;
    this.proposer = this.consensus.proposer;
    this.duties = this.consensus.duties;
    this.changes = new ConfigService(this.proposer);
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
      (news) => this.consensus.tellPeers('shelfRelay', news),
    );
    this.readings = new ReadingRelay(clock, (bundle) => {
      this.push.tellContent('reading', bundle);
      this.consensus.tellPeers('readingRelay', bundle);
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
    this.consensus.start();
    acceptor.watch(this.alignShelves);
    this.alignShelves();
    this.weightsStep = new Repeating(clock, () => weightsStepMs, this.weights.step);
  }

  readonly hello = (): Hello =>
    hellos.of(
      'postmaster',
      { name: this.env.name, coach: this.env.coach, http: this.env.http, operators: null, zone: this.env.zone },
      this.acceptor.incarnation,
    );

  readonly open = async (): Promise<Result<void, NetFault>> => {
    const { net, clock, log } = this.ports;
    const opened = await peerConnections.listen(net, clock, log, this.hello, this.env.coach, this.consensus.handlers());
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
    const voters = this.consensus.reachableVoters();
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

  private readonly prepareUpkeep = async (): Promise<void> => {
    this.push.dropSilent();
    this.alignShelves();
    if (this.acceptor.agreed() === null) return;
    await this.consensus.catchUp.step();
  };

  private readonly role = (): ConsensusRole => ({
    extraAddresses: () => [],
    isDown: () => true,
    wantedDuties: () => (this.acceptor.isVoter() ? [weightsDuty] : []),
    dutiesChanged: () => {},
    needsCopies: false,
    syncedFrom: () => [],
    prepareUpkeep: this.prepareUpkeep,
    sharedRoster: (entries) => entries.filter(({ hello }) => hello.role === 'postmaster'),
    joined: (connection) => {
      if (connection.neighbour?.role === 'postmaster') connection.tell('shelfRelay', this.shelves.followed());
    },
    left: (connection) => this.push.drop(connection),
    told: (connection, topic, body) => {
      if (topic === 'subscribe') this.push.subscribe(connection, body as Subscription);
      else if (topic === 'ack') this.push.acked(connection, body as StateHeld);
      else if (topic === 'shelfRelay') this.shelves.takeRelayed(body as ShelfNews[]);
      else if (topic === 'reading') this.readings.take(body as ReadingNews);
      else if (topic === 'readingRelay') this.push.tellContent('reading', body);
      else if (topic === 'missed') {
        this.shelves.missed(body as MissedNews);
        this.push.tellOthers(connection, 'missed', body);
        this.consensus.tellPeers('missedRelay', body);
      } else if (topic === 'missedRelay') {
        this.shelves.missed(body as MissedNews);
        this.push.tellContent('missed', body);
      }
    },
    asked: async (connection, topic, body) => {
      if (topic === 'ping') return this.push.pong(connection, body as FrontPing, this.consensus.majorityHeardMs());
      if (topic === 'state') return this.push.stateFor(body as StateHeld);
      return null;
    },
  });

  /** The newest agreed state, with what a majority had accepted settled before: null where no majority was heard. */
  readonly confirmed = (): Promise<Agreed | null> => this.proposer.confirm(confirmPatienceMs);

  readonly isReady = (): boolean => {
    const state = this.acceptor.agreed();
    if (this.consensus.isLeaving()) return false;
    return state !== null && this.consensus.reachableVoters().length > state.members.length / 2;
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
      reachable: this.consensus.reachableVoters().length,
      fronts: this.push.lines(),
      leases: this.duties.lines(),
      weights: this.weights.status(),
      replicas: this.cards.all(),
      listAgeMs: this.cards.ageMs(),
      shelves: this.shelves.sizes(),
      stale: { isOn: this.env.watchesStale, ...this.shelves.stale() },
    };
  };

  /** Hands the seat over by agreement, gives up the leases and tells the others, within a share of the drain time; to be called before `stop`. */
  readonly leave = (): Promise<void> => this.consensus.leave(this.env.drainMs * handoverShare);

  readonly stop = async (): Promise<void> => {
    this.consensus.pause();
    this.weightsStep.stop();
    this.cards.stop();
    this.shelves.stop();
    this.consensus.resign();
    this.consensus.close();
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
