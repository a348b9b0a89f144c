/** How far a replica is trusted, by the outcomes of the attempts that went there. */
import type { Clock } from '@martenworks/core-types';
import { initialSuspicionMs } from './trackedReplica.js';
import type { TrackedReplica } from './trackedReplica.js';

const maxSuspicionMs = 4_000;
const errorRateHalfLifeMs = 4_000;
const failureWeight = 0.3;
const successWeight = 0.1;

/** Health of tracked replicas: suspicion after failures and silence, rest after rejections, and the rate of errors. */
export class ReplicaHealth {
  constructor(private readonly clock: Clock) {}

  /** Whether the replica failed or was silent lately; others are preferred until its suspicion ends. */
  readonly isSuspect = (tracked: TrackedReplica): boolean => tracked.suspectUntil > this.clock.now();

  /** Whether the replica takes no requests now: it changes weights, or rejected one because it is full. */
  readonly isUnavailable = (tracked: TrackedReplica): boolean =>
    Math.max(tracked.loadingUntil, tracked.fullUntil) > this.clock.now();

  /**
   * How much of what was sent there lately failed, 0 to 1, forgotten by half every four seconds: a replica may look
   * well and fail a part of its requests.
   */
  readonly errorRate = (tracked: TrackedReplica): number =>
    tracked.errorRate * 0.5 ** ((this.clock.now() - tracked.errorRateAt) / errorRateHalfLifeMs);

  private readonly recordOutcome = (tracked: TrackedReplica, weight: number, isFailure: boolean): void => {
    const known = this.errorRate(tracked);
    tracked.errorRate = known + ((isFailure ? 1 : 0) - known) * weight;
    tracked.errorRateAt = this.clock.now();
  };

  /** An attempt got its answer: the suspicion ends, and its duration starts from the shortest again. */
  readonly recordSuccess = (tracked: TrackedReplica): void => {
    this.recordOutcome(tracked, successWeight, false);
    tracked.lastAttemptFailed = false;
    tracked.suspectUntil = 0;
    tracked.suspicionMs = initialSuspicionMs;
  };

  /** It was silent for longer than it should be: suspect for a while, but not counted as broken. */
  readonly recordSlow = (tracked: TrackedReplica): void => this.suspect(tracked);

  /** An attempt failed by the replica's fault: it counts as broken and becomes suspect, longer each time in a row. */
  readonly recordFailure = (tracked: TrackedReplica): void => {
    this.recordOutcome(tracked, failureWeight, true);
    tracked.lastAttemptFailed = true;
    this.suspect(tracked);
  };

  /**
   * Whether it may hand over what it keeps: one that is only slow may, one whose last word was a failure costs its
   * receiver some hundred milliseconds if it is dead.
   */
  readonly mayPullFrom = (tracked: TrackedReplica): boolean =>
    !tracked.isRemoved && !(tracked.lastAttemptFailed && this.isSuspect(tracked));

  private readonly suspect = (tracked: TrackedReplica): void => {
    const now = this.clock.now();
    if (tracked.suspectUntil > now) return;
    tracked.suspectUntil = now + tracked.suspicionMs;
    tracked.suspicionMs = Math.min(maxSuspicionMs, tracked.suspicionMs * 2);
  };

  /** The replica rejected an attempt because it is full: it rests for so many milliseconds. */
  readonly recordFull = (tracked: TrackedReplica, forMs: number): void => {
    tracked.fullUntil = Math.max(tracked.fullUntil, this.clock.now() + forMs);
  };
}
