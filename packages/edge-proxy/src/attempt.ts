import { background } from '@martenworks/core-types';
import type { AnswerHead, CarriageReceipt, ClockEvent, NetFault, ReceiptHead } from '@martenworks/core-types';
import type { AnswerRelay } from './answerRelay.js';
import { headerLists } from './call.js';
import type { Admission, EdgeContext } from './edgeContext.js';
import { PromptTiming, placementNames } from './promptTiming.js';
import { retryPolicy } from './retryPolicy.js';
import type { AttemptOutcome, StopCause } from './retryPolicy.js';
import type { WayPlace } from './wayPlacing.js';

const fullRestMs = 150;
const largestDrainedBytes = 65_536;
const notSent: AttemptOutcome = { kind: 'not run', isArrival: false, retryAfterMs: null };

/** What a request has gone through so far; its attempts, which follow one another, keep it. */
export interface RequestProgress {
  /** Attempts made, and those of them that may have reached a replica. */
  attempts: number;
  arrivals: number;
  /** True from the first byte that is written on; an attempt that did not run sets it back to what it was before. */
  mayHaveRun: boolean;
}

/** What an attempt needs of its request. `quit` aborts when the caller leaves or the time is over. */
export interface AttemptRequest {
  readonly admission: Admission;
  readonly progress: RequestProgress;
  readonly relay: AnswerRelay;
  readonly quit: AbortSignal;
  readonly quitCause: () => StopCause;
  readonly leftMs: () => number;
}

/** One sending of a request to one replica: from the gate to the end of the answer, or to the moment when the replica is left. */
export class Attempt {
  private readonly abort = new AbortController();
  private readonly stopped: Promise<StopCause>;
  private tellStopped: (cause: StopCause) => void = () => {};
  private stopCause: StopCause | null = null;
  private readonly timing: PromptTiming;
  private readonly mayLeave: boolean;
  private readonly mightHaveRunBefore: boolean;
  private readonly firstPatienceMs: number;
  private readonly gapPatienceMs: number;
  private silence: ClockEvent;
  private isWritten = false;

  constructor(
    private readonly context: EdgeContext,
    private readonly request: AttemptRequest,
    private readonly placed: WayPlace,
  ) {
    const { tracks, ports } = context;
    const { admission, progress, relay } = request;
    const { way, mayRepeat } = admission.view;
    this.stopped = new Promise((settle) => {
      this.tellStopped = settle;
    });
    this.timing = new PromptTiming(context, admission, placed, relay.resumeAfter() !== null);
    this.mayLeave = mayRepeat && progress.attempts + 1 < way.shots;
    this.mightHaveRunBefore = progress.mayHaveRun;
    const { costMs } = placed;
    const typicalFirstMs = tracks.typicalFirstMs(admission.pool);
    this.firstPatienceMs = retryPolicy.firstPatienceMs({ targetMs: way.targetMs, costMs, typicalFirstMs });
    this.gapPatienceMs = retryPolicy.gapPatienceMs(way, request.leftMs());
    const patienceMs = this.mayLeave ? this.firstPatienceMs : this.firstPatienceMs * 2;
    this.silence = ports.clock.after(patienceMs, this.firstIsLate);
  }

  /** Sends the request, passes its answer on, and tells how that ended. Runs once. */
  readonly run = async (): Promise<AttemptOutcome> => {
    const { track } = this.placed;
    const { quit } = this.request;
    quit.addEventListener('abort', this.quitted, { once: true });
    track.whenGone.add(this.replicaGone);
    this.begin();
    try {
      const carried = this.carry();
      const receipt = await Promise.race([carried, this.stopped]);
      if (this.isWritten) this.request.progress.arrivals += 1;
      if (typeof receipt === 'string') {
        background.run(
          'discard a late response',
          carried.then((late) => late.map(this.discard)),
        );
        return this.isWritten ? { kind: 'may have run', cause: `the replica was left: ${receipt}` } : notSent;
      }
      return receipt.isErr() ? this.failed(receipt.error) : await this.answered(receipt.value);
    } finally {
      this.silence.cancel();
      this.timing.promptRead();
      this.context.tracks.ended(track);
      track.whenGone.delete(this.replicaGone);
      quit.removeEventListener('abort', this.quitted);
    }
  };

  private readonly begin = (): void => {
    const { tracks, tally, budget } = this.context;
    const { progress, admission } = this.request;
    this.timing.promptSent();
    progress.attempts += 1;
    tally.add(placementNames.of(this.placed));
    if (progress.attempts === 1) budget.first(admission.pool);
    tracks.began(this.placed.track, this.placed.readTokens);
  };

  private readonly carry = () => {
    const { ports, wire } = this.context;
    const { call, customer, view, body } = this.request.admission;
    const { track, salt, version, holder, store } = this.placed;
    const { card } = track;
    return ports.carriage.carry({
      method: call.method,
      url: `http://${card.address}${call.target}`,
      headers: wire.shotHeaders(headerLists.endToEnd(call.headers), {
        replica: card.id,
        leftMs: Math.max(1, Math.floor(this.request.leftMs())),
        tenant: customer?.name ?? null,
        urgency: customer?.rank ?? view.way.rank,
        salt,
        version,
        holder,
        store,
        resumeAfter: this.request.relay.resumeAfter(),
      }),
      body: body.length === 0 ? null : body,
      signal: this.abort.signal,
      gate: this.gate,
      accepts: this.isAcceptable,
    });
  };

  /** Asked as the first byte is about to be written: whatever the request was admitted by and placed on must still hold. */
  private readonly gate = (): boolean => {
    const { track } = this.placed;
    const isReplicaOpen = !track.card.isLeaving && !track.isGone && !this.context.tracks.isResting(track);
    if (this.stopCause !== null || !isReplicaOpen || !this.context.isStanding(this.request.admission)) return false;
    this.isWritten = true;
    this.request.progress.mayHaveRun = true;
    return true;
  };

  private readonly headOf = (status: number, headers: readonly string[]): ReceiptHead => {
    const { order } = this.request.admission;
    return this.context.wire.receiptHead(status, headers, order.id, order.model);
  };

  /** Whether a head belongs to this request, and its answer's end can be told from a broken connection. */
  private readonly isAcceptable = ({ status, headers, isDelimited }: AnswerHead): boolean => {
    if (!isDelimited) this.context.tally.add('answers_undelimited');
    return isDelimited && this.headOf(status, headers).isOwn;
  };

  private readonly stop = (cause: StopCause): void => {
    if (this.stopCause !== null) return;
    this.stopCause = cause;
    this.abort.abort();
    this.tellStopped(cause);
  };

  private readonly quitted = (): void => this.stop(this.request.quitCause());

  private readonly replicaGone = (): void => this.stop('gone');

  private readonly mayStillLeave = (): boolean =>
    this.mayLeave && !this.context.isClosing && this.context.budget.left(this.request.admission.pool) > 0;

  private readonly firstIsLate = (): void => {
    const { tracks } = this.context;
    tracks.slow(this.placed.track);
    tracks.firstSeen(this.request.admission.pool, this.firstPatienceMs);
    if (this.mayStillLeave()) this.stop('silent');
  };

  private readonly pieceIsLate = (): void => {
    this.context.tracks.slow(this.placed.track);
    if (this.request.admission.view.way.mayResume && this.mayStillLeave()) this.stop('silent');
  };

  private readonly heardPiece = (): void => {
    this.silence.cancel();
    this.silence = this.context.ports.clock.after(this.gapPatienceMs, this.pieceIsLate);
  };

  private readonly takeBack = (): void => {
    this.request.progress.mayHaveRun = this.mightHaveRunBefore;
  };

  private readonly failed = ({ code, isUnsent }: NetFault): AttemptOutcome => {
    const { tracks, tally } = this.context;
    if (code === 'GATED') return notSent;
    tracks.failed(this.placed.track);
    tally.add('shots_failed');
    if (this.isWritten && !isUnsent) return { kind: 'may have run', cause: `the replica broke off: ${code}` };
    this.takeBack();
    if (this.isWritten) this.request.progress.arrivals -= 1;
    return notSent;
  };

  private readonly mayTryAnother = (): boolean => {
    const { view, pool } = this.request.admission;
    const { arrivals } = this.request.progress;
    return view.mayRepeat && arrivals < view.way.shots && this.context.budget.left(pool) > 0;
  };

  private readonly answered = async (receipt: CarriageReceipt): Promise<AttemptOutcome> => {
    const { tracks } = this.context;
    const { track } = this.placed;
    const { status } = receipt;
    const headers = receipt.headers();
    const head = this.headOf(status, headers);
    const hasReply = this.request.relay.hasReply();
    const verdict = retryPolicy.headVerdict(status, head, { hasReply, mayTryAnother: this.mayTryAnother() });
    if (verdict.kind === 'turned away') return this.turnedAway(receipt, head);
    if (verdict.kind === 'drop') {
      this.abort.abort();
      this.discard(receipt);
      if (verdict.holdsAgainst) tracks.failed(track);
      return { kind: 'may have run', cause: verdict.cause };
    }
    for (const [model, version] of Object.entries(head.versions)) tracks.holds(track, model, version);
    const { way } = this.request.admission.view;
    const { isSuccess, isFailure } = verdict;
    const outcome = await this.request.relay.pass(
      { status, headers, body: receipt.body, isResumable: isSuccess && way.kind === 'stream' && way.mayResume },
      { onFirst: () => this.firstPiece(isSuccess, isFailure), onPiece: this.heardPiece, stopped: this.stopped },
    );
    if (outcome.kind !== 'whole') this.abort.abort();
    if (outcome.kind === 'may have run') tracks.failed(track);
    return outcome;
  };

  private readonly turnedAway = (receipt: CarriageReceipt, head: ReceiptHead): AttemptOutcome => {
    const { tracks, tally, ports } = this.context;
    const { track } = this.placed;
    this.takeBack();
    tally.add('shots_turned_away');
    ports.log.info('turned away', {
      replica: track.card.id,
      running: track.running,
      head,
      resting: track.restUntil - ports.clock.now(),
    });
    for (const [model, version] of Object.entries(head.versions)) tracks.holds(track, model, version);
    if (head.isElsewhere) tracks.failed(track);
    else tracks.full(track, head.retryAfterMs ?? fullRestMs);
    background.run('drain a rejected response', this.drain(receipt));
    return { kind: 'not run', isArrival: true, retryAfterMs: head.retryAfterMs };
  };

  private readonly firstPiece = (isSuccess: boolean, isFailure: boolean): void => {
    const { tracks } = this.context;
    const { track } = this.placed;
    this.timing.promptRead();
    const spentMs = this.timing.spentMs();
    if (isSuccess) tracks.firstSeen(this.request.admission.pool, spentMs);
    if (isFailure) tracks.failed(track);
    else tracks.answered(track);
    if (isSuccess) this.timing.learn(spentMs);
  };

  private readonly discard = (receipt: CarriageReceipt): void => {
    void receipt.body[Symbol.asyncIterator]().return?.();
  };

  /** Reads a refusal to its end, so that its connection can be kept. */
  private readonly drain = async (receipt: CarriageReceipt): Promise<void> => {
    try {
      for await (const bytes of receipt.body) if (bytes.length > largestDrainedBytes) return;
    } catch {
      return;
    }
  };
}
