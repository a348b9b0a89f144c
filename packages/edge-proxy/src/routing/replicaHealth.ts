/** Tracks the health of replicas by the outcomes of this edge's attempts. */
import type { Clock } from '@martenworks/core-types';
import { initialSuspicionMs } from './trackedReplica.js';
import type { TrackedReplica } from './trackedReplica.js';

const maxSuspicionMs = 4_000;
const errorRateHalfLifeMs = 4_000;
const failureWeight = 0.3;
const successWeight = 0.1;

/** Health of tracked replicas: suspicion after failures and timeouts, backoff after rejections, and error rates. */
export class ReplicaHealth {
  constructor(private readonly clock: Clock) {}

  /** Whether the replica recently failed or did not respond in time; others are preferred until the suspicion ends. */
  readonly isSuspect = (tracked: TrackedReplica): boolean => tracked.suspectUntil > this.clock.now();

  /** Whether the replica accepts no requests now: it is loading weights, or rejected one because it is full. */
  readonly isUnavailable = (tracked: TrackedReplica): boolean =>
    Math.max(tracked.loadingUntil, tracked.fullUntil) > this.clock.now();

  /**
   * Rate of failed attempts, 0 to 1, with a half-life of four seconds. It detects replicas that fail only some of their
   * requests.
   */
  readonly errorRate = (tracked: TrackedReplica): number =>
    tracked.errorRate * 0.5 ** ((this.clock.now() - tracked.errorRateAt) / errorRateHalfLifeMs);

  private readonly recordOutcome = (tracked: TrackedReplica, weight: number, isFailure: boolean): void => {
    const known = this.errorRate(tracked);
    tracked.errorRate = known + ((isFailure ? 1 : 0) - known) * weight;
    tracked.errorRateAt = this.clock.now();
  };

  /** Records a response: the suspicion ends, and its next duration is the initial one again. */
  readonly recordSuccess = (tracked: TrackedReplica): void => {
    this.recordOutcome(tracked, successWeight, false);
    tracked.lastAttemptFailed = false;
    tracked.suspectUntil = 0;
    tracked.suspicionMs = initialSuspicionMs;
  };

  /** Records that the replica did not respond in time: it becomes suspect, but that does not count as a failure. */
  readonly recordSlow = (tracked: TrackedReplica): void => this.suspect(tracked);

  /** Records a failure of the replica: it becomes suspect, for twice as long after each failure in a row. */
  readonly recordFailure = (tracked: TrackedReplica): void => {
    this.recordOutcome(tracked, failureWeight, true);
    tracked.lastAttemptFailed = true;
    this.suspect(tracked);
  };

  /**
   * Whether other replicas may pull cached prefixes from this one. A merely slow one qualifies; one whose last attempt
   * failed may be dead, which would cost the pulling replica some hundred milliseconds.
   */
  readonly mayPullFrom = (tracked: TrackedReplica): boolean =>
    !tracked.isRemoved && !(tracked.lastAttemptFailed && this.isSuspect(tracked));

  private readonly suspect = (tracked: TrackedReplica): void => {
    const now = this.clock.now();
    if (tracked.suspectUntil > now) return;
    tracked.suspectUntil = now + tracked.suspicionMs;
    tracked.suspicionMs = Math.min(maxSuspicionMs, tracked.suspicionMs * 2);
  };

  /** Records a rejection because the replica is full: it gets no requests for `forMs` milliseconds. */
  readonly recordFull = (tracked: TrackedReplica, forMs: number): void => {
    tracked.fullUntil = Math.max(tracked.fullUntil, this.clock.now() + forMs);
  };
}
