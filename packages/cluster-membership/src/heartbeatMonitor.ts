/** Monitors the heartbeats of the nodes that the hash ring assigns to this node. */
import type { Clock } from '@martenworks/core-types';
import type { RingNode } from './hashRing.js';
import { hashRing } from './hashRing.js';

/** The interval between two heartbeats of a node, in milliseconds. */
export const heartbeatIntervalMs = 500;
const minTimeoutMs = 1_800;
const deviationFactor = 6;
/** The weight of the newest gap in the exponential moving averages. */
const smoothing = 0.1;

interface HeartbeatHistory {
  lastHeartbeatAt: number;
  meanMs: number;
  deviationMs: number;
}

const newHistory = (lastHeartbeatAt: number): HeartbeatHistory => ({
  lastHeartbeatAt,
  meanMs: heartbeatIntervalMs,
  deviationMs: heartbeatIntervalMs / 4,
});

/**
 * Suspects a watched node after a timeout without a heartbeat: the mean gap between its heartbeats plus six times their
 * mean deviation, and at least 1.8 s.
 */
export class HeartbeatMonitor {
  private readonly histories = new Map<string, HeartbeatHistory>();

  constructor(
    private readonly clock: Clock,
    private readonly own: () => RingNode,
    private readonly nodes: () => readonly RingNode[],
  ) {}

  /** The names of the nodes that watch this one. */
  readonly watchers = (): string[] => hashRing.watchersOf(this.own().name, this.nodes());

  private readonly watched = (): RingNode[] => {
    const nodes = this.nodes();
    const own = this.own().name;
    return nodes.filter((node) => node.name !== own && hashRing.watchersOf(node.name, nodes).includes(own));
  };

  /** Records a heartbeat of the node with this name. */
  readonly recordHeartbeat = (name: string): void => {
    const now = this.clock.now();
    const history = this.histories.get(name);
    if (history === undefined) {
      this.histories.set(name, newHistory(now));
      return;
    }
    const gapMs = now - history.lastHeartbeatAt;
    history.deviationMs += (Math.abs(gapMs - history.meanMs) - history.deviationMs) * smoothing;
    history.meanMs += (gapMs - history.meanMs) * smoothing;
    history.lastHeartbeatAt = now;
  };

  private readonly timeoutMs = (history: HeartbeatHistory): number =>
    Math.max(minTimeoutMs, history.meanMs + deviationFactor * history.deviationMs);

  /** The names of the watched nodes whose heartbeat is overdue. */
  readonly suspects = (): string[] => {
    const now = this.clock.now();
    const watched = new Set(this.watched().map((node) => node.name));
    for (const name of [...this.histories.keys()]) if (!watched.has(name)) this.histories.delete(name);
    for (const name of watched) if (!this.histories.has(name)) this.histories.set(name, newHistory(now));
    return [...this.histories]
      .filter(([, history]) => now - history.lastHeartbeatAt > this.timeoutMs(history))
      .map(([name]) => name);
  };

  /** Restarts all timeouts after a pause of this process, during which it could not receive heartbeats. */
  readonly resetAfterPause = (): void => {
    const now = this.clock.now();
    for (const history of this.histories.values()) history.lastHeartbeatAt = now;
  };
}
