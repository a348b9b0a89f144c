/** Watches the heartbeats of the nodes that the ring gives this node to watch. */
import type { Clock } from '@martenworks/core-types';
import type { RingNode } from './hashRing.js';
import { hashRing } from './hashRing.js';

/** Milliseconds between two heartbeats of a node. */
export const heartbeatIntervalMs = 500;
const leastSilenceMs = 1_800;
const spreadFactor = 6;
/** Weight of the newest gap in the moving means. */
const smoothing = 0.1;

interface HeartbeatHistory {
  at: number;
  meanMs: number;
  spreadMs: number;
}

const newHistory = (at: number): HeartbeatHistory => ({
  at,
  meanMs: heartbeatIntervalMs,
  spreadMs: heartbeatIntervalMs / 4,
});

/**
 * Suspects a node once it is silent for longer than the mean gap between its heartbeats and six times their mean
 * deviation, and at least 1.8 s.
 */
export class HeartbeatMonitor {
  private readonly histories = new Map<string, HeartbeatHistory>();

  constructor(
    private readonly clock: Clock,
    private readonly own: () => RingNode,
    private readonly nodes: () => readonly RingNode[],
  ) {}

  /** Names of the nodes that watch this one. */
  readonly watchers = (): string[] => hashRing.watchersOf(this.own().name, this.nodes());

  private readonly watched = (): RingNode[] => {
    const nodes = this.nodes();
    const own = this.own().name;
    return nodes.filter((node) => node.name !== own && hashRing.watchersOf(node.name, nodes).includes(own));
  };

  /** Notes a heartbeat. */
  readonly recordHeartbeat = (name: string): void => {
    const now = this.clock.now();
    const history = this.histories.get(name);
    if (history === undefined) {
      this.histories.set(name, newHistory(now));
      return;
    }
    const gap = now - history.at;
    history.spreadMs += (Math.abs(gap - history.meanMs) - history.spreadMs) * smoothing;
    history.meanMs += (gap - history.meanMs) * smoothing;
    history.at = now;
  };

  private readonly limitMs = (history: HeartbeatHistory): number =>
    Math.max(leastSilenceMs, history.meanMs + spreadFactor * history.spreadMs);

  /** Names of the watched nodes that are silent for too long. */
  readonly suspects = (): string[] => {
    const now = this.clock.now();
    const watched = new Set(this.watched().map((node) => node.name));
    for (const name of [...this.histories.keys()]) if (!watched.has(name)) this.histories.delete(name);
    for (const name of watched) if (!this.histories.has(name)) this.histories.set(name, newHistory(now));
    return [...this.histories].filter(([, history]) => now - history.at > this.limitMs(history)).map(([name]) => name);
  };

  /** This process stood still itself: all silences begin anew. */
  readonly resetAfterPause = (): void => {
    const now = this.clock.now();
    for (const history of this.histories.values()) history.at = now;
  };
}
