/** Collects the points of measured quantities over a dimension of the fleet. */
import type { Point } from './curveFit.js';
import { measuredRuns } from './measuredRuns.js';
import type { Measurement } from './table.js';

/** The description of a series: run, quantity, unit, dimension, and the size to forecast for. */
export type SeriesHead = Omit<Measurement, 'points'>;

/** The points of one run; repeats add values at the same size. */
export class Series {
  private readonly points = new Map<number, number[]>();

  constructor(private readonly head: SeriesHead) {}

  /** Adds a value measured at the size `x`. */
  readonly add = (x: number, value: number): void => void this.points.set(x, [...(this.points.get(x) ?? []), value]);

  /** Returns all points in ascending order of size. */
  readonly measurement = (): Measurement => ({
    ...this.head,
    points: [...this.points].sort(([a], [b]) => a - b).map(([x, values]): Point => ({ x, values })),
  });
}

/** The series of one probe, each under its key. */
export type SeriesOf<Runs> = { readonly [Key in keyof Runs]: Series };

/** Creates the series of a probe from the names of their runs, in the order in which they are reported. */
export const defineSeries = <Runs extends Readonly<Record<string, keyof typeof measuredRuns>>>(
  runs: Runs,
): SeriesOf<Runs> => {
  const seriesOf = (run: keyof typeof measuredRuns): Series => {
    const [what, unit, dimension] = measuredRuns[run];
    return new Series({ run, what, unit, ...dimension });
  };
  return Object.fromEntries(Object.entries(runs).map(([key, run]) => [key, seriesOf(run)])) as SeriesOf<Runs>;
};

/** Returns the measurements of all series of a probe, in declaration order. */
export const measurementsOf = (series: Readonly<Record<string, Series>>): Measurement[] =>
  Object.values(series).map((one) => one.measurement());
