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
  private readonly mayHaveRunBefore: boolean;
  private isSent = false;
  private hasFirstPiece = false;

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
    this.attemptId = context.replicaTracker.began(this.replica, prefilledTokens, costMs);
    request.abortController.signal.addEventListener('abort', this.abort, { once: true });
    this.startedAt = context.ports.clock.now();
    this.mayHaveRunBefore = request.mayHaveRun;
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
  readonly decideSending = (isSendable: boolean): boolean => {
    this.isSent = this.isActive && isSendable;
    this.request.mayHaveRun ||= this.isSent;
    return this.isSent;
  };

  /** The first piece came. */
  readonly takeFirstPiece = (): void => {
    this.context.replicaTracker.firstPiece(this.replica, this.attemptId, this.plan.placed.prefilledTokens);
    this.hasFirstPiece = true;
  };

  /** The attempt no longer runs at its replica. */
  readonly release = (): void => {
    const { replicaTracker } = this.context;
    this.request.abortController.signal.removeEventListener('abort', this.abort);
    if (!this.hasFirstPiece) replicaTracker.prefilled(this.replica, this.attemptId, this.plan.placed.prefilledTokens);
    replicaTracker.ended(this.replica);
    queueMicrotask(() => this.followUp.placementStage.pump(this.plan.grant.lane.poolName));
  };

  private readonly giveUp = (): void => {
    this.request.endAttempt();
    this.release();
    this.abort();
  };

  /** The replica is gone. */
  readonly lost = (): void => {
    const detail = 'the replica is gone';
    if (this.request.isRelaying) this.request.cut(detail);
    else if (this.isSent) this.failed('replica_failed', detail);
    else this.withdraw();
  };

  /** Sending came to nothing, with this error of the HTTP client or of the replica. */
  readonly sendFailed = (error: ReplicaAttemptError): void => {
    if (error.isUnsent) this.request.mayHaveRun = this.mayHaveRunBefore;
    if (this.request.isEnded) this.release();
    else if (error.cause === 'GATED') this.withdraw();
    else this.refused(error);
  };

  /** Nothing was sent: the request is queued anew without a retry being counted. */
  private readonly withdraw = (): void => {
    this.giveUp();
    if (this.request.isEnded) return;
    if (this.context.freshness.isFresh()) {
      this.followUp.placementStage.queue(this.request);
      return;
    }
    const detail = 'this gateway lost touch with the control nodes before the attempt';
    this.followUp.rejector.refuse(this.request, 'not_fresh', detail);
  };

  /** The replica failed: it is suspect, and the request does not go there again. */
  readonly failed = (code: RejectionCode, detail: string): void => {
    if (!this.isActive) return;
    this.context.replicaTracker.failed(this.replica);
    this.giveUp();
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

  private readonly refused = ({ status, cause, retryAfterSeconds }: ReplicaAttemptError): void => {
    if (status !== null && requestErrorStatuses.has(status)) {
      this.giveUp();
      this.followUp.rejector.refuse(this.request, 'bad_request', `the replica refused the request: ${cause}`);
      return;
    }
    if (status === null || !busyStatuses.has(status) || retryAfterSeconds === null) {
      this.failed('replica_failed', cause);
      return;
    }
    this.context.replicaTracker.backOff(this.replica, retryAfterSeconds * msPerSecond);
    this.request.retryAfterSeconds = retryAfterSeconds;
    this.giveUp();
    this.request.avoided.add(this.replica);
    this.followUp.retry(this.request, 'no_capacity', `the replica is full: ${cause}`);
  };
}
