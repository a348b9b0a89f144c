/** Combines the suspicions of several watchers into one verdict on each node. */
import type { Clock } from '@martenworks/core-types';

const maxReportAgeMs = 2_000;
const requiredWatchers = 2;

/** The watchers that currently suspect a node, and whether they are enough for it to count as down. */
export interface FailureVerdict {
  readonly node: string;
  readonly suspectedBy: readonly string[];
  readonly isDown: boolean;
}

/** Counts a node as down once two watchers suspect it; a report is valid for 2 s. */
export class FailureVerdicts {
  private readonly reports = new Map<string, Map<string, number>>();

  constructor(private readonly clock: Clock) {}

  /** Records the complete list of nodes that a watcher suspects, in place of its earlier list. */
  readonly report = (watcher: string, suspects: readonly string[]): void => {
    const now = this.clock.now();
    for (const [node, watchers] of this.reports) if (!suspects.includes(node)) watchers.delete(watcher);
    for (const node of suspects) {
      const watchers = this.reports.get(node) ?? new Map<string, number>();
      watchers.set(watcher, now);
      this.reports.set(node, watchers);
    }
  };

  /** The names of the watchers that suspect this node. */
  readonly suspectedBy = (node: string): string[] => {
    const now = this.clock.now();
    return [...(this.reports.get(node) ?? [])]
      .filter(([, reportedAt]) => now - reportedAt <= maxReportAgeMs)
      .map(([watcher]) => watcher);
  };

  /** Whether enough watchers suspect it. */
  readonly isDown = (node: string): boolean => this.suspectedBy(node).length >= requiredWatchers;

  /** The verdicts on all suspected nodes. */
  readonly status = (): FailureVerdict[] =>
    [...this.reports.keys()]
      .map((node) => ({ node, suspectedBy: this.suspectedBy(node), isDown: this.isDown(node) }))
      .filter((verdict) => verdict.suspectedBy.length > 0);
}
