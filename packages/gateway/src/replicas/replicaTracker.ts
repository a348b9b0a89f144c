/** What one gateway knows of each replica's load and health: its own attempts, and what others report. */
import type { Clock, Loads } from '@martenworks/core-types';

const firstSuspicionMs = 500;
const longestSuspicionMs = 5_000;
/** A replica is silent when a first piece is this late, on top of `forecastSlack` times the forecast. */
const silenceMs = 1_500;
const forecastSlack = 3;
/** Prompts of at least this many tokens are told to the control nodes at once. */
const longPromptTokens = 1_000;

interface TrackedReplica {
  running: number;
  pendingTokens: number;
  othersRunning: number;
  othersTokens: number;
  suspectUntil: number;
  /** Length of the next suspicion; doubles with each failure. */
  suspicionMs: number;
  /** Attempts without a first piece, by id, with the time at which it is overdue. */
  readonly unanswered: Map<number, number>;
}

/** One replica on the operators' page. */
export interface ReplicaStatus {
  readonly replica: string;
  readonly running: number;
  /** Attempts that other gateways have running there. */
  readonly others: number;
  readonly isSuspect: boolean;
}

/** One record for each replica name, made on first use. */
export class ReplicaTracker {
  private readonly held = new Map<string, TrackedReplica>();
  private lastAttemptId = 0;

  constructor(
    private readonly clock: Clock,
    private readonly onLongPrompt: () => void = () => {},
  ) {}

  private readonly of = (replica: string): TrackedReplica => {
    const held = this.held.get(replica);
    if (held !== undefined) return held;
    const tracked: TrackedReplica = {
      running: 0,
      pendingTokens: 0,
      othersRunning: 0,
      othersTokens: 0,
      suspectUntil: 0,
      suspicionMs: firstSuspicionMs,
      unanswered: new Map(),
    };
    this.held.set(replica, tracked);
    return tracked;
  };

  /** An attempt starts: tokens to prefill and the forecast of its first piece in milliseconds. Returns its id. */
  readonly began = (replica: string, tokens: number, forecastMs: number): number => {
    const tracked = this.of(replica);
    tracked.running += 1;
    tracked.pendingTokens += tokens;
    const attemptId = ++this.lastAttemptId;
    tracked.unanswered.set(attemptId, this.clock.now() + silenceMs + Math.max(0, forecastMs) * forecastSlack);
    if (tokens >= longPromptTokens) this.onLongPrompt();
    return attemptId;
  };

  /** The attempt's tokens no longer wait to be prefilled. */
  readonly prefilled = (replica: string, attemptId: number, tokens: number): void => {
    const tracked = this.of(replica);
    tracked.pendingTokens = Math.max(0, tracked.pendingTokens - tokens);
    const wasUnanswered = tracked.unanswered.delete(attemptId);
    if (wasUnanswered && tokens >= longPromptTokens) this.onLongPrompt();
  };

  /** The attempt's first piece came: the replica is well. */
  readonly firstPiece = (replica: string, attemptId: number, tokens: number): void => {
    this.prefilled(replica, attemptId, tokens);
    const tracked = this.of(replica);
    tracked.suspicionMs = firstSuspicionMs;
    tracked.suspectUntil = 0;
  };

  /** An attempt ended, in whatever way. */
  readonly ended = (replica: string): void => {
    this.of(replica).running -= 1;
  };

  /** An attempt failed: the replica is suspect for a while, longer each time. */
  readonly failed = (replica: string): void => {
    const tracked = this.of(replica);
    tracked.suspectUntil = this.clock.now() + tracked.suspicionMs;
    tracked.suspicionMs = Math.min(tracked.suspicionMs * 2, longestSuspicionMs);
  };

  /** The replica asked to be left alone for this many milliseconds. */
  readonly backOff = (replica: string, forMs: number): void => {
    const tracked = this.of(replica);
    tracked.suspectUntil = Math.max(tracked.suspectUntil, this.clock.now() + Math.min(forMs, longestSuspicionMs));
  };

  /** Takes the loads that other gateways put on the replicas; a replica not named has none. */
  readonly takeOtherLoads = (loads: Loads): void => {
    for (const [replica, tracked] of this.held) {
      if (loads[replica] !== undefined) continue;
      tracked.othersRunning = 0;
      tracked.othersTokens = 0;
    }
    for (const [replica, [running, tokens]] of Object.entries(loads)) {
      const tracked = this.of(replica);
      tracked.othersRunning = running;
      tracked.othersTokens = tokens;
    }
  };

  /** Attempts running at the replica, of all gateways. */
  readonly running = (replica: string): number => this.of(replica).running + this.of(replica).othersRunning;

  /** Attempts running at the replica, of this gateway. */
  readonly own = (replica: string): number => this.of(replica).running;

  /** Prompt tokens that wait to be prefilled there, of all gateways. */
  readonly pendingTokens = (replica: string): number => this.of(replica).pendingTokens + this.of(replica).othersTokens;

  private readonly isSilent = (tracked: TrackedReplica): boolean => {
    const now = this.clock.now();
    for (const dueAt of tracked.unanswered.values()) if (now > dueAt) return true;
    return false;
  };

  /** Whether the replica failed lately, asked for a pause or is overdue with a first piece. */
  readonly isSuspect = (replica: string): boolean => {
    const tracked = this.of(replica);
    return tracked.suspectUntil > this.clock.now() || this.isSilent(tracked);
  };

  /** This gateway's own load on each replica, for the control nodes. */
  readonly report = (): Loads =>
    Object.fromEntries(
      [...this.held]
        .filter(([, tracked]) => tracked.running > 0)
        .map(([replica, tracked]) => [replica, [tracked.running, Math.round(tracked.pendingTokens)] as const]),
    );

  /** Every tracked replica, for the operators' page. */
  readonly all = (): ReplicaStatus[] =>
    [...this.held].map(([replica, tracked]) => ({
      replica,
      running: tracked.running,
      others: tracked.othersRunning,
      isSuspect: this.isSuspect(replica),
    }));
}
