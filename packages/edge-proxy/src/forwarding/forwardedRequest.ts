/** Lifecycle of an admitted request: placement, successive attempts, and one response or rejection. */
import { ResponseRelay } from './responseRelay.js';
import { Attempt } from './attempt.js';
import type { RequestProgress } from './attempt.js';
import type { Admission, EdgeContext } from '../edgeContext.js';
import { retryPolicy } from './retryPolicy.js';
import type { StopCause } from './retryPolicy.js';
import type { Placement } from '../routing/placement.js';

const placementWaitShare = 0.2;
const placementPollMs = 15;
const minRemainingMs = 15;
/**
 * A replica on superseded weights is eligible only while its start window is at least this many latency targets, or this
 * share of `versionMs` if that is less.
 */
const neededLatencyTargets = 2;
const neededVersionShare = 0.25;
const minRetryAfterMs = 80;
const retryAfterJitterMs = 160;

const statuses = { badGateway: 502, unavailable: 503, gatewayTimeout: 504 } as const;

/** One caller's request: placed, attempted at one or more replicas in turn, and answered once. */
export class ForwardedRequest {
  private readonly arrivedAt: number;
  private readonly deadlineAt: number;
  private readonly relay: ResponseRelay;
  private readonly progress: RequestProgress = { attempts: 0, deliveredAttempts: 0, mayHaveRun: false };
  private readonly avoided = new Set<string>();
  private readonly cancellation = new AbortController();
  private cancelCause: StopCause = 'caller disconnected';
  private isEnded = false;
  private rejectionRetryAfterMs: number | null = null;

  constructor(
    private readonly context: EdgeContext,
    private readonly admission: Admission,
  ) {
    const { call, metadata, view } = admission;
    this.relay = new ResponseRelay(call);
    this.arrivedAt = context.ports.clock.now();
    this.deadlineAt = this.arrivedAt + Math.min(metadata.remainingMs ?? view.route.timeoutMs, view.route.timeoutMs);
    call.onDisconnect(() => this.cancel('caller disconnected'));
  }

  /** Runs the request; resolves once it is answered or its caller has disconnected. */
  readonly run = async (): Promise<void> => {
    const deadline = this.context.ports.clock.after(Math.max(0, this.remainingMs()), () =>
      this.cancel('deadline exceeded'),
    );
    try {
      await this.runAttempts();
    } finally {
      deadline.cancel();
      this.context.metrics.add('calls');
    }
  };

  private readonly runAttempts = async (): Promise<void> => {
    for (;;) {
      const reason = this.failureReason();
      if (reason !== null) return this.fail(reason);
      if (this.hasCallerDisconnected()) return this.endCancelled();
      const placed = await this.place();
      if (placed === null) return this.fail('no replica is available');
      if (this.progress.deliveredAttempts > 0 && !this.context.retryBudget.trySpend(this.admission.pool))
        return this.fail('retry budget exhausted');
      if (await this.attempt(placed)) return;
    }
  };

  private readonly failureReason = (): string | null => {
    if (this.cancellation.signal.aborted) return this.hasCallerDisconnected() ? null : 'deadline exceeded';
    if (this.progress.deliveredAttempts >= this.admission.view.route.maxAttempts)
      return 'maximum number of attempts reached';
    return this.context.isStillAdmitted(this.admission) ? null : 'route or API key no longer valid';
  };

  /** Makes one attempt; returns true if the request ended with it. */
  private readonly attempt = async (placed: Placement): Promise<boolean> => {
    const { admission, progress, relay, remainingMs, hasAnotherReplica } = this;
    this.recordResumption(placed);
    const attempt = new Attempt(
      this.context,
      {
        admission,
        progress,
        relay,
        remainingMs,
        hasAnotherReplica,
        cancelSignal: this.cancellation.signal,
        cancelCause: () => this.cancelCause,
      },
      placed,
    );
    const outcome = await attempt.run();
    this.avoided.add(placed.tracked.endpoint.id);
    switch (outcome.kind) {
      case 'complete':
        this.isEnded = true;
        return true;
      case 'cancelled':
        this.endCancelled();
        return true;
      case 'unread':
        this.endUnread(outcome.cause);
        return true;
      case 'not run':
        if (outcome.wasDelivered) this.rejectionRetryAfterMs = outcome.retryAfterMs;
        return false;
      case 'may have run':
        return !this.continueOrFail(outcome.cause);
    }
  };

  /** Records that another replica is to continue a response that has started. */
  private readonly recordResumption = (placed: Placement): void => {
    const sent = this.relay.progress();
    if (sent === null) return;
    const { metrics, ports } = this.context;
    const { metadata, view } = this.admission;
    metrics.add('answers_resumed');
    ports.log.info('response resumed', {
      order: metadata.id,
      route: view.route.name,
      replica: placed.tracked.endpoint.id,
      status: sent.status,
      forwardedBytes: sent.forwardedBytes,
      lastEventId: sent.lastEventId,
    });
  };

  private readonly continueOrFail = (cause: string): boolean => {
    if (retryPolicy.mayRetry(this.admission.view, this.relay.isContinuable())) return true;
    if (this.hasCallerDisconnected()) this.endCancelled();
    else this.fail(cause);
    return false;
  };

  private readonly cancel = (cause: StopCause): void => {
    if (this.isEnded || this.cancellation.signal.aborted) return;
    this.cancelCause = cause;
    this.cancellation.abort();
  };

  private readonly hasCallerDisconnected = (): boolean =>
    this.cancellation.signal.aborted && this.cancelCause === 'caller disconnected';

  private readonly remainingMs = (): number => this.deadlineAt - this.context.ports.clock.now();

  private readonly endCancelled = (): void => {
    this.isEnded = true;
    this.context.metrics.add('caller_left');
  };

  private readonly endUnread = (cause: string): void => {
    this.isEnded = true;
    this.context.metrics.add('responses_unread');
    this.context.ports.log.info('response not read by the caller', { order: this.admission.metadata.id, cause });
  };

  /** Ends a request that no attempt answered: 503 guarantees that it has not run, 502 and 504 leave that open. */
  private readonly fail = (message: string): void => {
    if (!this.progress.mayHaveRun) this.reject(statuses.unavailable, message, true);
    else
      this.reject(this.remainingMs() <= minRemainingMs ? statuses.gatewayTimeout : statuses.badGateway, message, false);
  };

  private readonly reject = (status: number, message: string, mayRetryLater: boolean): void => {
    if (this.isEnded) return;
    this.isEnded = true;
    const { metrics, ports } = this.context;
    const { call, metadata, view } = this.admission;
    metrics.add(`denied_${status}`);
    ports.log.info('denied', {
      order: metadata.id,
      route: view.route.name,
      status,
      message,
      attempts: this.progress.attempts,
      ms: Math.round(ports.clock.now() - this.arrivedAt),
    });
    if (this.relay.hasStarted()) this.relay.abort();
    else this.context.reject(call, status, message, mayRetryLater ? this.retryAfterMs() : null);
  };

  private readonly retryAfterMs = (): number =>
    this.rejectionRetryAfterMs ?? minRetryAfterMs + retryAfterJitterMs * this.context.ports.random.fraction();

  private readonly placeAvoiding = (avoided: ReadonlySet<string>): Placement | null => {
    const { pool, metadata, customer } = this.admission;
    return this.context.place({ pool, metadata, customer, avoided, neededMs: this.neededMs() });
  };

  private readonly hasAnotherReplica = ({ tracked }: Placement): boolean =>
    this.placeAvoiding(new Set([...this.avoided, tracked.endpoint.id])) !== null;

  private readonly place = async (): Promise<Placement | null> => {
    const { clock } = this.context.ports;
    const { pool } = this.admission;
    const untilAt = this.placementDeadlineAt();
    for (;;) {
      const placed = this.placeAvoiding(this.avoided);
      if (placed !== null || this.cancellation.signal.aborted || clock.now() + placementPollMs > untilAt) return placed;
      if (!this.context.hasUntriedReplica(pool, this.avoided)) return null;
      await new Promise<void>((wake) => void clock.after(placementPollMs, wake));
    }
  };

  private readonly neededMs = (): number =>
    Math.min(
      this.remainingMs(),
      this.admission.view.route.latencyTargetMs * neededLatencyTargets,
      this.context.settings.versionMs * neededVersionShare,
    );

  private readonly placementDeadlineAt = (): number => {
    const waitMs = this.admission.view.route.latencyTargetMs * placementWaitShare;
    const resumptionDeadlineAt = this.relay.hasStarted() ? this.context.ports.clock.now() + waitMs : 0;
    return Math.min(this.deadlineAt, Math.max(this.arrivedAt + waitMs, resumptionDeadlineAt));
  };
}
