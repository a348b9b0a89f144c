/** One attempt of a request at one replica: timeouts, outcome, and what it shows about the replica. */
import { background } from '@martenworks/core-types';
import type {
  HttpResponseHead,
  HttpClientResponse,
  Timer,
  NetworkError,
  ResponseMetadata,
} from '@martenworks/core-types';
import type { ResponseRelay } from './responseRelay.js';
import { headerLists } from '../ingress/headerLists.js';
import type { Admission, EdgeContext } from '../edgeContext.js';
import { PromptTiming, placementMetrics } from '../prefixcache/promptTiming.js';
import { OldWeightsReport } from './oldWeightsReport.js';
import { retryPolicy } from './retryPolicy.js';
import type { AttemptOutcome, StopCause } from './retryPolicy.js';
import type { Placement } from '../routing/placement.js';

const defaultFullBackoffMs = 150;
const maxDrainedBytes = 65_536;
const abandonRecheckMs = 100;
const notSent: AttemptOutcome = { kind: 'not run', wasDelivered: false, retryAfterMs: null };

/** Progress of a request across its attempts, which run one after another and update it. */
export interface RequestProgress {
  /** Attempts made. */
  attempts: number;
  /** Attempts that may have reached a replica. */
  deliveredAttempts: number;
  /** True once a byte was written to a replica; an attempt that certainly did not run restores the previous value. */
  mayHaveRun: boolean;
}

/** What an attempt needs of its request. `cancelSignal` aborts when the caller disconnects or the deadline passes. */
export interface AttemptRequest {
  readonly admission: Admission;
  readonly progress: RequestProgress;
  readonly relay: ResponseRelay;
  readonly cancelSignal: AbortSignal;
  readonly cancelCause: () => StopCause;
  readonly remainingMs: () => number;
  /** Whether another replica could run the request now, so that an unresponsive one may be abandoned. */
  readonly hasAnotherReplica: (placed: Placement) => boolean;
}

/** One attempt at one replica, from sending the request to the end of the response or to abandoning the replica. */
export class Attempt {
  private readonly abort = new AbortController();
  private readonly stopped: Promise<StopCause>;
  private resolveStopped: (cause: StopCause) => void = () => {};
  private readonly cancelled: Promise<StopCause>;
  private resolveCancelled: (cause: StopCause) => void = () => {};
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
    const { route, isRetryable } = admission.view;
    this.stopped = new Promise((resolve) => {
      this.resolveStopped = resolve;
    });
    this.cancelled = new Promise((resolve) => {
      this.resolveCancelled = resolve;
    });
    this.timing = new PromptTiming(context, admission, placed, relay.resumeAfter() !== null);
    this.oldWeights = new OldWeightsReport(context, admission, placed);
    this.mayAbandon = isRetryable && progress.attempts + 1 < route.maxAttempts;
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

  /** Sends the request, forwards the response and returns the outcome. Must be called once only. */
  readonly run = async (): Promise<AttemptOutcome> => {
    const { tracked } = this.placed;
    const { cancelSignal } = this.request;
    cancelSignal.addEventListener('abort', this.onCancelled, { once: true });
    tracked.removalListeners.add(this.onReplicaRemoved);
    this.recordStart();
    try {
      const sending = this.send();
      const response = await Promise.race([sending, this.stopped]);
      if (this.isWritten) this.request.progress.deliveredAttempts += 1;
      if (typeof response === 'string') {
        background.run(
          'discard a late response',
          sending.then((late) => late.map(this.discard)),
        );
        return this.isWritten ? { kind: 'may have run', cause: `attempt abandoned: ${response}` } : notSent;
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

  private readonly recordStart = (): void => {
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
    const remainingMs = this.limitStart();
    return ports.httpClient.send({
      method: call.method,
      url: `http://${endpoint.address}${call.target}`,
      headers: headerCodec.attemptHeaders(headerLists.endToEnd(call.headers), {
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
   * Limits the time within which the request may start on superseded weights, and returns the remaining time, in
   * milliseconds, to send to the replica. That is the shorter of the time to the deadline and the start window. When it
   * has passed, the replica drops the request and, unless it has started it, reports that it did not run. A request whose
   * deadline is more than `versionMs` away is sent its full remaining time; the edge itself abandons it if it has not
   * started within the window.
   */
  private readonly limitStart = (): number => {
    const remainingMs = Math.max(1, Math.floor(this.request.remainingMs()));
    this.startWithinMs = Math.min(remainingMs, this.startWindowMs());
    if (remainingMs <= this.context.settings.versionMs) return Math.max(1, Math.floor(this.startWithinMs));
    if (this.startWithinMs < remainingMs)
      this.startTimer = this.context.ports.clock.after(this.startWithinMs, () => this.stop('weights superseded'));
    return remainingMs;
  };

  private readonly startWindowMs = (): number => {
    const { model } = this.request.admission.metadata;
    const { version } = this.placed;
    return model === null || version === null ? Infinity : this.context.weightsTargets.startWindowMs(model, version);
  };

  private readonly mayStillStart = (): boolean => {
    const { model } = this.request.admission.metadata;
    const { version } = this.placed;
    if (model === null || version === null) return true;
    return this.context.weightsTargets.mayStartWithin(model, version, this.startWithinMs);
  };

  /** Called just before the first byte is written; returns false if the admission or the placement is no longer valid. */
  private readonly gate = (): boolean => {
    const { tracked } = this.placed;
    const isReplicaAvailable =
      !tracked.endpoint.isLeaving && !tracked.isRemoved && !this.context.replicaTracker.health.isUnavailable(tracked);
    if (this.stopCause !== null || !isReplicaAvailable || !this.mayStillStart()) return false;
    if (!this.context.isStillAdmitted(this.request.admission)) return false;
    this.isWritten = true;
    this.request.progress.mayHaveRun = true;
    return true;
  };

  private readonly headOf = (status: number, headers: readonly string[]): ResponseMetadata => {
    const { metadata } = this.request.admission;
    return this.context.headerCodec.responseMetadata(status, headers, metadata.id, metadata.model);
  };

  /** Whether the head belongs to this request, and the end of its body is distinguishable from a broken connection. */
  private readonly isAcceptable = ({ status, headers, isDelimited }: HttpResponseHead): boolean => {
    if (!isDelimited) this.context.metrics.add('answers_undelimited');
    return isDelimited && this.headOf(status, headers).isForRequest;
  };

  private readonly stop = (cause: StopCause): void => {
    if (this.stopCause !== null) return;
    this.stopCause = cause;
    this.abort.abort();
    this.resolveStopped(cause);
  };

  private readonly onCancelled = (): void => {
    const cause = this.request.cancelCause();
    this.resolveCancelled(cause);
    this.stop(cause);
  };

  private readonly onReplicaRemoved = (): void => this.stop('replica removed');

  private readonly canAbandonNow = (): boolean =>
    this.mayAbandon &&
    !this.context.isClosing &&
    this.context.retryBudget.remaining(this.request.admission.pool) > 0 &&
    this.request.hasAnotherReplica(this.placed);

  /** Abandons an unresponsive replica once another one can take over; until then keeps waiting and checks again. */
  private readonly abandonIfPossible = (): void => {
    if (this.canAbandonNow()) this.stop('idle timeout');
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
    if (this.request.relay.isContinuable()) this.abandonIfPossible();
  };

  /** The replica isn't waited for while its caller takes the chunk. */
  private readonly onChunk = (): void => this.idleTimer.cancel();

  private readonly onForwarded = (): void => {
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
    if (this.isWritten && !isUnsent)
      return { kind: 'may have run', cause: `connection to the replica failed: ${code}` };
    this.markNotRun();
    if (this.isWritten) this.request.progress.deliveredAttempts -= 1;
    return notSent;
  };

  private readonly mayTryAnother = (): boolean => {
    const { view, pool } = this.request.admission;
    const { deliveredAttempts } = this.request.progress;
    return (
      view.isRetryable && deliveredAttempts < view.route.maxAttempts && this.context.retryBudget.remaining(pool) > 0
    );
  };

  private readonly handleResponse = async (response: HttpClientResponse): Promise<AttemptOutcome> => {
    const { replicaTracker } = this.context;
    const { tracked } = this.placed;
    const { status } = response;
    const headers = response.headers();
    const head = this.headOf(status, headers);
    const { relay } = this.request;
    const verdict = retryPolicy.headVerdict(status, head, {
      hasResponseStarted: relay.hasStarted(),
      isContinuation: relay.continues({ status, headers }),
      mayTryAnother: this.mayTryAnother(),
    });
    if (verdict.kind === 'rejected') return this.handleRejection(response, head);
    if (verdict.kind === 'discard') {
      this.abort.abort();
      this.discard(response);
      if (verdict.isReplicaFailure) replicaTracker.health.recordFailure(tracked);
      return { kind: 'may have run', cause: verdict.cause };
    }
    for (const [model, version] of Object.entries(head.versions)) replicaTracker.recordWeights(tracked, model, version);
    const { route } = this.request.admission.view;
    const { isSuccess, isFailure } = verdict;
    const outcome = await relay.forward(
      { status, headers, body: response.body, isResumable: isSuccess && route.kind === 'stream' && route.isResumable },
      {
        onFirstChunk: () => this.onFirstChunk(isSuccess, isFailure),
        onChunk: this.onChunk,
        onForwarded: this.onForwarded,
        stopped: this.stopped,
        cancelled: this.cancelled,
      },
    );
    if (outcome.kind !== 'complete') this.abort.abort();
    if (outcome.kind === 'may have run') replicaTracker.health.recordFailure(tracked);
    return outcome;
  };

  private readonly handleRejection = (response: HttpClientResponse, head: ResponseMetadata): AttemptOutcome => {
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
    if (head.isFromOtherReplica) replicaTracker.health.recordFailure(tracked);
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

  /** Reads a rejection to its end so that the connection can be reused, unless it is long. */
  private readonly drain = async (response: HttpClientResponse): Promise<void> => {
    let drainedBytes = 0;
    try {
      for await (const bytes of response.body) {
        drainedBytes += bytes.length;
        if (drainedBytes > maxDrainedBytes) return;
      }
    } catch {
      return;
    }
  };
}
