/** One attempt of a request at one replica: timeouts, outcome and what it teaches of the replica. */
import { background } from '@martenworks/core-types';
import type { AnswerHead, HttpClientResponse, Timer, NetworkError, ResponseHead } from '@martenworks/core-types';
import type { ResponseRelay } from './responseRelay.js';
import { headerLists } from '../ingress/headerLists.js';
import type { Admission, EdgeContext } from '../edgeContext.js';
import { PromptTiming, placementMetrics } from '../prefixcache/promptTiming.js';
import { OldWeightsReport } from './oldWeightsReport.js';
import { retryPolicy } from './retryPolicy.js';
import type { AttemptOutcome, StopCause } from './retryPolicy.js';
import type { Placement } from '../routing/placement.js';

const defaultFullBackoffMs = 150;
const maxDrainedChunkBytes = 65_536;
const abandonRecheckMs = 100;
const notSent: AttemptOutcome = { kind: 'not run', wasDelivered: false, retryAfterMs: null };

/** What a request has gone through so far; its attempts, which follow one another, keep it. */
export interface RequestProgress {
  /** Attempts made, and those of them that may have reached a replica. */
  attempts: number;
  deliveredAttempts: number;
  /** True from the first byte that is written on; an attempt that did not run sets it back to what it was before. */
  mayHaveRun: boolean;
}

/** What an attempt needs of its request. `quit` aborts when the caller leaves or the time is over. */
export interface AttemptRequest {
  readonly admission: Admission;
  readonly progress: RequestProgress;
  readonly relay: ResponseRelay;
  readonly cancelSignal: AbortSignal;
  readonly cancelCause: () => StopCause;
  readonly remainingMs: () => number;
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
  private resolveStopped: (cause: StopCause) => void = () => {};
  private stopCause: StopCause | null = null;
  private readonly timing: PromptTiming;
  private readonly oldWeights: OldWeightsReport;
  private readonly mayAbandon: boolean;
  private readonly mightHaveRunBefore: boolean;
  private readonly firstChunkTimeoutMs: number;
  private readonly streamIdleTimeoutMs: number;
  private idleTimer: Timer;
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
      this.resolveStopped = resolve;
    });
    this.timing = new PromptTiming(context, admission, placed, relay.resumeAfter() !== null);
    this.oldWeights = new OldWeightsReport(context, admission, placed);
    this.mayAbandon = mayRepeat && progress.attempts + 1 < route.maxAttempts;
    this.mightHaveRunBefore = progress.mayHaveRun;
    const { costMs } = placed;
    const typicalFirstChunkMs = replicaTracker.prefillRates.typicalFirstChunkMs(admission.pool);
    this.firstChunkTimeoutMs = retryPolicy.firstChunkTimeoutMs({
      targetMs: route.latencyTargetMs,
      costMs,
      typicalFirstChunkMs,
    });
    this.streamIdleTimeoutMs = retryPolicy.streamIdleTimeoutMs(route, request.remainingMs());
    const timeoutMs = this.mayAbandon ? this.firstChunkTimeoutMs : this.firstChunkTimeoutMs * 2;
    this.idleTimer = ports.clock.after(timeoutMs, this.onFirstChunkLate);
  }

  /** Sends the request, passes its answer on, and tells how that ended. Runs once. */
  readonly run = async (): Promise<AttemptOutcome> => {
    const { tracked } = this.placed;
    const { cancelSignal } = this.request;
    cancelSignal.addEventListener('abort', this.onCancelled, { once: true });
    tracked.removalListeners.add(this.onReplicaRemoved);
    this.begin();
    try {
      const sending = this.send();
      const response = await Promise.race([sending, this.stopped]);
      if (this.isWritten) this.request.progress.deliveredAttempts += 1;
      if (typeof response === 'string') {
        background.run(
          'discard a late response',
          sending.then((late) => late.map(this.discard)),
        );
        return this.isWritten ? { kind: 'may have run', cause: `the replica was left: ${response}` } : notSent;
      }
      return response.isErr() ? this.handleNetworkError(response.error) : await this.handleResponse(response.value);
    } finally {
      this.idleTimer.cancel();
      this.startTimer?.cancel();
      this.timing.endPrefill();
      this.context.replicaTracker.recordEnd(tracked);
      tracked.removalListeners.delete(this.onReplicaRemoved);
      cancelSignal.removeEventListener('abort', this.onCancelled);
    }
  };

  private readonly begin = (): void => {
    const { replicaTracker, metrics, retryBudget } = this.context;
    const { progress, admission } = this.request;
    this.timing.announcePrefill();
    progress.attempts += 1;
    metrics.add(placementMetrics.of(this.placed));
    if (progress.attempts === 1) retryBudget.recordFirstAttempt(admission.pool);
    replicaTracker.recordStart(this.placed.tracked, this.placed.prefillTokens);
  };

  private readonly send = () => {
    const { ports, headerCodec } = this.context;
    const { call, customer, view, body } = this.request.admission;
    const { tracked, salt, version, holder, store } = this.placed;
    const { endpoint } = tracked;
    const remainingMs = this.boundStart();
    return ports.httpClient.send({
      method: call.method,
      url: `http://${endpoint.address}${call.target}`,
      headers: headerCodec.attemptHeaders(headerLists.endToEnd(call.headers), {
        replica: endpoint.id,
        leftMs: remainingMs,
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
    const remainingMs = Math.max(1, Math.floor(this.request.remainingMs()));
    this.startWithinMs = Math.min(remainingMs, this.startWindowMs());
    if (remainingMs <= this.context.settings.versionMs) return Math.max(1, Math.floor(this.startWithinMs));
    if (this.startWithinMs < remainingMs)
      this.startTimer = this.context.ports.clock.after(this.startWithinMs, () => this.stop('old weights'));
    return remainingMs;
  };

  private readonly startWindowMs = (): number => {
    const { model } = this.request.admission.metadata;
    const { version } = this.placed;
    return model === null || version === null ? Infinity : this.context.weightsTargets.startWindowMs(model, version);
  };

  private readonly mayStillBegin = (): boolean => {
    const { model } = this.request.admission.metadata;
    const { version } = this.placed;
    if (model === null || version === null) return true;
    return this.context.weightsTargets.mayStartWithin(model, version, this.startWithinMs);
  };

  /**
   * Asked as the first byte is about to be written: whatever the request was admitted by and placed on must still hold.
   */
  private readonly gate = (): boolean => {
    const { tracked } = this.placed;
    const isReplicaOpen =
      !tracked.endpoint.isLeaving && !tracked.isRemoved && !this.context.replicaTracker.health.isUnavailable(tracked);
    if (this.stopCause !== null || !isReplicaOpen || !this.mayStillBegin()) return false;
    if (!this.context.isStillAdmitted(this.request.admission)) return false;
    this.isWritten = true;
    this.request.progress.mayHaveRun = true;
    return true;
  };

  private readonly headOf = (status: number, headers: readonly string[]): ResponseHead => {
    const { metadata } = this.request.admission;
    return this.context.headerCodec.responseHead(status, headers, metadata.id, metadata.model);
  };

  /** Whether a head belongs to this request, and its answer's end can be told from a broken connection. */
  private readonly isAcceptable = ({ status, headers, isDelimited }: AnswerHead): boolean => {
    if (!isDelimited) this.context.metrics.add('answers_undelimited');
    return isDelimited && this.headOf(status, headers).isOwn;
  };

  private readonly stop = (cause: StopCause): void => {
    if (this.stopCause !== null) return;
    this.stopCause = cause;
    this.abort.abort();
    this.resolveStopped(cause);
  };

  private readonly onCancelled = (): void => this.stop(this.request.cancelCause());

  private readonly onReplicaRemoved = (): void => this.stop('gone');

  private readonly canAbandonNow = (): boolean =>
    this.mayAbandon &&
    !this.context.isClosing &&
    this.context.retryBudget.remaining(this.request.admission.pool) > 0 &&
    this.request.hasAnotherReplica(this.placed);

  /** Leaves a silent replica once another one can take over; until then it is waited for: it may yet go on. */
  private readonly abandonIfPossible = (): void => {
    if (this.canAbandonNow()) this.stop('silent');
    else if (this.mayAbandon) this.idleTimer = this.context.ports.clock.after(abandonRecheckMs, this.abandonIfPossible);
  };

  private readonly onFirstChunkLate = (): void => {
    const { replicaTracker } = this.context;
    replicaTracker.health.recordSlow(this.placed.tracked);
    replicaTracker.prefillRates.recordFirstChunk(this.request.admission.pool, this.firstChunkTimeoutMs);
    this.abandonIfPossible();
  };

  private readonly onChunkLate = (): void => {
    this.context.replicaTracker.health.recordSlow(this.placed.tracked);
    if (this.request.admission.view.route.isResumable) this.abandonIfPossible();
  };

  private readonly onChunk = (): void => {
    this.idleTimer.cancel();
    this.idleTimer = this.context.ports.clock.after(this.streamIdleTimeoutMs, this.onChunkLate);
  };

  private readonly markNotRun = (): void => {
    this.request.progress.mayHaveRun = this.mightHaveRunBefore;
  };

  private readonly handleNetworkError = ({ code, isUnsent }: NetworkError): AttemptOutcome => {
    const { replicaTracker, metrics } = this.context;
    if (code === 'GATED') return notSent;
    replicaTracker.health.recordFailure(this.placed.tracked);
    metrics.add('shots_failed');
    if (this.isWritten && !isUnsent) return { kind: 'may have run', cause: `the replica broke off: ${code}` };
    this.markNotRun();
    if (this.isWritten) this.request.progress.deliveredAttempts -= 1;
    return notSent;
  };

  private readonly mayTryAnother = (): boolean => {
    const { view, pool } = this.request.admission;
    const { deliveredAttempts } = this.request.progress;
    return view.mayRepeat && deliveredAttempts < view.route.maxAttempts && this.context.retryBudget.remaining(pool) > 0;
  };

  private readonly handleResponse = async (response: HttpClientResponse): Promise<AttemptOutcome> => {
    const { replicaTracker } = this.context;
    const { tracked } = this.placed;
    const { status } = response;
    const headers = response.headers();
    const head = this.headOf(status, headers);
    const hasResponseStarted = this.request.relay.hasStarted();
    const verdict = retryPolicy.headVerdict(status, head, { hasResponseStarted, mayTryAnother: this.mayTryAnother() });
    if (verdict.kind === 'connection rejected') return this.handleRejection(response, head);
    if (verdict.kind === 'drop') {
      this.abort.abort();
      this.discard(response);
      if (verdict.isReplicaFailure) replicaTracker.health.recordFailure(tracked);
      return { kind: 'may have run', cause: verdict.cause };
    }
    for (const [model, version] of Object.entries(head.versions)) replicaTracker.recordWeights(tracked, model, version);
    const { route } = this.request.admission.view;
    const { isSuccess, isFailure } = verdict;
    const outcome = await this.request.relay.forward(
      { status, headers, body: response.body, isResumable: isSuccess && route.kind === 'stream' && route.isResumable },
      { onFirstChunk: () => this.onFirstChunk(isSuccess, isFailure), onChunk: this.onChunk, stopped: this.stopped },
    );
    if (outcome.kind !== 'whole') this.abort.abort();
    if (outcome.kind === 'may have run') replicaTracker.health.recordFailure(tracked);
    return outcome;
  };

  private readonly handleRejection = (response: HttpClientResponse, head: ResponseHead): AttemptOutcome => {
    const { replicaTracker, metrics, ports } = this.context;
    const { tracked } = this.placed;
    this.markNotRun();
    metrics.add('shots_turned_away');
    ports.log.info('connection rejected', {
      replica: tracked.endpoint.id,
      running: tracked.running,
      head,
      resting: tracked.loadingUntil - ports.clock.now(),
    });
    for (const [model, version] of Object.entries(head.versions)) replicaTracker.recordWeights(tracked, model, version);
    if (head.isElsewhere) replicaTracker.health.recordFailure(tracked);
    else replicaTracker.health.recordFull(tracked, head.retryAfterMs ?? defaultFullBackoffMs);
    background.run('drain a rejected response', this.drain(response));
    return { kind: 'not run', wasDelivered: true, retryAfterMs: head.retryAfterMs };
  };

  private readonly onFirstChunk = (isSuccess: boolean, isFailure: boolean): void => {
    const { replicaTracker } = this.context;
    const { tracked } = this.placed;
    this.startTimer?.cancel();
    this.timing.endPrefill();
    if (isSuccess) this.oldWeights.recordStart();
    const elapsedMs = this.timing.elapsedMs();
    if (isSuccess) replicaTracker.prefillRates.recordFirstChunk(this.request.admission.pool, elapsedMs);
    if (isFailure) replicaTracker.health.recordFailure(tracked);
    else replicaTracker.health.recordSuccess(tracked);
    if (isSuccess) this.timing.recordFirstChunk(elapsedMs);
  };

  private readonly discard = (response: HttpClientResponse): void => {
    void response.body[Symbol.asyncIterator]().return?.();
  };

  /** Reads a refusal to its end, so that its connection can be kept. */
  private readonly drain = async (response: HttpClientResponse): Promise<void> => {
    try {
      for await (const bytes of response.body) if (bytes.length > maxDrainedChunkBytes) return;
    } catch {
      return;
    }
  };
}
