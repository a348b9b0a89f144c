export class MetricCounters {
  private readonly counts = new Map<string, number>();

  readonly add = (name: string, amount = 1): void => void this.counts.set(name, (this.counts.get(name) ?? 0) + amount);

  readonly read = (name: string): number => this.counts.get(name) ?? 0;

  readonly lines = (): string[] =>
    [...this.counts].sort(([a], [b]) => (a < b ? -1 : 1)).map(([name, count]) => `${name} ${count}`);
}
