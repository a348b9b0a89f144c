/** Collects the points of one measured quantity over a size of the fleet. */
import type { Point } from './curveFit.js';
import { measuredRuns } from './measuredRuns.js';
import type { Measurement } from './table.js';

/** What is measured, in which unit, over which size, and the size to forecast for. */
export type SeriesHead = Omit<Measurement, 'points'>;

/** Several repeats may add values at the same size. */
export class Series {
  private readonly points = new Map<number, number[]>();

  constructor(private readonly head: SeriesHead) {}

  /** Adds a value measured at the size `x`. */
  readonly add = (x: number, value: number): void => void this.points.set(x, [...(this.points.get(x) ?? []), value]);

  /** All points by rising size. */
  readonly measurement = (): Measurement => ({
    ...this.head,
    points: [...this.points].sort(([a], [b]) => a - b).map(([x, values]): Point => ({ x, values })),
  });
}

/** The series of one probe, each under its key. */
export type SeriesOf<Runs> = { readonly [Key in keyof Runs]: Series };

/** The series of a probe by the names of their runs, in the order in which they are reported. */
export const defineSeries = <Runs extends Readonly<Record<string, keyof typeof measuredRuns>>>(
  runs: Runs,
): SeriesOf<Runs> => {
  const seriesOf = (run: keyof typeof measuredRuns): Series => {
    const [what, unit, dimension] = measuredRuns[run];
    return new Series({ run, what, unit, ...dimension });
  };
  return Object.fromEntries(Object.entries(runs).map(([key, run]) => [key, seriesOf(run)])) as SeriesOf<Runs>;
};

/** The measurements of all series of a probe, in the order in which they were declared. */
export const measurementsOf = (series: Readonly<Record<string, Series>>): Measurement[] =>
  Object.values(series).map((one) => one.measurement());
