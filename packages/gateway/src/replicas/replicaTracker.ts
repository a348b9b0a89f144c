import type { Clock, Loads } from '@martenworks/core-types';

const firstSuspicionMs = 500;
const longestSuspicionMs = 5_000;
const silenceMs = 1_500;
const forecastSlack = 3;
const heavyTokens = 1_000;

interface TrackedReplica {
  running: number;
  pendingTokens: number;
  others: number;
  othersTokens: number;
  suspectUntil: number;
  suspicionMs: number;
  readonly unanswered: Map<number, number>;
}

const pullForgetMs = 20_000;
const pullBlend = 0.5;

interface Pull {
  excessMs: number;
  seenAt: number;
}

export class TransferTracker {
  private readonly held = new Map<string, Pull>();

  constructor(private readonly clock: Clock) {}

  readonly seen = (holder: string, receiver: string, excessMs: number): void => {
    for (const link of [holder, `${holder}>${receiver}`]) {
      const before = this.excess(link);
      this.held.set(link, {
        excessMs: before + (Math.max(0, excessMs) - before) * pullBlend,
        seenAt: this.clock.now(),
      });
    }
  };

  private readonly excess = (link: string): number => {
    const pull = this.held.get(link);
    return pull === undefined ? 0 : pull.excessMs * 0.5 ** ((this.clock.now() - pull.seenAt) / pullForgetMs);
  };

  readonly excessMs = (holder: string, receiver: string): number =>
    Math.max(this.excess(`${holder}>${receiver}`), this.excess(holder) / 2);
}

export class ReplicaTracker {
  private readonly held = new Map<string, TrackedReplica>();

  private marks = 0;

  constructor(
    private readonly clock: Clock,
    private readonly longPrompts: () => void = () => {},
  ) {}

  private readonly of = (replica: string): TrackedReplica => {
    const held = this.held.get(replica);
    if (held !== undefined) return held;
    const tracked: TrackedReplica = {
      running: 0,
      pendingTokens: 0,
      others: 0,
      othersTokens: 0,
      suspectUntil: 0,
      suspicionMs: firstSuspicionMs,
      unanswered: new Map(),
    };
    this.held.set(replica, tracked);
    return tracked;
  };

  readonly began = (replica: string, tokens: number, forecastMs: number): number => {
    const tracked = this.of(replica);
    tracked.running += 1;
    tracked.pendingTokens += tokens;
    const mark = ++this.marks;
    tracked.unanswered.set(mark, this.clock.now() + silenceMs + Math.max(0, forecastMs) * forecastSlack);
    if (tokens >= heavyTokens) this.longPrompts();
    return mark;
  };

  readonly given = (replica: string, mark: number, tokens: number): void => {
    const tracked = this.of(replica);
    tracked.pendingTokens = Math.max(0, tracked.pendingTokens - tokens);
    const isNews = tracked.unanswered.delete(mark) && tokens >= heavyTokens;
    if (isNews) this.longPrompts();
  };

  readonly firstPiece = (replica: string, mark: number, tokens: number): void => {
    this.given(replica, mark, tokens);
    const tracked = this.of(replica);
    tracked.suspicionMs = firstSuspicionMs;
    tracked.suspectUntil = 0;
  };

  readonly ended = (replica: string): void => {
    this.of(replica).running -= 1;
  };

  readonly failed = (replica: string): void => {
    const tracked = this.of(replica);
    tracked.suspectUntil = this.clock.now() + tracked.suspicionMs;
    tracked.suspicionMs = Math.min(tracked.suspicionMs * 2, longestSuspicionMs);
  };

  readonly rests = (replica: string, forMs: number): void => {
    const tracked = this.of(replica);
    tracked.suspectUntil = Math.max(tracked.suspectUntil, this.clock.now() + Math.min(forMs, longestSuspicionMs));
  };

  readonly toldOthers = (loads: Loads): void => {
    for (const [replica, tracked] of this.held)
      if (loads[replica] === undefined) tracked.others = tracked.othersTokens = 0;
    for (const [replica, [running, tokens]] of Object.entries(loads)) {
      const tracked = this.of(replica);
      tracked.others = running;
      tracked.othersTokens = tokens;
    }
  };

  readonly running = (replica: string): number => this.of(replica).running + this.of(replica).others;
  readonly own = (replica: string): number => this.of(replica).running;
  readonly pendingTokens = (replica: string): number => this.of(replica).pendingTokens + this.of(replica).othersTokens;
  private readonly isSilent = (tracked: TrackedReplica): boolean => {
    const now = this.clock.now();
    for (const dueAt of tracked.unanswered.values()) if (now > dueAt) return true;
    return false;
  };

  readonly isSuspect = (replica: string): boolean => {
    const tracked = this.of(replica);
    return tracked.suspectUntil > this.clock.now() || this.isSilent(tracked);
  };

  readonly report = (): Loads =>
    Object.fromEntries(
      [...this.held]
        .filter(([, tracked]) => tracked.running > 0)
        .map(([replica, tracked]) => [replica, [tracked.running, Math.round(tracked.pendingTokens)] as const]),
    );

  readonly all = (): { replica: string; running: number; others: number; isSuspect: boolean }[] =>
    [...this.held].map(([replica, tracked]) => ({
      replica,
      running: tracked.running,
      others: tracked.others,
      isSuspect: this.isSuspect(replica),
    }));
}
