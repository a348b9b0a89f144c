import { Repeating } from '@martenworks/core-types';
import type {
  CardsNews,
  FrontPong,
  MissedNews,
  Ports,
  ReadingNews,
  ShelfNews,
  StateHeld,
  StateNews,
  WayBook,
  WeightsNews,
} from '@martenworks/core-types';
import { patches } from '@martenworks/route-table';
import type { WayEnv } from '@martenworks/settings';
import { hellos } from '@martenworks/peer-transport';
import type { PeerConnection, Handlers, Hello } from '@martenworks/peer-transport';
import { Lines, Roster } from '@martenworks/cluster-membership';
import type { RosterEntry } from '@martenworks/cluster-membership';

const pingMs = 500;
const pingPatienceMs = 900;
const chooseMs = 150;
const askPatienceMs = 700;
const newsGraceMs = 120;
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

interface Heard {
  at: number;
  pong: FrontPong;
}

/** Holds a connection to every core node. One of them, in this front's own zone where there is one, tells all its news; the others tell only which generation they hold, and are asked for it if this front does not hold it yet. */
export class CoreTouch {
  private readonly roster: Roster;
  private readonly lines: Lines;
  private readonly repeats: Repeating[];
  private readonly heard = new Map<PeerConnection, Heard>();
  private readonly asking = new Set<PeerConnection>();
  private content: PeerConnection | null = null;
  private held: StateNews | null = null;
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
      new Repeating(clock, () => chooseMs, this.choose),
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
      this.heard.delete(connection);
      if (this.content === connection) this.content = null;
      this.choose();
    },
    told: (connection, topic, body) => {
      if (topic === 'state') this.take(connection, body as StateNews);
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

  private readonly take = (connection: PeerConnection, news: StateNews): void => {
    if (this.held !== null && news.generation <= this.held.generation) return;
    const book = news.book ?? this.patched(news);
    if (book === null && news.edition !== 0) {
      this.askState(connection, 0);
      return;
    }
    this.held = { ...news, book, patch: null };
    this.ears.state(this.held);
    connection.tell('ack', this.stateHeld());
    this.lines.align();
  };

  private readonly patched = ({ edition, patch }: StateNews): WayBook | null => {
    const { held } = this;
    if (held === null || held.book === null) return null;
    if (edition === held.edition) return held.book;
    return patch !== null && patch.from === held.edition ? patches.apply(held.book, patch) : null;
  };

  private readonly hearOf = (connection: PeerConnection, generation: number): void => {
    if (generation <= (this.held?.generation ?? -1)) return;
    const waitMs = connection === this.content || this.content === null ? 0 : newsGraceMs;
    this.ports.clock.after(waitMs, () => {
      if (generation > (this.held?.generation ?? -1)) this.askState(connection, this.held?.edition ?? 0);
    });
  };

  private readonly askState = (connection: PeerConnection, edition: number): void => {
    if (this.asking.has(connection) || !connection.isLive()) return;
    this.asking.add(connection);
    void connection
      .ask('state', { generation: this.held?.generation ?? -1, edition }, askPatienceMs)
      .then((receipt) => {
        this.asking.delete(connection);
        if (receipt.isOk() && receipt.value !== null) this.take(connection, receipt.value as StateNews);
      });
  };

  private readonly cores = (): PeerConnection[] =>
    this.lines.open().filter((connection) => connection.neighbour?.role === 'postmaster');

  private readonly listLimitMs = (): number => this.env.listEveryMs * staleListFactor + this.env.listPatienceMs;

  private readonly worth = (connection: PeerConnection): number => {
    const heard = this.heard.get(connection);
    if (heard === undefined) return 0;
    const isCurrent = heard.pong.listAgeMs !== null && heard.pong.listAgeMs <= this.listLimitMs();
    return (
      1 + (isCurrent ? 4 : 0) + (heard.pong.isSettled ? 2 : 0) + (connection.neighbour?.zone === this.env.zone ? 1 : 0)
    );
  };

  private readonly choose = (): void => {
    const cores = this.cores();
    const best = cores.reduce<PeerConnection | null>(
      (found, connection) => (found === null || this.worth(connection) > this.worth(found) ? connection : found),
      null,
    );
    const isHeld = this.content?.isLive();
    if (
      best === null ||
      best === this.content ||
      (isHeld && this.worth(best) <= this.worth(this.content as PeerConnection))
    )
      return;
    if (this.worth(best) === 0 && isHeld) return;
    if (isHeld) this.content?.tell('subscribe', { ...this.stateHeld(), wantsContent: false });
    this.content = best;
    best.tell('subscribe', { ...this.stateHeld(), wantsContent: true });
  };

  private readonly ping = (): void => {
    for (const connection of this.cores()) {
      void connection
        .ask('ping', { ...this.stateHeld(), isReady: this.ears.isReady() }, pingPatienceMs)
        .then((receipt) => {
          if (receipt.isErr()) {
            if (receipt.error.code === 'late') connection.close();
            return;
          }
          const pong = receipt.value as FrontPong | null;
          if (pong === null) return;
          this.lastHeardAt = this.ports.clock.now();
          this.heard.set(connection, { at: this.lastHeardAt, pong });
          this.noteFronts(pong.fronts);
          this.hearOf(connection, pong.generation);
        });
    }
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

  readonly unheardMs = (): number => this.ports.clock.now() - this.lastHeardAt;

  readonly status = (): Record<string, unknown> => ({
    content: this.content?.neighbour?.name ?? null,
    cores: this.cores().map((connection) => ({
      name: connection.neighbour?.name ?? '',
      zone: connection.neighbour?.zone ?? '',
      generation: this.heard.get(connection)?.pong.generation ?? null,
    })),
    held: this.stateHeld(),
  });

  readonly stop = (): void => {
    for (const repeat of this.repeats) repeat.stop();
    this.lines.stop();
  };
}
