/** What one gateway knows of each replica's load and health: its own attempts, and what others report. */
import type { Clock, Loads } from '@martenworks/core-types';

const initialSuspicionMs = 500;
const maxSuspicionMs = 5_000;
/** A replica is silent when a first piece is this late, on top of `forecastSlack` times the forecast. */
const firstChunkSlackMs = 1_500;
const forecastFactor = 3;
/** Prompts of at least this many tokens are told to the control nodes at once. */
const minLongPromptTokens = 1_000;

interface TrackedReplica {
  running: number;
  pendingTokens: number;
  otherGatewaysRunning: number;
  otherGatewaysTokens: number;
  suspectUntil: number;
  /** Length of the next suspicion; doubles with each failure. */
  suspicionMs: number;
  /** Attempts without a first piece, by id, with the time at which it is overdue. */
  readonly awaitingFirstChunk: Map<number, number>;
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

  /** An attempt starts: tokens to prefill and the forecast of its first piece in milliseconds. Returns its id. */
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

  /** The attempt's tokens no longer wait to be prefilled. */
  readonly recordPrefilled = (replica: string, attemptId: number, tokens: number): void => {
    const tracked = this.of(replica);
    tracked.pendingTokens = Math.max(0, tracked.pendingTokens - tokens);
    const wasAwaited = tracked.awaitingFirstChunk.delete(attemptId);
    if (wasAwaited && tokens >= minLongPromptTokens) this.onLongPrompt();
  };

  /** The attempt's first piece came: the replica is well. */
  readonly recordFirstChunk = (replica: string, attemptId: number, tokens: number): void => {
    this.recordPrefilled(replica, attemptId, tokens);
    const tracked = this.of(replica);
    tracked.suspicionMs = initialSuspicionMs;
    tracked.suspectUntil = 0;
  };

  /** An attempt ended, in whatever way. */
  readonly recordEnd = (replica: string): void => {
    this.of(replica).running -= 1;
  };

  /** An attempt failed: the replica is suspect for a while, longer each time. */
  readonly recordFailure = (replica: string): void => {
    const tracked = this.of(replica);
    tracked.suspectUntil = this.clock.now() + tracked.suspicionMs;
    tracked.suspicionMs = Math.min(tracked.suspicionMs * 2, maxSuspicionMs);
  };

  /** The replica asked to be left alone for this many milliseconds. */
  readonly recordFull = (replica: string, forMs: number): void => {
    const tracked = this.of(replica);
    tracked.suspectUntil = Math.max(tracked.suspectUntil, this.clock.now() + Math.min(forMs, maxSuspicionMs));
  };

  /** Takes the loads that other gateways put on the replicas; a replica not named has none. */
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

  /** Attempts running at the replica, of all gateways. */
  readonly running = (replica: string): number => this.of(replica).running + this.of(replica).otherGatewaysRunning;

  /** Attempts running at the replica, of this gateway. */
  readonly ownRunning = (replica: string): number => this.of(replica).running;

  /** Prompt tokens that wait to be prefilled there, of all gateways. */
  readonly pendingTokens = (replica: string): number =>
    this.of(replica).pendingTokens + this.of(replica).otherGatewaysTokens;

  private readonly isUnresponsive = (tracked: TrackedReplica): boolean => {
    const now = this.clock.now();
    for (const dueAt of tracked.awaitingFirstChunk.values()) if (now > dueAt) return true;
    return false;
  };

  /** Whether the replica failed lately, asked for a pause or is overdue with a first piece. */
  readonly isSuspect = (replica: string): boolean => {
    const tracked = this.of(replica);
    return tracked.suspectUntil > this.clock.now() || this.isUnresponsive(tracked);
  };

  /** This gateway's own load on each replica, for the control nodes. */
  readonly report = (): Loads =>
    Object.fromEntries(
      [...this.replicas]
        .filter(([, tracked]) => tracked.running > 0)
        .map(([replica, tracked]) => [replica, [tracked.running, Math.round(tracked.pendingTokens)] as const]),
    );

  /** Every tracked replica, for the operators' page. */
  readonly all = (): ReplicaStatus[] =>
    [...this.replicas].map(([replica, tracked]) => ({
      replica,
      running: tracked.running,
      others: tracked.otherGatewaysRunning,
      isSuspect: this.isSuspect(replica),
    }));
}
