import type {
  AnswerHead,
  CallerOrder,
  CarriageReceipt,
  Customer,
  NetFault,
  ReadingNews,
  ReceiptHead,
} from '@martenworks/core-types';
import type { Result } from 'neverthrow';
import { shares } from '@martenworks/route-table';
import type { WayView } from '@martenworks/route-table';
import { headerLists } from './call.js';
import type { Call, Reply } from './call.js';
import { EventCutter } from './events.js';
import type { Front } from './front.js';
import { heavyTokens } from './replicaTracks.js';
import type { KeptClaim } from './staleWatch.js';
import type { WayPlace } from './wayPlacing.js';

const patienceShare = 0.7;
const patienceFactor = 3;
const patienceSlackMs = 60;
const silenceGaps = 5;
const silenceShare = 0.6;
const typicalFactor = 4;
const waitShare = 0.2;
const waitStepMs = 15;
const usualGapMs = 1_000;
const fullRestMs = 150;
const leastLeftMs = 15;
const shortestComeBackMs = 80;
const comeBackSpreadMs = 160;

const placements = {
  of: ({ anchor, isKept, isSoon, isHome, holder }: WayPlace): string => {
    if (anchor === null || anchor.tokens < heavyTokens) return isHome ? 'placed_short_home' : 'placed_short_elsewhere';
    return `placed_long_${isKept ? 'kept' : isSoon ? 'soon' : holder !== null ? 'pull' : 'read'}${isHome ? '_home' : ''}`;
  },
};

type Stop = 'horizon' | 'silent' | 'gone' | 'caller left';

type Ending =
  | { readonly k: 'whole' }
  | { readonly k: 'over' }
  | { readonly k: 'not run'; readonly isArrival: boolean; readonly retryAfterMs: number | null }
  | { readonly k: 'may have run'; readonly cause: string };

/** To a caller these promise that a request has not run and never will (RFC 9110 leaves it open; the callers' wire does not). */
const promises = new Set([408, 421, 429, 503]);

const statuses = { badGateway: 502, unavailable: 503, lateGateway: 504 } as const;

/** One caller's request on its way: placed, sent, answered once. `mayHaveRun` turns true as the body leaves and back only where a replica says that it didn't run. */
export class ForwardedRequest {
  private readonly arrivedAt: number;
  private readonly horizonAt: number;
  private readonly avoided = new Set<string>();
  private reply: Reply | null = null;
  private lastId: string | null = null;
  private hasEvents = false;
  private mayHaveRun = false;
  private isEnded = false;
  private arrivals = 0;
  private shots = 0;
  private comeBackMs: number | null = null;
  private readonly quit = new AbortController();
  private quitCause: Stop = 'caller left';

  constructor(
    private readonly front: Front,
    private readonly call: Call,
    private readonly view: WayView,
    private readonly order: CallerOrder,
    private readonly customer: Customer | null,
    private readonly body: Uint8Array,
    private readonly pool: string,
  ) {
    const { clock } = front.ports;
    this.arrivedAt = clock.now();
    this.horizonAt = this.arrivedAt + Math.min(order.leftMs ?? view.way.horizonMs, view.way.horizonMs);
    call.whenGone(() => this.stop('caller left'));
  }

  static readonly poolFor = (view: WayView, fraction: number): string => shares.draw(view.way, fraction);

  private readonly stop = (cause: Stop): void => {
    if (this.isEnded || this.quit.signal.aborted) return;
    this.quitCause = cause;
    this.quit.abort();
  };

  private readonly left = (): number => this.horizonAt - this.front.ports.clock.now();

  private readonly deny = (status: number, message: string, comesBack: boolean): void => {
    if (this.isEnded) return;
    this.isEnded = true;
    this.front.tally.add(`denied_${status}`);
    this.front.ports.log.info('denied', {
      order: this.order.id,
      way: this.view.way.name,
      status,
      message,
      shots: this.shots,
      ms: Math.round(this.front.ports.clock.now() - this.arrivedAt),
    });
    if (this.reply !== null) {
      this.reply.cut();
      return;
    }
    const comeBackMs = comesBack
      ? (this.comeBackMs ?? shortestComeBackMs + comeBackSpreadMs * this.front.ports.random.fraction())
      : null;
    this.front.deny(this.call, status, message, comeBackMs);
  };

  private readonly giveUp = (message: string): void => {
    if (!this.mayHaveRun) {
      this.deny(statuses.unavailable, message, true);
      return;
    }
    this.deny(this.left() <= leastLeftMs ? statuses.lateGateway : statuses.badGateway, message, false);
  };

  readonly run = async (): Promise<void> => {
    const { clock } = this.front.ports;
    const horizon = clock.after(Math.max(0, this.left()), () => this.stop('horizon'));
    this.front.live.add(this);
    try {
      await this.shootOn();
    } finally {
      horizon.cancel();
      this.front.live.delete(this);
      this.front.tally.add('calls');
    }
  };

  private readonly shootOn = async (): Promise<void> => {
    const { way } = this.view;
    for (;;) {
      if (this.quit.signal.aborted)
        return this.quitCause === 'caller left' ? this.leave() : this.giveUp('the time is over');
      if (this.arrivals >= way.shots) return this.giveUp('no further replica may be asked');
      if (!this.front.isStanding(this.call, this.view, this.customer, this.order.key))
        return this.giveUp('the way or the key was taken back');
      const placed = await this.placed();
      if (placed === null) return this.giveUp('no replica takes it now');
      if (this.arrivals > 0 && !this.front.budget.take(this.pool)) return this.giveUp('no further shot is left');
      const ending = await this.shoot(placed);
      if (ending.k === 'whole' || ending.k === 'over') return;
      this.avoided.add(placed.track.card.id);
      if (ending.k === 'not run') {
        if (!ending.isArrival) continue;
        this.comeBackMs = ending.retryAfterMs;
        continue;
      }
      const mayGoOn =
        this.reply === null
          ? this.view.mayRepeat
          : this.view.way.mayResume && (this.lastId !== null || !this.hasEvents);
      if (!mayGoOn)
        return this.quit.signal.aborted && this.quitCause === 'caller left' ? this.leave() : this.giveUp(ending.cause);
    }
  };

  private readonly leave = (): void => {
    this.isEnded = true;
    this.front.tally.add('caller_left');
  };

  private readonly placed = async (): Promise<WayPlace | null> => {
    const { clock } = this.front.ports;
    const until = Math.min(
      this.horizonAt,
      Math.max(
        this.arrivedAt + this.view.way.targetMs * waitShare,
        this.reply === null ? 0 : clock.now() + this.view.way.targetMs * waitShare,
      ),
    );
    for (;;) {
      const placed = this.front.place({
        pool: this.pool,
        order: this.order,
        customer: this.customer,
        avoided: this.avoided,
      });
      if (placed !== null || this.quit.signal.aborted || clock.now() + waitStepMs > until) return placed;
      if (!this.front.isAnyOpen(this.pool, this.avoided)) return null;
      await new Promise<void>((wake) => void clock.after(waitStepMs, wake));
    }
  };

  private readonly shoot = async (placed: WayPlace): Promise<Ending> => {
    const { tracks, ports, wire } = this.front;
    const { track } = placed;
    const { card } = track;
    const { way, mayRepeat } = this.view;
    const shot = new AbortController();
    let stopped: Stop | null = null;
    let tellStop: (stop: Stop) => void = () => {};
    const whenStopped = new Promise<Stop>((settle) => (tellStop = settle));
    const stopShot = (cause: Stop): void => {
      if (stopped !== null) return;
      stopped = cause;
      shot.abort();
      tellStop(cause);
    };
    const quitted = (): void => stopShot(this.quitCause);
    const gone = (): void => stopShot('gone');
    this.quit.signal.addEventListener('abort', quitted, { once: true });
    track.whenGone.add(gone);
    const sentAt = ports.clock.now();
    const pendingBefore = track.pendingTokens + track.othersTokens;
    const aheadTokens = (): number => Math.max(0, pendingBefore + tracks.cameWith(track, sentAt) - placed.readTokens);
    const isIdle = track.running < card.slots && this.lastId === null && !tracks.isSuspect(track);
    const firstPatienceMs = Math.max(
      way.targetMs * patienceShare,
      placed.costMs * patienceFactor + patienceSlackMs,
      tracks.typicalFirstMs(this.pool) * typicalFactor,
    );
    const mayLeave = mayRepeat && this.shots + 1 < way.shots;
    const mayStillLeave = (): boolean => mayLeave && !this.front.isClosing && this.front.budget.left(this.pool) > 0;
    let silence = ports.clock.after(mayLeave ? firstPatienceMs : firstPatienceMs * 2, () => {
      tracks.slow(track);
      tracks.firstSeen(this.pool, firstPatienceMs);
      if (mayStillLeave()) stopShot('silent');
    });
    const gapMs = Math.min(
      (way.gapMs ?? usualGapMs) * silenceGaps,
      Math.max(this.left() * silenceShare, way.gapMs ?? usualGapMs),
    );
    const heardOf = (): void => {
      silence.cancel();
      silence = ports.clock.after(gapMs, () => {
        tracks.slow(track);
        if (way.mayResume && mayStillLeave()) stopShot('silent');
      });
    };
    let isPending = true;
    const note = this.noteReading(placed);
    const given = (): void => {
      if (!isPending) return;
      isPending = false;
      tracks.given(track, placed.readTokens);
      if (note !== null) this.front.touch.tellReading({ ...note, tokens: 0 });
    };
    this.shots += 1;
    this.front.tally.add(placements.of(placed));
    if (this.shots === 1) this.front.budget.first(this.pool);
    const isAlone = track.pendingTokens + track.othersTokens === 0 && !placed.isSoon;
    tracks.began(track, placed.readTokens);
    let isOut = false;
    const wasRun = this.mayHaveRun;
    const gate = (): boolean => {
      if (stopped !== null || track.card.isLeaving || track.isGone || tracks.isResting(track)) return false;
      if (!this.front.isStanding(this.call, this.view, this.customer, this.order.key)) return false;
      isOut = true;
      this.mayHaveRun = true;
      return true;
    };
    const body = this.body.length === 0 ? null : this.body;
    const carried = ports.carriage.carry({
      method: this.call.method,
      url: `http://${card.address}${this.call.target}`,
      headers: wire.shotHeaders(headerLists.endToEnd(this.call.headers), {
        replica: card.id,
        leftMs: Math.max(1, Math.floor(this.left())),
        tenant: this.customer?.name ?? null,
        urgency: this.customer?.rank ?? way.rank,
        salt: placed.salt,
        version: placed.version,
        holder: placed.holder,
        store: placed.store,
        resumeAfter: this.lastId,
      }),
      body,
      signal: shot.signal,
      gate,
      accepts: this.isAcceptable,
    });
    try {
      const receipt = await Promise.race([carried, whenStopped]);
      if (isOut) this.arrivals += 1;
      if (typeof receipt === 'string') {
        void carried.then((late) => late.map((one) => this.discard(one)));
        return isOut
          ? { k: 'may have run', cause: `the replica was left: ${receipt}` }
          : { k: 'not run', isArrival: false, retryAfterMs: null };
      }
      return await this.received(receipt, placed, {
        sentAt,
        aheadTokens,
        isIdle,
        isOut,
        wasRun,
        isAlone,
        given,
        heardOf,
        whenStopped,
        abort: () => shot.abort(),
      });
    } finally {
      silence.cancel();
      given();
      tracks.ended(track);
      track.whenGone.delete(gone);
      this.quit.signal.removeEventListener('abort', quitted);
    }
  };

  /** Whether a head belongs to this request, and its answer's end can be told from a broken connection. */
  private readonly isAcceptable = ({ status, headers, isDelimited }: AnswerHead): boolean => {
    if (!isDelimited) this.front.tally.add('answers_undelimited');
    return isDelimited && this.front.wire.receiptHead(status, headers, this.order.id, this.order.model).isOwn;
  };

  private readonly noteReading = ({ track, readTokens, salt, anchor }: WayPlace): ReadingNews | null => {
    if (readTokens < heavyTokens) return null;
    const note: ReadingNews = {
      id: this.front.readingId(),
      replica: track.card.id,
      tokens: readTokens,
      salt,
      part: anchor?.id ?? null,
    };
    this.front.touch.tellReading(note);
    if (salt !== null && anchor !== null) this.front.shelves.reads(track.card.address, salt, anchor.id);
    return note;
  };

  private readonly discard = (receipt: CarriageReceipt): void => {
    void receipt.body[Symbol.asyncIterator]().return?.();
  };

  private readonly received = async (
    receipt: Result<CarriageReceipt, NetFault>,
    placed: WayPlace,
    shot: {
      sentAt: number;
      aheadTokens: () => number;
      isIdle: boolean;
      isOut: boolean;
      wasRun: boolean;
      isAlone: boolean;
      given: () => void;
      heardOf: () => void;
      whenStopped: Promise<Stop>;
      abort: () => void;
    },
  ): Promise<Ending> => {
    const { tracks, wire, shelves, ports } = this.front;
    const { track } = placed;
    if (receipt.isErr()) {
      const { code, isUnsent } = receipt.error;
      if (code === 'GATED') return { k: 'not run', isArrival: false, retryAfterMs: null };
      tracks.failed(track);
      this.front.tally.add('shots_failed');
      if (!shot.isOut || isUnsent) {
        this.mayHaveRun = shot.wasRun;
        if (shot.isOut) this.arrivals -= 1;
        return { k: 'not run', isArrival: false, retryAfterMs: null };
      }
      return { k: 'may have run', cause: `the replica broke off: ${code}` };
    }
    const { status, headers, body } = receipt.value;
    const list = headers();
    const head = wire.receiptHead(status, list, this.order.id, this.order.model);
    if (head.isOwn && head.isNotRun) {
      this.mayHaveRun = shot.wasRun;
      this.turnedAway(placed, head);
      void this.drain(receipt.value);
      return { k: 'not run', isArrival: true, retryAfterMs: head.retryAfterMs };
    }
    const isSuccess = status >= 200 && status < 300;
    const isSound = head.isOwn && (!isSuccess || head.isSealed);
    const isFailure = !isSuccess && status >= 500;
    if (
      !isSound ||
      (isFailure &&
        (this.reply !== null ||
          (this.view.mayRepeat && this.arrivals < this.view.way.shots && this.front.budget.left(this.pool) > 0)))
    ) {
      shot.abort();
      this.discard(receipt.value);
      tracks.failed(track);
      return {
        k: 'may have run',
        cause: isSound ? `the replica answered ${status}` : "the answer is not this request's",
      };
    }
    if (!isSuccess && this.reply !== null) {
      shot.abort();
      this.discard(receipt.value);
      return { k: 'may have run', cause: `the replica answered ${status} to a resumption` };
    }
    if (promises.has(status)) {
      shot.abort();
      this.discard(receipt.value);
      tracks.failed(track);
      return { k: 'may have run', cause: `the replica answered ${status} and did not say that it had not run it` };
    }
    for (const [model, version] of Object.entries(head.versions)) tracks.holds(track, model, version);
    const ending = await this.relay(status, list, body, isSuccess, shot, () => {
      shot.given();
      if (isSuccess) tracks.firstSeen(this.pool, ports.clock.now() - shot.sentAt);
      if (isFailure) tracks.failed(track);
      else tracks.answered(track);
      if (isSuccess && placed.anchor !== null && placed.salt !== null) {
        shelves.saw(track.card.address, placed.salt, placed.anchor.id);
        const spentMs = ports.clock.now() - shot.sentAt;
        const isLate = shot.isIdle && this.isStale(placed, shot, spentMs);
        if (shot.isAlone && !isLate) tracks.measured(placed.readTokens, spentMs - placed.pullMs);
        if (shot.isIdle && !isLate && shot.aheadTokens() === 0 && (placed.readsAll || placed.claim?.pullMs === null))
          tracks.sampled(track, this.order.tokensIn - (placed.claim?.tokens ?? 0), spentMs);
      }
    });
    if (ending.k !== 'whole') {
      shot.abort();
      if (ending.k === 'may have run') tracks.failed(track);
    }
    return ending;
  };

  private readonly isStale = (
    { claim, secondClaim, track }: WayPlace,
    { sentAt, aheadTokens }: { sentAt: number; aheadTokens: () => number },
    spentMs: number,
  ): boolean => {
    const { tracks, shelves } = this.front;
    const isLate = (one: KeptClaim | null): boolean => {
      if (one === null) return false;
      const restTokens = Math.max(0, this.order.tokensIn - one.tokens);
      return this.front.compare(
        {
          claim: one,
          restTokens,
          aheadTokens: aheadTokens(),
          tokensPerMs: tracks.readingRate(track),
          isHeard: shelves.isHeard(one.address),
          sentAt,
        },
        spentMs,
      );
    };
    const [isFirstLate, isSecondLate] = [isLate(claim), isLate(secondClaim)];
    return isFirstLate || isSecondLate;
  };

  private readonly drain = async (receipt: CarriageReceipt): Promise<void> => {
    try {
      for await (const bytes of receipt.body) if (bytes.length > 65_536) return;
    } catch {
      return;
    }
  };

  private readonly turnedAway = ({ track }: WayPlace, head: ReceiptHead): void => {
    const { tracks, tally } = this.front;
    tally.add('shots_turned_away');
    this.front.ports.log.info('turned away', {
      replica: track.card.id,
      running: track.running,
      head,
      resting: track.restUntil - this.front.ports.clock.now(),
    });
    for (const [model, version] of Object.entries(head.versions)) tracks.holds(track, model, version);
    if (head.isElsewhere) tracks.failed(track);
    else tracks.full(track, head.retryAfterMs ?? fullRestMs);
  };

  private readonly relay = async (
    status: number,
    list: readonly string[],
    body: AsyncIterable<Uint8Array>,
    isSuccess: boolean,
    shot: { heardOf: () => void; whenStopped: Promise<Stop> },
    first: () => void,
  ): Promise<Ending> => {
    const { way } = this.view;
    const cutter = isSuccess && way.kind === 'stream' && way.mayResume ? new EventCutter() : null;
    const steps = body[Symbol.asyncIterator]();
    let isFirst = true;
    const begin = (): Reply => {
      if (isFirst) first();
      isFirst = false;
      this.reply ??= this.call.answer(status, this.front.replyHeaders(list, cutter !== null), false);
      return this.reply;
    };
    for (;;) {
      let step: IteratorResult<Uint8Array> | Stop;
      try {
        step = await Promise.race([steps.next(), shot.whenStopped]);
      } catch (cause) {
        return { k: 'may have run', cause: `the stream broke: ${(cause as { code?: string }).code ?? 'unknown'}` };
      }
      if (typeof step === 'string') {
        if (step === 'caller left') {
          this.leave();
          return { k: 'over' };
        }
        return { k: 'may have run', cause: `the stream was left: ${step}` };
      }
      if (step.done === true) {
        const reply = begin();
        const rest = cutter?.left();
        if (rest !== undefined && rest.length > 0) await reply.write(rest);
        reply.end();
        this.isEnded = true;
        return { k: 'whole' };
      }
      shot.heardOf();
      if (cutter === null) {
        await begin().write(step.value);
        continue;
      }
      for (const event of cutter.take(step.value)) {
        if (this.isRepeat(event.id)) continue;
        await begin().write(event.bytes);
        this.hasEvents = true;
        if (event.id !== null) this.lastId = event.id;
      }
    }
  };

  private readonly isRepeat = (id: string | null): boolean => {
    if (id === null || this.lastId === null) return false;
    const [told, last] = [Number(id), Number(this.lastId)];
    return Number.isFinite(told) && Number.isFinite(last) ? told <= last : id === this.lastId;
  };
}
