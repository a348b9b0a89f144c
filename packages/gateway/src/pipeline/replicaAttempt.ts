/** One attempt of a request at one replica: its state, and what follows if it fails. */
import type { RejectionCode } from '@martenworks/core-types';
import type { Placement } from '@martenworks/prefix-index';
import type { ReplicaAttemptError } from '@martenworks/upstream';
import type { ActiveAttempt, GatewayRequest } from '../gatewayRequest.js';
import type { Grant } from '../state/grants.js';
import type { PlacementStage } from './placementStage.js';
import type { Rejector } from './rejector.js';
import type { StageContext } from './stageContext.js';

/** Statuses for which the request itself is at fault, so that other replicas would reject it too. */
const requestErrorStatuses: ReadonlySet<number> = new Set([400, 413, 414, 415, 422]);
/** Statuses that mean that the replica is full, if the response has a `retry-after` header. */
const replicaFullStatuses: ReadonlySet<number> = new Set([429, 503]);
const msPerSecond = 1_000;

/** The decisions made when the request was placed. */
export interface AttemptPlan {
  readonly placed: Placement;
  readonly grant: Grant;
  /** Weights of the pool at that time. */
  readonly weights: string;
}

/** Where a request goes if its attempt fails. */
export interface AttemptFollowUp {
  readonly rejector: Rejector;
  readonly placementStage: PlacementStage;
  /** Tries another replica if the request and the retry budget allow it; otherwise rejects the request. */
  readonly retry: (request: GatewayRequest, code: RejectionCode, detail: string) => void;
}

/** An attempt, which counts towards its replica's load from its creation until `release`. */
export class ReplicaAttempt implements ActiveAttempt {
  /** The replica's name. */
  readonly replica: string;
  /** The replica's incarnation at the time of placement. */
  readonly incarnation: number;
  /** Time at which the attempt was created, in milliseconds. */
  readonly startedAt: number;
  private readonly attemptId: number;
  private readonly abortController = new AbortController();
  private readonly mightHaveRunBefore: boolean;
  private isSent = false;
  private hasFirstChunk = false;

  constructor(
    private readonly context: StageContext,
    private readonly request: GatewayRequest,
    /** The decisions made when the request was placed. */
    readonly plan: AttemptPlan,
    private readonly followUp: AttemptFollowUp,
  ) {
    const { record, prefilledTokens, costMs } = plan.placed;
    this.replica = record.name;
    this.incarnation = record.incarnation;
    this.attemptId = context.replicaTracker.recordStart(this.replica, prefilledTokens, costMs);
    request.abortController.signal.addEventListener('abort', this.abort, { once: true });
    this.startedAt = context.ports.clock.now();
    this.mightHaveRunBefore = request.mayHaveRun;
  }

  private readonly abort = (): void => this.abortController.abort();

  /** Aborts when the attempt is abandoned or the request ends. */
  get signal(): AbortSignal {
    return this.abortController.signal;
  }

  /** Whether this is still the request's current attempt. */
  get isActive(): boolean {
    return this.request.activeAttempt === this;
  }

  /** Called just before the body is sent; if it returns true, the body is sent and the request may have run. */
  readonly gate = (isSendable: boolean): boolean => {
    this.isSent = this.isActive && isSendable;
    this.request.mayHaveRun ||= this.isSent;
    return this.isSent;
  };

  /** Records that the first chunk arrived. */
  readonly recordFirstChunk = (): void => {
    this.context.replicaTracker.recordFirstChunk(this.replica, this.attemptId, this.plan.placed.prefilledTokens);
    this.hasFirstChunk = true;
  };

  /** Releases the attempt's slot at its replica and places queued requests. */
  readonly release = (): void => {
    const { replicaTracker } = this.context;
    this.request.abortController.signal.removeEventListener('abort', this.abort);
    if (!this.hasFirstChunk)
      replicaTracker.recordPrefilled(this.replica, this.attemptId, this.plan.placed.prefilledTokens);
    replicaTracker.recordEnd(this.replica);
    queueMicrotask(() => this.followUp.placementStage.placeQueued(this.plan.grant.lane.poolName));
  };

  private readonly abandon = (): void => {
    this.request.endAttempt();
    this.release();
    this.abort();
  };

  /** Ends the attempt because its replica was removed or restarted. */
  readonly onReplicaRemoved = (): void => {
    const detail = 'the replica was removed or restarted';
    if (this.request.isRelaying) this.request.truncate(detail);
    else if (this.isSent) this.handleFailure('replica_failed', detail);
    else this.requeue();
  };

  /** Handles an error of the HTTP client or an error status of the replica. */
  readonly handleSendError = (error: ReplicaAttemptError): void => {
    if (error.isUnsent) this.request.mayHaveRun = this.mightHaveRunBefore;
    if (this.request.isEnded) this.release();
    else if (error.cause === 'GATED') this.requeue();
    else this.handleErrorStatus(error);
  };

  /** Queues the request again; no retry is counted, since it was not sent. */
  private readonly requeue = (): void => {
    this.abandon();
    if (this.request.isEnded) return;
    if (this.context.freshness.isFresh()) {
      this.followUp.placementStage.enqueue(this.request);
      return;
    }
    const detail = 'this gateway lost contact with the control nodes before the attempt';
    this.followUp.rejector.reject(this.request, 'not_fresh', detail);
  };

  /** Handles a failure of the replica: it becomes suspect, and the request is not sent to it again. */
  readonly handleFailure = (code: RejectionCode, detail: string): void => {
    if (!this.isActive) return;
    this.context.replicaTracker.recordFailure(this.replica);
    this.abandon();
    this.request.avoided.add(this.replica);
    this.context.ports.log.warn('attempt failed', {
      requestId: this.request.completion.requestId,
      replica: this.replica,
      detail,
      attempt: this.request.attempts,
      mayHaveRun: this.request.mayHaveRun,
    });
    this.followUp.retry(this.request, code, detail);
  };

  private readonly handleErrorStatus = ({ status, cause, retryAfterSeconds }: ReplicaAttemptError): void => {
    if (status !== null && requestErrorStatuses.has(status)) {
      this.abandon();
      this.followUp.rejector.reject(this.request, 'bad_request', `the replica rejected the request: ${cause}`);
      return;
    }
    if (status === null || !replicaFullStatuses.has(status) || retryAfterSeconds === null) {
      this.handleFailure('replica_failed', cause);
      return;
    }
    this.context.replicaTracker.recordFull(this.replica, retryAfterSeconds * msPerSecond);
    this.request.retryAfterSeconds = retryAfterSeconds;
    this.abandon();
    this.request.avoided.add(this.replica);
    this.followUp.retry(this.request, 'no_capacity', `the replica is full: ${cause}`);
  };
}
