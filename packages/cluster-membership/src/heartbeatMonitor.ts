import type { Clock } from '@martenworks/core-types';
import type { RingNode } from './ring.js';
import { ring } from './ring.js';

export const heartbeatIntervalMs = 500;
const leastSilenceMs = 1_800;
const spreadFactor = 6;
const reportAgeMs = 2_000;
const confirmations = 2;
const blend = 0.1;

interface Heard {
  at: number;
  meanMs: number;
  spreadMs: number;
}

const unheardSince = (at: number): Heard => ({ at, meanMs: heartbeatIntervalMs, spreadMs: heartbeatIntervalMs / 4 });

export class HeartbeatMonitor {
  private readonly heard = new Map<string, Heard>();

  constructor(
    private readonly clock: Clock,
    private readonly own: () => RingNode,
    private readonly nodes: () => readonly RingNode[],
  ) {}

  readonly watchers = (): string[] => ring.watchersOf(this.own().name, this.nodes());

  private readonly watched = (): RingNode[] => {
    const nodes = this.nodes();
    const own = this.own().name;
    return nodes.filter((node) => node.name !== own && ring.watchersOf(node.name, nodes).includes(own));
  };

  readonly heartbeatFrom = (name: string): void => {
    const now = this.clock.now();
    const held = this.heard.get(name);
    if (held === undefined) {
      this.heard.set(name, unheardSince(now));
      return;
    }
    const gap = now - held.at;
    held.spreadMs += (Math.abs(gap - held.meanMs) - held.spreadMs) * blend;
    held.meanMs += (gap - held.meanMs) * blend;
    held.at = now;
  };

  private readonly limitMs = (held: Heard): number =>
    Math.max(leastSilenceMs, held.meanMs + spreadFactor * held.spreadMs);

  readonly suspects = (): string[] => {
    const now = this.clock.now();
    const watched = new Set(this.watched().map((node) => node.name));
    for (const name of [...this.heard.keys()]) if (!watched.has(name)) this.heard.delete(name);
    for (const name of watched) if (!this.heard.has(name)) this.heard.set(name, unheardSince(now));
    return [...this.heard].filter(([, held]) => now - held.at > this.limitMs(held)).map(([name]) => name);
  };

  readonly clearAfterFreeze = (): void => {
    const now = this.clock.now();
    for (const held of this.heard.values()) held.at = now;
  };
}

export interface FailureVerdict {
  readonly node: string;
  readonly suspectedBy: readonly string[];
  readonly isDown: boolean;
}

export class FailureVerdicts {
  private readonly reports = new Map<string, Map<string, number>>();

  constructor(private readonly clock: Clock) {}

  readonly report = (watcher: string, suspects: readonly string[]): void => {
    const now = this.clock.now();
    for (const [node, by] of this.reports) if (!suspects.includes(node)) by.delete(watcher);
    for (const node of suspects) {
      const by = this.reports.get(node) ?? new Map<string, number>();
      by.set(watcher, now);
      this.reports.set(node, by);
    }
  };

  readonly suspectedBy = (node: string): string[] => {
    const now = this.clock.now();
    return [...(this.reports.get(node) ?? [])].filter(([, at]) => now - at <= reportAgeMs).map(([watcher]) => watcher);
  };

  readonly isDown = (node: string): boolean => this.suspectedBy(node).length >= confirmations;

  readonly status = (): FailureVerdict[] =>
    [...this.reports.keys()]
      .map((node) => ({ node, suspectedBy: this.suspectedBy(node), isDown: this.isDown(node) }))
      .filter((line) => line.suspectedBy.length > 0);
}
