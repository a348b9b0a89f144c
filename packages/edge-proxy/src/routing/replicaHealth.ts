/** How far a replica is trusted, by the outcomes of the attempts that went there. */
import type { Clock } from '@martenworks/core-types';
import { firstSuspicionMs } from './trackedReplica.js';
import type { TrackedReplica } from './trackedReplica.js';

const longestSuspicionMs = 4_000;
const errorRateHalfLifeMs = 4_000;
const failureWeight = 0.3;
const successWeight = 0.1;

/** Health of tracked replicas: suspicion after failures and silence, rest after rejections, and the rate of errors. */
export class ReplicaHealth {
  constructor(private readonly clock: Clock) {}

  /** Whether the replica failed or was silent lately; others are preferred until its suspicion ends. */
  readonly isSuspect = (tracked: TrackedReplica): boolean => tracked.suspectUntil > this.clock.now();

  /** Whether the replica takes no requests now: it changes weights, or rejected one because it is full. */
  readonly isResting = (tracked: TrackedReplica): boolean =>
    Math.max(tracked.restUntil, tracked.fullUntil) > this.clock.now();

  /**
   * How much of what was sent there lately failed, 0 to 1, forgotten by half every four seconds: a replica may look
   * well and fail a part of its requests.
   */
  readonly errorRate = (tracked: TrackedReplica): number =>
    tracked.errorRate * 0.5 ** ((this.clock.now() - tracked.errorRateAt) / errorRateHalfLifeMs);

  private readonly recordOutcome = (tracked: TrackedReplica, share: number, isFailure: boolean): void => {
    const known = this.errorRate(tracked);
    tracked.errorRate = known + ((isFailure ? 1 : 0) - known) * share;
    tracked.errorRateAt = this.clock.now();
  };

  /** An attempt got its answer: the suspicion ends, and its duration starts from the shortest again. */
  readonly answered = (tracked: TrackedReplica): void => {
    this.recordOutcome(tracked, successWeight, false);
    tracked.isBroken = false;
    tracked.suspectUntil = 0;
    tracked.suspicionMs = firstSuspicionMs;
  };

  /** It was silent for longer than it should be: suspect for a while, but not counted as broken. */
  readonly slow = (tracked: TrackedReplica): void => this.suspect(tracked);

  /** An attempt failed by the replica's fault: it counts as broken and becomes suspect, longer each time in a row. */
  readonly failed = (tracked: TrackedReplica): void => {
    this.recordOutcome(tracked, failureWeight, true);
    tracked.isBroken = true;
    this.suspect(tracked);
  };

  /**
   * Whether it may hand over what it keeps: one that is only slow may, one whose last word was a failure costs its
   * receiver some hundred milliseconds if it is dead.
   */
  readonly mayHandOver = (tracked: TrackedReplica): boolean =>
    !tracked.isGone && !(tracked.isBroken && this.isSuspect(tracked));

  private readonly suspect = (tracked: TrackedReplica): void => {
    const now = this.clock.now();
    if (tracked.suspectUntil > now) return;
    tracked.suspectUntil = now + tracked.suspicionMs;
    tracked.suspicionMs = Math.min(longestSuspicionMs, tracked.suspicionMs * 2);
  };

  /** The replica rejected an attempt because it is full: it rests for so many milliseconds. */
  readonly full = (tracked: TrackedReplica, forMs: number): void => {
    tracked.fullUntil = Math.max(tracked.fullUntil, this.clock.now() + forMs);
  };
}
