/** Counters for a node's metrics page. */

/** Named counters of one process, starting at 0. */
export class MetricCounters {
  private readonly counts = new Map<string, number>();

  /** Adds to a counter. */
  readonly add = (name: string, amount = 1): void => void this.counts.set(name, (this.counts.get(name) ?? 0) + amount);

  /** All counters that were incremented, by name. */
  readonly all = (): Record<string, number> => Object.fromEntries(this.counts);

  /** The counters as lines of `name value`, sorted by name. */
  readonly lines = (): string[] =>
    [...this.counts].sort(([a], [b]) => (a < b ? -1 : 1)).map(([name, count]) => `${name} ${count}`);
}
