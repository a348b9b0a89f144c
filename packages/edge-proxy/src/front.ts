import type { Result } from 'neverthrow';
import { background, Repeating, keys } from '@martenworks/core-types';
import type {
  CardsNews,
  Customer,
  MissedNews,
  NetFault,
  Ports,
  ReadingNews,
  StateNews,
  ThroughWire,
} from '@martenworks/core-types';
import type { WayEnv } from '@martenworks/settings';
import { BookDoor, shares } from '@martenworks/route-table';
import type { BookView, WayView } from '@martenworks/route-table';
import type { Call } from './call.js';
import { CallDoor } from './callDoor.js';
import { CoreTouch } from './coreTouch.js';
import { ExtraBudget } from './extraBudget.js';
import type { Admission, EdgeContext } from './edgeContext.js';
import { ForwardedRequest } from './forwardedRequest.js';
import { ReplicaTracks } from './replicaTracks.js';
import { ShelfBook } from './shelfBook.js';
import { StaleWatch } from './staleWatch.js';
import type { AnswerTiming } from './staleWatch.js';
import { Tally } from './tally.js';
import { WayPlacing } from './wayPlacing.js';
import type { NamedSince, WayPlace, WayQuestion } from './wayPlacing.js';

const connectionShare = 0.8;
const usualConnections = 64;
const readyWaitMs = 250;
const openDrainMs = 2_600;
const lastDrainMs = 700;
const drainStepMs = 50;
const versionShare = 0.8;
const agesKept = 8;
const tallyMs = 10_000;

interface Named {
  readonly version: number;
  readonly at: number;
}

/** A front on the opaque path: takes callers' requests, places each, and passes what the replica answers. */
export class Front implements EdgeContext {
  readonly tracks: ReplicaTracks;
  readonly shelves: ShelfBook;
  readonly stale: StaleWatch;
  readonly budget: ExtraBudget;
  readonly touch: CoreTouch;
  readonly door: CallDoor;
  readonly tally = new Tally();
  readonly live = new Set<ForwardedRequest>();
  private readonly placing: WayPlacing;
  private readonly label: string;
  private readonly tallier: Repeating;
  private readonly bookDoor = new BookDoor();
  private readonly namedAt = new Map<string, readonly Named[]>();
  private view: BookView | null = null;
  private hasCards = false;
  isClosing = false;

  constructor(
    readonly env: WayEnv,
    readonly ports: Ports,
    readonly wire: ThroughWire,
    seeds: readonly string[],
  ) {
    const { clock, random } = ports;
    this.label = `${random.token(4)}-`;
    this.tracks = new ReplicaTracks(clock);
    this.shelves = new ShelfBook(clock);
    this.stale = new StaleWatch(clock);
    this.touch = new CoreTouch(env, ports, random.token(8), seeds, {
      state: this.takeState,
      cards: this.takeCards,
      weights: this.tracks.takeWeights,
      shelves: this.shelves.take,
      reading: (bundle) => bundle.forEach(this.takeReading),
      missed: (news) => {
        if (!env.watchesStale) return;
        this.stale.hear(news);
        if (!news.isDecided) return;
        this.tally.add('stale_told');
        this.drop(news);
      },
      isReady: () => this.isReady(),
    });
    this.budget = new ExtraBudget(
      clock,
      { ratio: env.extraRatio, windowMs: env.extraWindowMs, slack: env.extraSlack },
      this.touch.fronts,
    );
    this.placing = new WayPlacing(this.tracks, this.shelves, clock, this.namedSince, env.versionMs * versionShare);
    this.tallier = new Repeating(
      clock,
      () => tallyMs,
      () => ports.log.info('tally', this.tally.all()),
    );
    this.door = new CallDoor({
      onCall: (call) => background.run('serve a request', this.receive(call)),
      isClosing: () => this.isClosing,
    });
  }

  /** Takes what changed in the list of replicas, or the whole list. */
  readonly takeCards = (news: CardsNews): void => {
    this.hasCards = true;
    const { born, left } = this.tracks.take(news);
    if (!this.env.watchesStale) return;
    for (const address of born) {
      this.shelves.bornAt(address);
      this.stale.bornAt(address);
    }
    for (const address of left)
      if (this.view?.book.stores.some((store) => store.address === address) !== true) this.shelves.leftAt(address);
  };

  private readonly takeReading = (news: ReadingNews): void => {
    if (news.id.startsWith(this.label)) return;
    this.tracks.takeReading(news);
    const address = this.tracks.addressOf(news.replica);
    if (news.tokens > 0 && address !== null && news.salt !== null && news.part !== null)
      this.shelves.reads(address, news.salt, news.part);
  };

  private readings = 0;

  readonly readingId = (): string => `${this.label}${(++this.readings).toString(36)}`;

  /** Takes the state in force as a core node tells it; an edition that is held already changes nothing. */
  readonly takeState = (news: StateNews): void => {
    const now = this.ports.clock.now();
    for (const [model, ages] of Object.entries(news.namedAges)) {
      const held = this.namedAt.get(model) ?? [];
      const fresh = ages
        .filter(({ version }) => !held.some((one) => one.version === version))
        .map(({ version, msAgo }) => ({ version, at: now - msAgo }));
      this.namedAt.set(model, [...held, ...fresh].sort((a, b) => a.version - b.version).slice(-agesKept));
    }
    if (news.book === null || this.view?.edition === news.edition) return;
    this.view = this.bookDoor.view(news.edition, news.book);
    this.door.limit(news.book.limits);
    this.ports.log.info('an edition is in force', { edition: news.edition, generation: news.generation });
  };

  private readonly namedSince = (model: string): NamedSince | null => {
    const now = this.ports.clock.now();
    const [newest, ...earlier] = (this.namedAt.get(model) ?? [])
      .map(({ version, at }) => ({ version, sinceMs: now - at }))
      .reverse();
    return newest === undefined ? null : { ...newest, earlier };
  };

  readonly isReady = (): boolean => !this.isClosing && this.view !== null && this.hasCards && !this.isUnheard();

  private readonly isUnheard = (): boolean =>
    this.env.unheardMs !== null && this.touch.unheardMs() > this.env.unheardMs;

  private readonly connections = (pool: string): number => {
    const limit = this.view?.pool(pool)?.connectionLimit ?? null;
    return limit === null ? usualConnections : Math.max(1, Math.floor((limit * connectionShare) / this.touch.fronts()));
  };

  readonly place = (question: WayQuestion): WayPlace | null =>
    this.view === null ? null : this.placing.place(question, this.view, this.connections(question.pool));

  readonly isAnyOpen = (pool: string, avoided: ReadonlySet<string>): boolean =>
    this.tracks.inPool(pool).some((track) => !track.card.isLeaving && !avoided.has(track.card.id));

  private readonly pathOf = (target: string): string => {
    const end = target.search(/[?#]/);
    return end < 0 ? target : target.slice(0, end);
  };

  private readonly standingOf = (
    call: Call,
    keyHash: string | null,
  ): { view: WayView; customer: Customer | null } | { status: number; message: string } => {
    const view = this.view?.match(call.host, this.pathOf(call.target)) ?? null;
    if (this.view === null || view === null) return { status: 404, message: 'no way leads there' };
    const customer = keyHash === null ? null : this.view.holderOf(keyHash);
    if (customer === null && this.view.isKeyed && !view.way.isOpen)
      return { status: 401, message: 'the key is not granted' };
    return { view, customer };
  };

  /** Whether what a request was admitted by still holds: its way, the key it came with, that key's holder and what the holder may share. */
  readonly isStanding = ({ call, view, customer, keyHash }: Admission): boolean => {
    const now = this.standingOf(call, keyHash);
    if ('status' in now || now.view.way.name !== view.way.name) return false;
    if (now.customer?.name !== customer?.name || now.customer?.isIsolated !== customer?.isIsolated) return false;
    return (now.view.mayRepeat || !view.mayRepeat) && (now.view.way.mayResume || !view.way.mayResume);
  };

  readonly deny = (call: Call, status: number, message: string, comeBackMs: number | null, isLast = false): void => {
    const bytes = Buffer.from(this.wire.denialBody(message), 'utf8');
    const headers = ['Content-Type', 'application/json', 'Content-Length', String(bytes.length)];
    if (comeBackMs !== null) headers.push('Retry-After', (comeBackMs / 1_000).toFixed(2));
    const reply = call.answer(status, headers, isLast);
    if (call.method !== 'HEAD') background.run('write a response body', reply.write(bytes));
    reply.end();
  };

  /** Answers one call; the door hands it over, or whoever stands in for the door. */
  readonly receive = async (call: Call): Promise<void> => {
    const { view } = this;
    if (view === null || !this.hasCards || this.isUnheard())
      return this.deny(call, 503, 'this front does not know yet what is in force', readyWaitMs);
    const { limits } = view.book;
    if (call.headerBytes > limits.headerBytes) return this.deny(call, 431, 'the headers are too large', null, true);
    const order = this.wire.order(call.headers);
    if (order.isErr()) return this.deny(call, 400, order.error, null);
    const keyHash = order.value.key === null ? null : keys.hash(order.value.key);
    const standing = this.standingOf(call, keyHash);
    if ('status' in standing) return this.deny(call, standing.status, standing.message, null);
    const body = await call.body(limits.bodyBytes);
    if (body.isErr())
      return body.error === 'too large' ? this.deny(call, 413, 'the body is too large', null, true) : undefined;
    const again = this.standingOf(call, keyHash);
    if ('status' in again) return this.deny(call, again.status, again.message, null);
    const { view: wayView, customer } = again;
    const pool = shares.draw(wayView.way, this.ports.random.fraction());
    await this.forward({ call, order: order.value, keyHash, view: wayView, customer, pool, body: body.value });
  };

  private readonly forward = async (admission: Admission): Promise<void> => {
    const request = new ForwardedRequest(this, admission);
    this.live.add(request);
    try {
      await request.run();
    } finally {
      this.live.delete(request);
    }
  };

  private readonly drop = ({ address, salt, parts, barMs }: MissedNews): void => {
    for (const part of parts) {
      this.shelves.missed(address, salt, part);
      if (barMs !== null) this.shelves.bar(address, salt, part, barMs);
    }
  };

  /** An answer's first piece against what the index said of the prompt; true where it speaks against it. */
  readonly compare = (timing: AnswerTiming, spentMs: number): boolean => {
    if (!this.env.watchesStale) return false;
    const { address, salt, parts, pullMs, tokens } = timing.claim;
    const decision = this.stale.take(timing, spentMs);
    if (decision.k === 'none') return false;
    this.tally.add(pullMs === null ? 'stale_strikes' : 'stale_pull_strikes');
    const news: MissedNews = {
      address,
      salt,
      parts,
      isDecided: decision.k === 'drop',
      barMs: decision.k === 'drop' ? decision.barMs : null,
    };
    this.touch.tellMissed(news);
    if (decision.k === 'strike') return true;
    this.tally.add(decision.barMs === null ? 'stale_drops' : 'stale_bars');
    this.ports.log.info('kept parts are gone', {
      address,
      salt,
      parts,
      tokens,
      isPull: pullMs !== null,
      spentMs: Math.round(spentMs),
      barMs: decision.barMs,
    });
    this.drop(news);
    return true;
  };

  readonly open = (): Promise<Result<void, NetFault>> => this.door.open(this.env.http);

  /** Takes no new connections after a while, finishes what runs, within `drainMs`. */
  readonly drain = async (): Promise<void> => {
    const { clock } = this.ports;
    const startedAt = clock.now();
    const step = (): Promise<void> => new Promise((wake) => void clock.after(drainStepMs, wake));
    this.isClosing = true;
    while (clock.now() - startedAt < Math.min(openDrainMs, this.env.drainMs / 2)) await step();
    this.door.shut();
    while (clock.now() - startedAt < this.env.drainMs - lastDrainMs) {
      this.door.closeIdle();
      if (this.live.size === 0 && (await this.door.isEmpty())) return;
      await step();
    }
  };

  readonly status = (): Record<string, unknown> => ({
    name: this.env.name,
    zone: this.env.zone,
    isReady: this.isReady(),
    edition: this.view?.edition ?? null,
    live: this.live.size,
    tally: this.tally.all(),
    touch: this.touch.status(),
    replicas: this.tracks.all().map(({ card, running, pendingTokens }) => ({
      id: card.id,
      pool: card.pool,
      isLeaving: card.isLeaving,
      weights: card.weights,
      running,
      pendingTokens,
    })),
    shelves: this.shelves.sizes(),
    stale: { isOn: this.env.watchesStale, ...this.stale.status() },
  });

  readonly stop = (): void => {
    this.tallier.stop();
    this.touch.stop();
    this.door.destroy();
  };
}
