/** One attempt of a request at one replica: timeouts, outcome and what it teaches of the replica. */
import { background } from '@martenworks/core-types';
import type {
  HttpResponseHead,
  HttpClientResponse,
  Timer,
  NetworkError,
  ResponseMetadata,
} from '@martenworks/core-types';
import type { AnswerRelay } from './answerRelay.js';
import { headerLists } from '../ingress/headers.js';
import type { Admission, EdgeContext } from '../edgeContext.js';
import { PromptTiming, placementNames } from '../prefixcache/promptTiming.js';
import { OldWeightsReport } from './oldWeightsReport.js';
import { retryPolicy } from './retryPolicy.js';
import type { AttemptOutcome, StopCause } from './retryPolicy.js';
import type { Placement } from '../routing/placement.js';

const fullRestMs = 150;
const largestDrainedBytes = 65_536;
const silenceRecheckMs = 100;
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
  /** Whether another replica could take the request now, so that a silent one may be left for it. */
  readonly hasAnotherReplica: (placed: Placement) => boolean;
}

/**
 * One sending of a request to one replica: from the gate to the end of the answer, or to the moment when the replica is
 * left.
 */
export class Attempt {
  private readonly abort = new AbortController();
  private readonly stopped: Promise<StopCause>;
  private tellStopped: (cause: StopCause) => void = () => {};
  private stopCause: StopCause | null = null;
  private readonly timing: PromptTiming;
  private readonly oldWeights: OldWeightsReport;
  private readonly mayLeave: boolean;
  private readonly mightHaveRunBefore: boolean;
  private readonly firstTimeoutMs: number;
  private readonly gapTimeoutMs: number;
  private silence: Timer;
  private isWritten = false;
  private startWithinMs = Infinity;
  private startTimer: Timer | null = null;

  constructor(
    private readonly context: EdgeContext,
    private readonly request: AttemptRequest,
    private readonly placed: Placement,
  ) {
    const { replicaTracker, ports } = context;
    const { admission, progress, relay } = request;
    const { route, mayRepeat } = admission.view;
    this.stopped = new Promise((resolve) => {
      this.tellStopped = resolve;
    });
    this.timing = new PromptTiming(context, admission, placed, relay.resumeAfter() !== null);
    this.oldWeights = new OldWeightsReport(context, admission, placed);
    this.mayLeave = mayRepeat && progress.attempts + 1 < route.maxAttempts;
    this.mightHaveRunBefore = progress.mayHaveRun;
    const { costMs } = placed;
    const typicalFirstMs = replicaTracker.readRates.typicalFirstMs(admission.pool);
    this.firstTimeoutMs = retryPolicy.firstTimeoutMs({ targetMs: route.latencyTargetMs, costMs, typicalFirstMs });
    this.gapTimeoutMs = retryPolicy.gapTimeoutMs(route, request.leftMs());
    const timeoutMs = this.mayLeave ? this.firstTimeoutMs : this.firstTimeoutMs * 2;
    this.silence = ports.clock.after(timeoutMs, this.firstIsLate);
  }

  /** Sends the request, passes its answer on, and tells how that ended. Runs once. */
  readonly run = async (): Promise<AttemptOutcome> => {
    const { tracked } = this.placed;
    const { quit } = this.request;
    quit.addEventListener('abort', this.quitted, { once: true });
    tracked.whenGone.add(this.replicaGone);
    this.begin();
    try {
      const carried = this.carry();
      const response = await Promise.race([carried, this.stopped]);
      if (this.isWritten) this.request.progress.arrivals += 1;
      if (typeof response === 'string') {
        background.run(
          'discard a late response',
          carried.then((late) => late.map(this.discard)),
        );
        return this.isWritten ? { kind: 'may have run', cause: `the replica was left: ${response}` } : notSent;
      }
      return response.isErr() ? this.failed(response.error) : await this.answered(response.value);
    } finally {
      this.silence.cancel();
      this.startTimer?.cancel();
      this.timing.promptRead();
      this.context.replicaTracker.ended(tracked);
      tracked.whenGone.delete(this.replicaGone);
      quit.removeEventListener('abort', this.quitted);
    }
  };

  private readonly begin = (): void => {
    const { replicaTracker, metrics, budget } = this.context;
    const { progress, admission } = this.request;
    this.timing.promptSent();
    progress.attempts += 1;
    metrics.add(placementNames.of(this.placed));
    if (progress.attempts === 1) budget.first(admission.pool);
    replicaTracker.began(this.placed.tracked, this.placed.readTokens);
  };

  private readonly carry = () => {
    const { ports, wire } = this.context;
    const { call, customer, view, body } = this.request.admission;
    const { tracked, salt, version, holder, store } = this.placed;
    const { endpoint } = tracked;
    const remainingMs = this.boundStart();
    return ports.httpClient.send({
      method: call.method,
      url: `http://${endpoint.address}${call.target}`,
      headers: wire.attemptHeaders(headerLists.endToEnd(call.headers), {
        replica: endpoint.id,
        remainingMs,
        tenant: customer?.name ?? null,
        urgency: customer?.rank ?? view.route.rank,
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

  /**
   * Bounds when the request may begin on old weights, and returns the time that the replica is told. That is what the
   * request has left, and no longer than it may still begin: the replica drops it then, and says so if it has not begun.
   * A request that may run for longer than that is told all it has; the edge itself leaves it if it has not begun.
   */
  private readonly boundStart = (): number => {
    const leftMs = Math.max(1, Math.floor(this.request.leftMs()));
    this.startWithinMs = Math.min(leftMs, this.startWindowMs());
    if (leftMs <= this.context.settings.versionMs) return Math.max(1, Math.floor(this.startWithinMs));
    if (this.startWithinMs < leftMs)
      this.startTimer = this.context.ports.clock.after(this.startWithinMs, () => this.stop('old weights'));
    return leftMs;
  };

  private readonly startWindowMs = (): number => {
    const { model } = this.request.admission.order;
    const { version } = this.placed;
    return model === null || version === null ? Infinity : this.context.weightsTargets.startWindowMs(model, version);
  };

  private readonly mayStillBegin = (): boolean => {
    const { model } = this.request.admission.order;
    const { version } = this.placed;
    if (model === null || version === null) return true;
    return this.context.weightsTargets.mayBeginWithin(model, version, this.startWithinMs);
  };

  /**
   * Asked as the first byte is about to be written: whatever the request was admitted by and placed on must still hold.
   */
  private readonly gate = (): boolean => {
    const { tracked } = this.placed;
    const isReplicaOpen =
      !tracked.endpoint.isLeaving && !tracked.isGone && !this.context.replicaTracker.health.isResting(tracked);
    if (this.stopCause !== null || !isReplicaOpen || !this.mayStillBegin()) return false;
    if (!this.context.isStanding(this.request.admission)) return false;
    this.isWritten = true;
    this.request.progress.mayHaveRun = true;
    return true;
  };

  private readonly headOf = (status: number, headers: readonly string[]): ResponseMetadata => {
    const { order } = this.request.admission;
    return this.context.wire.responseMetadata(status, headers, order.id, order.model);
  };

  /** Whether a head belongs to this request, and its answer's end can be told from a broken connection. */
  private readonly isAcceptable = ({ status, headers, isDelimited }: HttpResponseHead): boolean => {
    if (!isDelimited) this.context.metrics.add('answers_undelimited');
    return isDelimited && this.headOf(status, headers).isForRequest;
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
    this.mayLeave &&
    !this.context.isClosing &&
    this.context.budget.left(this.request.admission.pool) > 0 &&
    this.request.hasAnotherReplica(this.placed);

  /** Leaves a silent replica once another one can take over; until then it is waited for: it may yet go on. */
  private readonly leaveSilent = (): void => {
    if (this.mayStillLeave()) this.stop('silent');
    else if (this.mayLeave) this.silence = this.context.ports.clock.after(silenceRecheckMs, this.leaveSilent);
  };

  private readonly firstIsLate = (): void => {
    const { replicaTracker } = this.context;
    replicaTracker.health.slow(this.placed.tracked);
    replicaTracker.readRates.firstSeen(this.request.admission.pool, this.firstTimeoutMs);
    this.leaveSilent();
  };

  private readonly pieceIsLate = (): void => {
    this.context.replicaTracker.health.slow(this.placed.tracked);
    if (this.request.admission.view.route.isResumable) this.leaveSilent();
  };

  private readonly heardPiece = (): void => {
    this.silence.cancel();
    this.silence = this.context.ports.clock.after(this.gapTimeoutMs, this.pieceIsLate);
  };

  private readonly takeBack = (): void => {
    this.request.progress.mayHaveRun = this.mightHaveRunBefore;
  };

  private readonly failed = ({ code, isUnsent }: NetworkError): AttemptOutcome => {
    const { replicaTracker, metrics } = this.context;
    if (code === 'GATED') return notSent;
    replicaTracker.health.failed(this.placed.tracked);
    metrics.add('shots_failed');
    if (this.isWritten && !isUnsent) return { kind: 'may have run', cause: `the replica broke off: ${code}` };
    this.takeBack();
    if (this.isWritten) this.request.progress.arrivals -= 1;
    return notSent;
  };

  private readonly mayTryAnother = (): boolean => {
    const { view, pool } = this.request.admission;
    const { arrivals } = this.request.progress;
    return view.mayRepeat && arrivals < view.route.maxAttempts && this.context.budget.left(pool) > 0;
  };

  private readonly answered = async (response: HttpClientResponse): Promise<AttemptOutcome> => {
    const { replicaTracker } = this.context;
    const { tracked } = this.placed;
    const { status } = response;
    const headers = response.headers();
    const head = this.headOf(status, headers);
    const hasReply = this.request.relay.hasReply();
    const verdict = retryPolicy.headVerdict(status, head, { hasReply, mayTryAnother: this.mayTryAnother() });
    if (verdict.kind === 'connection rejected') return this.turnedAway(response, head);
    if (verdict.kind === 'drop') {
      this.abort.abort();
      this.discard(response);
      if (verdict.holdsAgainst) replicaTracker.health.failed(tracked);
      return { kind: 'may have run', cause: verdict.cause };
    }
    for (const [model, version] of Object.entries(head.versions)) replicaTracker.holds(tracked, model, version);
    const { route } = this.request.admission.view;
    const { isSuccess, isFailure } = verdict;
    const outcome = await this.request.relay.pass(
      { status, headers, body: response.body, isResumable: isSuccess && route.kind === 'stream' && route.isResumable },
      { onFirst: () => this.firstPiece(isSuccess, isFailure), onPiece: this.heardPiece, stopped: this.stopped },
    );
    if (outcome.kind !== 'whole') this.abort.abort();
    if (outcome.kind === 'may have run') replicaTracker.health.failed(tracked);
    return outcome;
  };

  private readonly turnedAway = (response: HttpClientResponse, head: ResponseMetadata): AttemptOutcome => {
    const { replicaTracker, metrics, ports } = this.context;
    const { tracked } = this.placed;
    this.takeBack();
    metrics.add('shots_turned_away');
    ports.log.info('connection rejected', {
      replica: tracked.endpoint.id,
      running: tracked.running,
      head,
      resting: tracked.restUntil - ports.clock.now(),
    });
    for (const [model, version] of Object.entries(head.versions)) replicaTracker.holds(tracked, model, version);
    if (head.isFromOtherReplica) replicaTracker.health.failed(tracked);
    else replicaTracker.health.full(tracked, head.retryAfterMs ?? fullRestMs);
    background.run('drain a rejected response', this.drain(response));
    return { kind: 'not run', isArrival: true, retryAfterMs: head.retryAfterMs };
  };

  private readonly firstPiece = (isSuccess: boolean, isFailure: boolean): void => {
    const { replicaTracker } = this.context;
    const { tracked } = this.placed;
    this.startTimer?.cancel();
    this.timing.promptRead();
    if (isSuccess) this.oldWeights.began();
    const spentMs = this.timing.spentMs();
    if (isSuccess) replicaTracker.readRates.firstSeen(this.request.admission.pool, spentMs);
    if (isFailure) replicaTracker.health.failed(tracked);
    else replicaTracker.health.answered(tracked);
    if (isSuccess) this.timing.learn(spentMs);
  };

  private readonly discard = (response: HttpClientResponse): void => {
    void response.body[Symbol.asyncIterator]().return?.();
  };

  /** Reads a refusal to its end, so that its connection can be kept. */
  private readonly drain = async (response: HttpClientResponse): Promise<void> => {
    try {
      for await (const bytes of response.body) if (bytes.length > largestDrainedBytes) return;
    } catch {
      return;
    }
  };
}
