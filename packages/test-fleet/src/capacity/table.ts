/** Formats measured series as a Markdown table and as JSON. */
import { fits } from './curveFit.js';
import type { Point } from './curveFit.js';

/** One quantity measured at several sizes, and the size to forecast for. */
export interface Measurement {
  readonly run: string;
  readonly what: string;
  readonly unit: string;
  readonly over: string;
  readonly target: number;
  readonly points: readonly Point[];
}

const figure = (value: number): string => {
  if (!Number.isFinite(value)) return 'none';
  if (value === 0) return '0';
  const size = Math.abs(value);
  if (size >= 1_000_000_000) return `${(value / 1_000_000_000).toPrecision(3)}G`;
  if (size >= 1_000_000) return `${(value / 1_000_000).toPrecision(3)}M`;
  if (size >= 10_000) return `${Math.round(value / 1_000)}k`;
  if (size >= 1_000) return `${(value / 1_000).toPrecision(3)}k`;
  if (size >= 100) return String(Math.round(value));
  return String(Number(value.toPrecision(3)));
};

const row = (one: Measurement): string => {
  const fitted = fits.fit(one.points);
  const forecast = fits.forecast(one.points, fitted, one.target);
  const shape =
    fitted.shape === 'not a line' ? `not a line, x^${fitted.exponent.toFixed(2)} at the largest sizes` : fitted.shape;
  const points = one.points.map((point) => `${figure(point.x)}: ${figure(fits.median(point.values))}`).join(', ');
  const cells = [
    `\`${one.run}\``,
    `${one.what} (${one.unit})`,
    one.over,
    points,
    figure(fitted.slope),
    figure(fitted.intercept),
    fitted.r2.toFixed(3),
    `${Math.round(fitted.spread * 100)} %`,
    shape,
    `${figure(forecast.value)} at ${figure(one.target)}, ${forecast.how}`,
  ];
  return `| ${cells.join(' | ')} |`;
};

const columns = [
  'run',
  'measured (unit)',
  'over',
  'medians',
  'slope',
  'intercept',
  'r2',
  'widest spread',
  'shape',
  'at the planned size',
];

const markdown = (all: readonly Measurement[]): string =>
  [`| ${columns.join(' | ')} |`, `|${'---|'.repeat(columns.length)}`, ...all.map(row)].join('\n');

const asJson = (all: readonly Measurement[]): unknown =>
  all.map((one) => {
    const fitted = fits.fit(one.points);
    return { ...one, fit: fitted, forecast: fits.forecast(one.points, fitted, one.target) };
  });

/** `figure` rounds a number to three digits, `row` and `markdown` format the table, `asJson` adds fit and forecast. */
export const tables = { figure, row, markdown, asJson };
