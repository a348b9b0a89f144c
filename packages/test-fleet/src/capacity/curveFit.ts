/** Fits measured points to a line, and forecasts the value at a size that was not measured. */

/** The values measured at one size, `x`. */
export interface Point {
  readonly x: number;
  readonly values: readonly number[];
}

type Shape = 'flat' | 'line' | 'not a line';

interface Fit {
  readonly slope: number;
  readonly intercept: number;
  readonly r2: number;
  readonly exponent: number;
  readonly spread: number;
  readonly shape: Shape;
}

/** The widest range of a flat series, as a share of its mean. */
const maxFlatRange = 0.25;
const minR2 = 0.97;
/** The largest error of the line at the last point, as a share of the value there. */
const maxLastPointError = 0.15;

const median = (values: readonly number[]): number => {
  const sorted = [...values].sort((a, b) => a - b);
  const half = sorted.length >> 1;
  if (sorted.length === 0) return Number.NaN;
  return sorted.length % 2 === 1
    ? (sorted[half] as number)
    : ((sorted[half - 1] as number) + (sorted[half] as number)) / 2;
};

const leastSquares = (
  pairs: readonly (readonly [number, number])[],
): { slope: number; intercept: number; r2: number } => {
  const meanX = pairs.reduce((sum, [x]) => sum + x, 0) / pairs.length;
  const meanY = pairs.reduce((sum, [, y]) => sum + y, 0) / pairs.length;
  const sxx = pairs.reduce((sum, [x]) => sum + (x - meanX) ** 2, 0);
  const sxy = pairs.reduce((sum, [x, y]) => sum + (x - meanX) * (y - meanY), 0);
  const slope = sxx === 0 ? 0 : sxy / sxx;
  const intercept = meanY - slope * meanX;
  const total = pairs.reduce((sum, [, y]) => sum + (y - meanY) ** 2, 0);
  const residual = pairs.reduce((sum, [x, y]) => sum + (y - intercept - slope * x) ** 2, 0);
  return { slope, intercept, r2: total === 0 ? 1 : 1 - residual / total };
};

const spreadOf = ({ values }: Point): number => {
  const middle = median(values);
  return middle === 0 ? 0 : (Math.max(...values) - Math.min(...values)) / Math.abs(middle);
};

const fit = (points: readonly Point[]): Fit => {
  const medians = points.map(({ x, values }) => [x, median(values)] as const);
  const line = leastSquares(medians);
  const top = medians.filter(([x, y]) => x > 0 && y > 0).slice(-3);
  const exponent = top.length < 2 ? 1 : leastSquares(top.map(([x, y]) => [Math.log(x), Math.log(y)])).slope;
  const ys = medians.map(([, y]) => y);
  const mean = ys.reduce((sum, y) => sum + y, 0) / ys.length;
  const isFlat = Math.max(...ys) - Math.min(...ys) <= maxFlatRange * Math.abs(mean);
  const last = medians[medians.length - 1];
  const lastPointError =
    last === undefined || last[1] === 0
      ? 0
      : Math.abs(line.intercept + line.slope * last[0] - last[1]) / Math.abs(last[1]);
  const isLine = line.r2 >= minR2 && lastPointError <= maxLastPointError;
  return {
    ...line,
    exponent,
    spread: Math.max(0, ...points.map(spreadOf)),
    shape: isFlat ? 'flat' : isLine ? 'line' : 'not a line',
  };
};

interface Forecast {
  readonly value: number;
  readonly how: 'measured' | 'interpolated' | 'extrapolated';
}

const forecast = (points: readonly Point[], fitted: Fit, target: number): Forecast => {
  const at = points.find(({ x }) => x === target);
  if (at !== undefined) return { value: median(at.values), how: 'measured' };
  const xs = points.map(({ x }) => x);
  const how = target < Math.max(...xs) && target > Math.min(...xs) ? 'interpolated' : 'extrapolated';
  const last = points[points.length - 1];
  if (last === undefined) return { value: Number.NaN, how };
  if (fitted.shape === 'flat') return { value: median(points.map(({ values }) => median(values))), how };
  if (fitted.shape === 'line') return { value: fitted.intercept + fitted.slope * target, how };
  return { value: median(last.values) * (target / last.x) ** fitted.exponent, how };
};

/** `fit` fits a line and classifies the shape, `forecast` gives the value at a size. */
export const fits = { median, leastSquares, fit, forecast };
