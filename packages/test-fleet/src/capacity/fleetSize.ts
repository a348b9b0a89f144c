import type { Point } from './curveFit.js';
import type { Measurement } from './table.js';

export const fleetSize = {
  nodes: 400,
  replicas: 1_000,
  blocks: 28_000_000,
  events: 280_000,
  requests: 1_500,
  tenants: 3_100,
  voters: 3,
  controlMachines: 6,
  changesADay: 1_700,
};
export const runningPerFront = Math.round((fleetSize.requests * (0.82 + 246 * 0.056)) / fleetSize.nodes);

export const nodeCounts = [10, 50, 100, 200, 400];
export const replicaCounts = [50, 100, 250, 500, 1_000];
export const tenantCounts = [10, 100, 1_000, 2_000, 3_100];
export const blocksPerReplica = fleetSize.blocks / fleetSize.replicas;

export class Series {
  private readonly points = new Map<number, number[]>();

  constructor(private readonly head: Omit<Measurement, 'points'>) {}

  readonly add = (x: number, value: number): void => void this.points.set(x, [...(this.points.get(x) ?? []), value]);

  readonly measurement = (): Measurement => ({
    ...this.head,
    points: [...this.points].sort(([a], [b]) => a - b).map(([x, values]): Point => ({ x, values })),
  });
}

export const series = (run: string, what: string, unit: string, over: string, target: number): Series =>
  new Series({ run, what, unit, over, target });
