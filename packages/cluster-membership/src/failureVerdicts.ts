/** Joins the suspicions of several watchers into one verdict on each node. */
import type { Clock } from '@martenworks/core-types';

const reportAgeMs = 2_000;
const confirmations = 2;

/** Who suspects a node now, and whether they are enough. */
export interface FailureVerdict {
  readonly node: string;
  readonly suspectedBy: readonly string[];
  readonly isDown: boolean;
}

/** Holds a node down once two watchers suspect it; a report counts for 2 s. */
export class FailureVerdicts {
  private readonly reports = new Map<string, Map<string, number>>();

  constructor(private readonly clock: Clock) {}

  /** Takes the whole list of nodes that a watcher suspects. */
  readonly report = (watcher: string, suspects: readonly string[]): void => {
    const now = this.clock.now();
    for (const [node, by] of this.reports) if (!suspects.includes(node)) by.delete(watcher);
    for (const node of suspects) {
      const by = this.reports.get(node) ?? new Map<string, number>();
      by.set(watcher, now);
      this.reports.set(node, by);
    }
  };

  /** Names of the watchers that suspect this node. */
  readonly suspectedBy = (node: string): string[] => {
    const now = this.clock.now();
    return [...(this.reports.get(node) ?? [])].filter(([, at]) => now - at <= reportAgeMs).map(([watcher]) => watcher);
  };

  /** Whether enough watchers suspect it. */
  readonly isDown = (node: string): boolean => this.suspectedBy(node).length >= confirmations;

  /** The nodes that anyone suspects. */
  readonly status = (): FailureVerdict[] =>
    [...this.reports.keys()]
      .map((node) => ({ node, suspectedBy: this.suspectedBy(node), isDown: this.isDown(node) }))
      .filter((verdict) => verdict.suspectedBy.length > 0);
}
