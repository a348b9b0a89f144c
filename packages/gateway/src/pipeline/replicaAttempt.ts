/** One attempt of a request at one replica: what holds while it is out, and what follows when it comes to nothing. */
import type { RejectionCode } from '@martenworks/core-types';
import type { Placement } from '@martenworks/prefix-index';
import type { ReplicaAttemptError } from '@martenworks/upstream';
import type { ActiveAttempt, GatewayRequest } from '../gatewayRequest.js';
import type { Grant } from '../state/grants.js';
import type { PlacementStage } from './placementStage.js';
import type { Rejector } from './rejector.js';
import type { StageContext } from './stageContext.js';

/** Statuses that say that the request itself is wrong, so that no other replica would take it. */
const requestErrorStatuses: ReadonlySet<number> = new Set([400, 413, 414, 415, 422]);
/** Statuses of a replica that is busy, if it says when to come back. */
const busyStatuses: ReadonlySet<number> = new Set([429, 503]);
const msPerSecond = 1_000;

/** What was decided when the request was placed. */
export interface AttemptPlan {
  readonly placed: Placement;
  readonly grant: Grant;
  /** Weights of the pool at the time. */
  readonly weights: string;
}

/** Where a request goes when its attempt comes to nothing. */
export interface AttemptFollowUp {
  readonly rejector: Rejector;
  readonly placementStage: PlacementStage;
  /** Tries another replica if the request and the budget allow, else rejects it. */
  readonly retry: (request: GatewayRequest, code: RejectionCode, detail: string) => void;
}

/** Counts as running at its replica from its making until `release`. */
export class ReplicaAttempt implements ActiveAttempt {
  /** Name of the replica. */
  readonly replica: string;
  /** The replica's incarnation when it was chosen. */
  readonly incarnation: number;
  /** When the attempt was made, in milliseconds. */
  readonly startedAt: number;
  private readonly attemptId: number;
  private readonly abortController = new AbortController();
  private readonly mightHaveRunBefore: boolean;
  private isSent = false;
  private hasFirstChunk = false;

  constructor(
    private readonly context: StageContext,
    private readonly request: GatewayRequest,
    /** What was decided when the request was placed. */
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

  /** Aborted when the attempt comes to nothing or the request ends. */
  get signal(): AbortSignal {
    return this.abortController.signal;
  }

  /** Whether the request still waits for this attempt. */
  get isActive(): boolean {
    return this.request.activeAttempt === this;
  }

  /** Called as the body is about to be sent: from then on the request may have run. */
  readonly gate = (isSendable: boolean): boolean => {
    this.isSent = this.isActive && isSendable;
    this.request.mayHaveRun ||= this.isSent;
    return this.isSent;
  };

  /** The first piece came. */
  readonly recordFirstChunk = (): void => {
    this.context.replicaTracker.recordFirstChunk(this.replica, this.attemptId, this.plan.placed.prefilledTokens);
    this.hasFirstChunk = true;
  };

  /** The attempt no longer runs at its replica. */
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

  /** The replica is gone. */
  readonly onReplicaRemoved = (): void => {
    const detail = 'the replica is gone';
    if (this.request.isRelaying) this.request.truncate(detail);
    else if (this.isSent) this.handleFailure('replica_failed', detail);
    else this.requeue();
  };

  /** Sending came to nothing, with this error of the HTTP client or of the replica. */
  readonly handleSendError = (error: ReplicaAttemptError): void => {
    if (error.isUnsent) this.request.mayHaveRun = this.mightHaveRunBefore;
    if (this.request.isEnded) this.release();
    else if (error.cause === 'GATED') this.requeue();
    else this.handleErrorStatus(error);
  };

  /** Nothing was sent: the request is queued anew without a retry being counted. */
  private readonly requeue = (): void => {
    this.abandon();
    if (this.request.isEnded) return;
    if (this.context.freshness.isFresh()) {
      this.followUp.placementStage.enqueue(this.request);
      return;
    }
    const detail = 'this gateway lost touch with the control nodes before the attempt';
    this.followUp.rejector.reject(this.request, 'not_fresh', detail);
  };

  /** The replica failed: it is suspect, and the request does not go there again. */
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
      this.followUp.rejector.reject(this.request, 'bad_request', `the replica refused the request: ${cause}`);
      return;
    }
    if (status === null || !busyStatuses.has(status) || retryAfterSeconds === null) {
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
