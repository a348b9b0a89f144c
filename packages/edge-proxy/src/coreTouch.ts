/** A front's connections to the core nodes: which of them is its source, and how it learns what is in force. */
import { background, Repeating } from '@martenworks/core-types';
import type {
  CardsNews,
  FrontPong,
  MissedNews,
  Ports,
  ReadingNews,
  ShelfNews,
  StateHeld,
  StateMessage,
  StateNews,
  WeightsNews,
} from '@martenworks/core-types';
import { packedBooks } from '@martenworks/route-table';
import type { WayEnv } from '@martenworks/settings';
import { hellos } from '@martenworks/peer-transport';
import type { PeerConnection, Handlers, Hello } from '@martenworks/peer-transport';
import { Lines, Roster } from '@martenworks/cluster-membership';
import type { RosterEntry } from '@martenworks/cluster-membership';

const pingMs = 500;
const sourcePingMs = 250;
const pingPatienceMs = 900;
const chooseMs = 150;
const askPatienceMs = 700;
const sourceGraceMs = 120;
const sourcePatienceMs = 1_000;
const silenceLimitMs = 800;
const staleListFactor = 3;
const frontsHoldFactor = 2;
const dialPace = { patienceMs: 700, longestWaitMs: 400 };

export interface TouchEars {
  readonly state: (news: StateNews) => void;
  readonly cards: (news: CardsNews) => void;
  readonly weights: (news: WeightsNews) => void;
  readonly shelves: (news: readonly ShelfNews[]) => void;
  readonly reading: (news: readonly ReadingNews[]) => void;
  readonly missed: (news: MissedNews) => void;
  readonly isReady: () => boolean;
}

/** What a core node is known to hold, by its news and its pongs, and since when it has been ahead of this front. */
interface Known {
  readonly generation: number;
  readonly at: number;
}

/** A core node that hears a majority comes before one that has the fresher list of replicas, and that before one that is near. */
const worths = { heard: 1, near: 1, currentList: 4, settled: 8 } as const;

/** Holds a connection to every core node. One of them, in this front's own zone where there is one, tells all its news; the others tell only which generation they hold, and are asked for it if this front does not hold it yet. */
export class CoreTouch {
  private readonly roster: Roster;
  private readonly lines: Lines;
  private readonly repeats: Repeating[];
  private readonly pongs = new Map<PeerConnection, FrontPong>();
  private readonly known = new Map<PeerConnection, Known>();
  private asked: PeerConnection | null = null;
  private content: PeerConnection | null = null;
  private held: StateNews | null = null;
  private heldAt = 0;
  private lastHeardAt: number;
  private told = { fronts: 1, at: 0 };

  constructor(
    private readonly env: WayEnv,
    private readonly ports: Ports,
    private readonly incarnation: string,
    seeds: readonly string[],
    private readonly ears: TouchEars,
  ) {
    const { clock, random } = ports;
    this.lastHeardAt = clock.now();
    this.roster = new Roster(clock, this.hello);
    this.lines = new Lines(
      ports,
      this.hello,
      seeds,
      this.roster,
      () => (this.held?.members ?? []).map((member) => member.address),
      this.handlers(),
      dialPace,
    );
    this.repeats = [
      new Repeating(clock, () => pingMs * (0.9 + 0.2 * random.fraction()), this.ping),
      new Repeating(clock, () => sourcePingMs * (0.9 + 0.2 * random.fraction()), this.pingSource),
      new Repeating(clock, () => chooseMs, this.step),
    ];
  }

  private readonly hello = (): Hello =>
    hellos.of(
      'counter',
      { name: this.env.name, coach: this.env.coach, http: this.env.http, operators: null, zone: this.env.zone },
      this.incarnation,
    );

  private readonly handlers = (): Handlers => ({
    joined: (connection) => {
      if (connection.neighbour?.role !== 'postmaster') return;
      this.roster.heard(connection.neighbour);
      connection.tell('subscribe', { ...this.stateHeld(), wantsContent: false });
      this.choose();
    },
    left: (connection) => {
      this.pongs.delete(connection);
      this.known.delete(connection);
      if (this.content === connection) this.content = null;
      this.step();
    },
    told: (connection, topic, body) => {
      if (topic === 'state') this.take(connection, body as StateMessage);
      else if (topic === 'news') this.hearOf(connection, body as number);
      else if (topic === 'weights') this.ears.weights(body as WeightsNews);
      else if (connection !== this.content) return;
      else if (topic === 'reading') this.ears.reading(body as ReadingNews[]);
      else if (topic === 'missed') this.ears.missed(body as MissedNews);
      else if (topic === 'cards') this.ears.cards(body as CardsNews);
      else if (topic === 'shelves') this.ears.shelves(body as ShelfNews[]);
    },
    asked: async (connection, topic, body) => {
      if (connection.neighbour !== null) this.roster.heard(connection.neighbour);
      if (topic === 'beat') return true;
      if (topic !== 'roster') return null;
      this.roster.merge(body as RosterEntry[]);
      return [];
    },
  });

  readonly stateHeld = (): StateHeld => ({ generation: this.held?.generation ?? -1, edition: this.held?.edition ?? 0 });

  private readonly take = (connection: PeerConnection, message: StateMessage): void => {
    if (this.held === null || message.generation > this.held.generation) this.takeNewer(connection, message);
    connection.tell('ack', this.stateHeld());
  };

  private readonly takeNewer = (connection: PeerConnection, message: StateMessage): void => {
    const { edition, book: packed } = message;
    if (packed === null) {
      if (edition === this.stateHeld().edition) this.hold({ ...message, book: this.held?.book ?? null });
      else this.askState(connection, 0);
      return;
    }
    const opened = packedBooks.open(packed, { edition: this.stateHeld().edition, book: this.held?.book ?? null });
    if (opened.isOk()) this.hold({ ...message, book: opened.value });
    else this.askState(connection, 0);
  };

  private readonly hold = (news: StateNews): void => {
    this.held = news;
    this.heldAt = this.ports.clock.now();
    this.ears.state(news);
    this.lines.align();
  };

  private readonly hearOf = (connection: PeerConnection, generation: number): void => {
    if (generation <= (this.known.get(connection)?.generation ?? -1)) return;
    const at = this.isAhead(connection) ? (this.known.get(connection)?.at ?? 0) : this.ports.clock.now();
    this.known.set(connection, { generation, at });
    if (generation <= this.stateHeld().generation) return;
    const waitMs = this.content === null ? 0 : sourceGraceMs;
    this.ports.clock.after(waitMs, this.chase);
  };

  private readonly isAhead = (connection: PeerConnection): boolean =>
    connection.isLive() && (this.known.get(connection)?.generation ?? -1) > this.stateHeld().generation;

  private readonly isSilent = (connection: PeerConnection): boolean => connection.silentMs() > silenceLimitMs;

  /** Whether a newer state is on its way here and goes on. */
  private readonly isStateArriving = (): boolean =>
    this.cores().some((connection) => connection.isReceiving('state') && !this.isSilent(connection));

  /** Whether the source holds a newer state and may still be left to send it unasked. */
  private readonly isSourceTrusted = (): boolean => {
    const source = this.content;
    if (source === null || !this.isAhead(source) || this.isSilent(source)) return false;
    const sinceMs = Math.max(this.known.get(source)?.at ?? 0, this.heldAt);
    return this.ports.clock.now() - sinceMs < sourcePatienceMs;
  };

  /** Asks for a state that some core node holds and this front doesn't, of one node at a time and never while one is arriving. */
  private readonly chase = (): void => {
    if (this.asked !== null || this.isStateArriving() || this.isSourceTrusted()) return;
    const ahead = this.cores().filter((connection) => this.isAhead(connection) && !this.isSilent(connection));
    const best = ahead.find((connection) => connection === this.content) ?? this.mostWorth(ahead);
    if (best !== null) this.askState(best, this.stateHeld().edition);
  };

  private readonly askState = (connection: PeerConnection, edition: number): void => {
    if (this.asked !== null || !connection.isLive()) return;
    this.asked = connection;
    background.run(
      'fetch the configuration',
      connection.ask('state', { generation: this.stateHeld().generation, edition }, askPatienceMs).then((receipt) => {
        this.asked = null;
        if (receipt.isOk() && receipt.value !== null) this.take(connection, receipt.value as StateMessage);
      }),
    );
  };

  private readonly cores = (): PeerConnection[] =>
    this.lines.open().filter((connection) => connection.neighbour?.role === 'postmaster');

  private readonly listLimitMs = (): number => this.env.listEveryMs * staleListFactor + this.env.listPatienceMs;

  private readonly worth = (connection: PeerConnection): number => {
    const pong = this.pongs.get(connection);
    if (pong === undefined || this.isSilent(connection)) return 0;
    const isCurrent = pong.listAgeMs !== null && pong.listAgeMs <= this.listLimitMs();
    const isNear = connection.neighbour?.zone === this.env.zone;
    return (
      worths.heard +
      (isCurrent ? worths.currentList : 0) +
      (pong.isSettled ? worths.settled : 0) +
      (isNear ? worths.near : 0)
    );
  };

  private readonly mostWorth = (connections: readonly PeerConnection[]): PeerConnection | null =>
    connections.reduce<PeerConnection | null>(
      (found, connection) => (found === null || this.worth(connection) > this.worth(found) ? connection : found),
      null,
    );

  private readonly step = (): void => {
    this.choose();
    this.chase();
  };

  private readonly choose = (): void => {
    const best = this.mostWorth(this.cores());
    if (best === null || best === this.content) return;
    if (this.content?.isLive() === true && !this.isWorthLeaving(this.content, best)) return;
    if (this.content?.isLive()) this.content.tell('subscribe', { ...this.stateHeld(), wantsContent: false });
    this.content = best;
    best.tell('subscribe', { ...this.stateHeld(), wantsContent: true });
  };

  /** A source that hears a majority is not left while a state arrives from it. */
  private readonly isWorthLeaving = (source: PeerConnection, best: PeerConnection): boolean => {
    if (this.worth(best) <= this.worth(source)) return false;
    const isSettled = this.pongs.get(source)?.isSettled === true;
    return !(isSettled && source.isReceiving('state') && !this.isSilent(source));
  };

  private readonly ping = (): void => {
    for (const connection of this.cores()) if (connection !== this.content) this.pingOne(connection);
  };

  private readonly pingSource = (): void => {
    if (this.content?.isLive()) this.pingOne(this.content);
  };

  private readonly pingOne = (connection: PeerConnection): void => {
    const askedAt = this.ports.clock.now();
    background.run(
      'ping a control node',
      connection.ask('ping', { ...this.stateHeld(), isReady: this.ears.isReady() }, pingPatienceMs).then((receipt) => {
        if (receipt.isErr()) {
          if (receipt.error.code === 'late' && connection.silentMs() >= pingPatienceMs) connection.close();
          return;
        }
        const pong = receipt.value as FrontPong | null;
        if (pong === null) return;
        if (pong.majorityHeardMs !== null)
          this.lastHeardAt = Math.max(this.lastHeardAt, askedAt - pong.majorityHeardMs);
        this.pongs.set(connection, pong);
        this.noteFronts(pong.fronts);
        this.hearOf(connection, pong.generation);
      }),
    );
  };

  readonly tellMissed = (news: MissedNews): void => void this.content?.tell('missed', news);

  readonly tellReading = (news: ReadingNews): void => void this.content?.tell('reading', news);

  readonly state = (): StateNews | null => this.held;

  private readonly noteFronts = (fronts: number): void => {
    const now = this.ports.clock.now();
    const isOver = now - this.told.at > this.env.extraWindowMs * frontsHoldFactor;
    if (fronts >= this.told.fronts || isOver) this.told = { fronts: Math.max(1, fronts), at: now };
  };

  /** How many fronts there are, by the most that was told within two windows of the budget: one that hears nobody, or only core nodes just started, is not alone for that. */
  readonly fronts = (): number => this.told.fronts;

  /** Milliseconds since a core node that heard a majority of the members was heard, counted from when the majority was. */
  readonly unheardMs = (): number => this.ports.clock.now() - this.lastHeardAt;

  readonly status = (): Record<string, unknown> => ({
    content: this.content?.neighbour?.name ?? null,
    cores: this.cores().map((connection) => ({
      name: connection.neighbour?.name ?? '',
      zone: connection.neighbour?.zone ?? '',
      generation: this.pongs.get(connection)?.generation ?? null,
    })),
    held: this.stateHeld(),
  });

  readonly stop = (): void => {
    for (const repeat of this.repeats) repeat.stop();
    this.lines.stop();
  };
}
