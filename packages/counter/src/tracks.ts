import type { Clock } from '@martenworks/envelope';

const firstSuspicionMs = 500;
const longestSuspicionMs = 5_000;

interface Track {
  running: number;
  pendingTokens: number;
  others: number;
  suspectUntil: number;
  suspicionMs: number;
}

export class Tracks {
  private readonly held = new Map<string, Track>();

  constructor(private readonly clock: Clock) {}

  private readonly of = (replica: string): Track => {
    const held = this.held.get(replica);
    if (held !== undefined) return held;
    const track: Track = { running: 0, pendingTokens: 0, others: 0, suspectUntil: 0, suspicionMs: firstSuspicionMs };
    this.held.set(replica, track);
    return track;
  };

  readonly began = (replica: string, tokens: number): void => {
    const track = this.of(replica);
    track.running += 1;
    track.pendingTokens += tokens;
  };

  readonly firstPiece = (replica: string, tokens: number): void => {
    const track = this.of(replica);
    track.pendingTokens = Math.max(0, track.pendingTokens - tokens);
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

  readonly toldOthers = (running: Record<string, number>): void => {
    for (const [replica, track] of this.held) track.others = running[replica] ?? 0;
    for (const [replica, count] of Object.entries(running)) this.of(replica).others = count;
  };

  readonly running = (replica: string): number => this.of(replica).running + this.of(replica).others;
  readonly own = (replica: string): number => this.of(replica).running;
  readonly pendingTokens = (replica: string): number => this.of(replica).pendingTokens;
  readonly isSuspect = (replica: string): boolean => this.of(replica).suspectUntil > this.clock.now();

  readonly report = (): Record<string, number> => Object.fromEntries([...this.held].filter(([, track]) => track.running > 0).map(([replica, track]) => [replica, track.running]));

  readonly all = (): { replica: string; running: number; others: number; isSuspect: boolean }[] =>
    [...this.held].map(([replica, track]) => ({ replica, running: track.running, others: track.others, isSuspect: this.isSuspect(replica) }));
}
