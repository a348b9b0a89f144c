/** Collects the points of one measured quantity over a size of the fleet. */
import type { Point } from './curveFit.js';
import type { Measurement } from './table.js';

/** What is measured, in which unit, over which size, and the size to forecast for. */
export type SeriesHead = Omit<Measurement, 'points'>;

/** The size that a series runs over, and its value in the fleet that is planned for. */
export interface Dimension {
  readonly over: string;
  readonly target: number;
}

/** Several repeats may add values at the same size. */
export class Series {
  private readonly points = new Map<number, number[]>();

  constructor(private readonly head: SeriesHead) {}

  readonly add = (x: number, value: number): void => void this.points.set(x, [...(this.points.get(x) ?? []), value]);

  /** All points by rising size. */
  readonly measurement = (): Measurement => ({
    ...this.head,
    points: [...this.points].sort(([a], [b]) => a - b).map(([x, values]): Point => ({ x, values })),
  });
}

/** The name of the run, what is measured, its unit and dimension. */
type SeriesRow = readonly [run: string, what: string, unit: string, dimension: Dimension];

/** The series of one probe, each under its key. */
export type SeriesOf<Rows> = { readonly [Key in keyof Rows]: Series };

/** Declares the series of a probe as a table, in the order in which they are reported. */
export const defineSeries = <Rows extends Readonly<Record<string, SeriesRow>>>(rows: Rows): SeriesOf<Rows> => {
  const entries = Object.entries(rows).map(([key, [run, what, unit, dimension]]) => [
    key,
    new Series({ run, what, unit, ...dimension }),
  ]);
  return Object.fromEntries(entries) as SeriesOf<Rows>;
};

/** The measurements of all series of a probe, in the order in which they were declared. */
export const measurementsOf = (series: Readonly<Record<string, Series>>): Measurement[] =>
  Object.values(series).map((one) => one.measurement());
