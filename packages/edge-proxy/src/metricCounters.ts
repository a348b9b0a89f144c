/** Named gateways of one edge, since its start. */
export class MetricCounters {
  private readonly counts = new Map<string, number>();

  readonly add = (name: string): void => void this.counts.set(name, (this.counts.get(name) ?? 0) + 1);

  readonly all = (): Record<string, number> => Object.fromEntries(this.counts);
}
