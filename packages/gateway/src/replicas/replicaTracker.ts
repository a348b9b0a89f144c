/** Tracks the load and health of each replica, by this gateway's own attempts and by the load of the other gateways. */
import type { Clock, Loads } from '@martenworks/core-types';

const initialSuspicionMs = 500;
const maxSuspicionMs = 5_000;
/** A replica is unresponsive if a first chunk takes longer than this plus `forecastFactor` times its forecast. */
const firstChunkSlackMs = 1_500;
const forecastFactor = 3;
/** Prompts of at least this many tokens are reported to the control nodes immediately. */
const minLongPromptTokens = 1_000;

interface TrackedReplica {
  running: number;
  pendingTokens: number;
  otherGatewaysRunning: number;
  otherGatewaysTokens: number;
  suspectUntil: number;
  /** Duration of the next suspicion; doubles with each failure. */
  suspicionMs: number;
  /** Attempts without a first chunk, by id, with the time at which it becomes overdue. */
  readonly awaitingFirstChunk: Map<number, number>;
}

/** One replica on the status page. */
export interface ReplicaStatus {
  readonly replica: string;
  readonly running: number;
  /** Running attempts of the other gateways. */
  readonly others: number;
  readonly isSuspect: boolean;
}

/** Tracks replicas by name; a record is created on first use. */
export class ReplicaTracker {
  private readonly replicas = new Map<string, TrackedReplica>();
  private lastAttemptId = 0;

  constructor(
    private readonly clock: Clock,
    private readonly onLongPrompt: () => void = () => {},
  ) {}

  private readonly of = (replica: string): TrackedReplica => {
    const existing = this.replicas.get(replica);
    if (existing !== undefined) return existing;
    const tracked: TrackedReplica = {
      running: 0,
      pendingTokens: 0,
      otherGatewaysRunning: 0,
      otherGatewaysTokens: 0,
      suspectUntil: 0,
      suspicionMs: initialSuspicionMs,
      awaitingFirstChunk: new Map(),
    };
    this.replicas.set(replica, tracked);
    return tracked;
  };

  /**
   * Records the start of an attempt with `tokens` tokens to prefill, whose first chunk is expected after
   * `expectedFirstChunkMs`; returns its id.
   */
  readonly recordStart = (replica: string, tokens: number, expectedFirstChunkMs: number): number => {
    const tracked = this.of(replica);
    tracked.running += 1;
    tracked.pendingTokens += tokens;
    const attemptId = ++this.lastAttemptId;
    tracked.awaitingFirstChunk.set(
      attemptId,
      this.clock.now() + firstChunkSlackMs + Math.max(0, expectedFirstChunkMs) * forecastFactor,
    );
    if (tokens >= minLongPromptTokens) this.onLongPrompt();
    return attemptId;
  };

  /** Records that the prompt is prefilled, or won't be: its tokens are no longer pending. */
  readonly recordPrefilled = (replica: string, attemptId: number, tokens: number): void => {
    const tracked = this.of(replica);
    tracked.pendingTokens = Math.max(0, tracked.pendingTokens - tokens);
    const wasAwaited = tracked.awaitingFirstChunk.delete(attemptId);
    if (wasAwaited && tokens >= minLongPromptTokens) this.onLongPrompt();
  };

  /** Records the first chunk of an attempt, which ends the suspicion. */
  readonly recordFirstChunk = (replica: string, attemptId: number, tokens: number): void => {
    this.recordPrefilled(replica, attemptId, tokens);
    const tracked = this.of(replica);
    tracked.suspicionMs = initialSuspicionMs;
    tracked.suspectUntil = 0;
  };

  /** Records the end of an attempt, whatever its outcome. */
  readonly recordEnd = (replica: string): void => {
    this.of(replica).running -= 1;
  };

  /** Records a failed attempt: the replica becomes suspect, for twice as long after each failure in a row. */
  readonly recordFailure = (replica: string): void => {
    const tracked = this.of(replica);
    tracked.suspectUntil = this.clock.now() + tracked.suspicionMs;
    tracked.suspicionMs = Math.min(tracked.suspicionMs * 2, maxSuspicionMs);
  };

  /** Records a rejection because the replica is full: it is suspect for `forMs` milliseconds, up to a limit. */
  readonly recordFull = (replica: string, forMs: number): void => {
    const tracked = this.of(replica);
    tracked.suspectUntil = Math.max(tracked.suspectUntil, this.clock.now() + Math.min(forMs, maxSuspicionMs));
  };

  /** Replaces the other gateways' loads on the replicas; a replica that is not listed has none. */
  readonly applyOtherLoads = (loads: Loads): void => {
    for (const [replica, tracked] of this.replicas) {
      if (loads[replica] !== undefined) continue;
      tracked.otherGatewaysRunning = 0;
      tracked.otherGatewaysTokens = 0;
    }
    for (const [replica, [running, tokens]] of Object.entries(loads)) {
      const tracked = this.of(replica);
      tracked.otherGatewaysRunning = running;
      tracked.otherGatewaysTokens = tokens;
    }
  };

  /** Running attempts of all gateways at the replica. */
  readonly running = (replica: string): number => this.of(replica).running + this.of(replica).otherGatewaysRunning;

  /** Running attempts of this gateway at the replica. */
  readonly ownRunning = (replica: string): number => this.of(replica).running;

  /** Prompt tokens of all gateways that are not yet prefilled there. */
  readonly pendingTokens = (replica: string): number =>
    this.of(replica).pendingTokens + this.of(replica).otherGatewaysTokens;

  private readonly isUnresponsive = (tracked: TrackedReplica): boolean => {
    const now = this.clock.now();
    for (const dueAt of tracked.awaitingFirstChunk.values()) if (now > dueAt) return true;
    return false;
  };

  /** Whether the replica recently failed or reported that it is full, or a first chunk is overdue. */
  readonly isSuspect = (replica: string): boolean => {
    const tracked = this.of(replica);
    return tracked.suspectUntil > this.clock.now() || this.isUnresponsive(tracked);
  };

  /** This gateway's load on each replica, for the control nodes. */
  readonly report = (): Loads =>
    Object.fromEntries(
      [...this.replicas]
        .filter(([, tracked]) => tracked.running > 0)
        .map(([replica, tracked]) => [replica, [tracked.running, Math.round(tracked.pendingTokens)] as const]),
    );

  /** All tracked replicas, for the status page. */
  readonly all = (): ReplicaStatus[] =>
    [...this.replicas].map(([replica, tracked]) => ({
      replica,
      running: tracked.running,
      others: tracked.otherGatewaysRunning,
      isSuspect: this.isSuspect(replica),
    }));
}
