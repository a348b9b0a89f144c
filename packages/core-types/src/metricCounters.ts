/** Counters for a node's metrics page. */

/** Named counters of one process, from 0 at its start. */
export class MetricCounters {
  private readonly counts = new Map<string, number>();

  /** Adds to a counter. */
  readonly add = (name: string, amount = 1): void => void this.counts.set(name, (this.counts.get(name) ?? 0) + amount);

  /** Every counter that was added to, by name. */
  readonly all = (): Record<string, number> => Object.fromEntries(this.counts);

  /** The counters as lines of `name value`, sorted by name. */
  readonly lines = (): string[] =>
    [...this.counts].sort(([a], [b]) => (a < b ? -1 : 1)).map(([name, count]) => `${name} ${count}`);
}
