import type { Clock, Loads } from '@martenworks/core-types';

const firstSuspicionMs = 500;
const longestSuspicionMs = 5_000;
const silenceMs = 1_500;
const forecastSlack = 3;
const heavyTokens = 1_000;

interface Track {
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

export class PullTracks {
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

export class Tracks {
  private readonly held = new Map<string, Track>();

  private marks = 0;

  constructor(
    private readonly clock: Clock,
    private readonly heavyNews: () => void = () => {},
  ) {}

  private readonly of = (replica: string): Track => {
    const held = this.held.get(replica);
    if (held !== undefined) return held;
    const track: Track = {
      running: 0,
      pendingTokens: 0,
      others: 0,
      othersTokens: 0,
      suspectUntil: 0,
      suspicionMs: firstSuspicionMs,
      unanswered: new Map(),
    };
    this.held.set(replica, track);
    return track;
  };

  readonly began = (replica: string, tokens: number, forecastMs: number): number => {
    const track = this.of(replica);
    track.running += 1;
    track.pendingTokens += tokens;
    const mark = ++this.marks;
    track.unanswered.set(mark, this.clock.now() + silenceMs + Math.max(0, forecastMs) * forecastSlack);
    if (tokens >= heavyTokens) this.heavyNews();
    return mark;
  };

  readonly given = (replica: string, mark: number, tokens: number): void => {
    const track = this.of(replica);
    track.pendingTokens = Math.max(0, track.pendingTokens - tokens);
    const isNews = track.unanswered.delete(mark) && tokens >= heavyTokens;
    if (isNews) this.heavyNews();
  };

  readonly firstPiece = (replica: string, mark: number, tokens: number): void => {
    this.given(replica, mark, tokens);
    const track = this.of(replica);
    track.suspicionMs = firstSuspicionMs;
    track.suspectUntil = 0;
  };

  readonly ended = (replica: string): void => {
    this.of(replica).running -= 1;
  };

  readonly failed = (replica: string): void => {
    const track = this.of(replica);
    track.suspectUntil = this.clock.now() + track.suspicionMs;
    track.suspicionMs = Math.min(track.suspicionMs * 2, longestSuspicionMs);
  };

  readonly rests = (replica: string, forMs: number): void => {
    const track = this.of(replica);
    track.suspectUntil = Math.max(track.suspectUntil, this.clock.now() + Math.min(forMs, longestSuspicionMs));
  };

  readonly toldOthers = (loads: Loads): void => {
    for (const [replica, track] of this.held) if (loads[replica] === undefined) track.others = track.othersTokens = 0;
    for (const [replica, [running, tokens]] of Object.entries(loads)) {
      const track = this.of(replica);
      track.others = running;
      track.othersTokens = tokens;
    }
  };

  readonly running = (replica: string): number => this.of(replica).running + this.of(replica).others;
  readonly own = (replica: string): number => this.of(replica).running;
  readonly pendingTokens = (replica: string): number => this.of(replica).pendingTokens + this.of(replica).othersTokens;
  private readonly isSilent = (track: Track): boolean => {
    const now = this.clock.now();
    for (const dueAt of track.unanswered.values()) if (now > dueAt) return true;
    return false;
  };

  readonly isSuspect = (replica: string): boolean => {
    const track = this.of(replica);
    return track.suspectUntil > this.clock.now() || this.isSilent(track);
  };

  readonly report = (): Loads =>
    Object.fromEntries(
      [...this.held]
        .filter(([, track]) => track.running > 0)
        .map(([replica, track]) => [replica, [track.running, Math.round(track.pendingTokens)] as const]),
    );

  readonly all = (): { replica: string; running: number; others: number; isSuspect: boolean }[] =>
    [...this.held].map(([replica, track]) => ({
      replica,
      running: track.running,
      others: track.others,
      isSuspect: this.isSuspect(replica),
    }));
}
