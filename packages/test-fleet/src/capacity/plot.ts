/** Draws measured series as small panels of one SVG image. */
import { fits } from './curveFit.js';
import { tables } from './table.js';
import type { Measurement } from './table.js';

const width = 300;
const height = 190;
const columns = 3;
const margin = { left: 52, right: 12, top: 34, bottom: 30 };

const escapeXml = (text: string): string =>
  text.replace(/[&<>]/g, (char) => (char === '&' ? '&amp;' : char === '<' ? '&lt;' : '&gt;'));

const panel = (one: Measurement, at: number): string => {
  const [left, top] = [(at % columns) * width, Math.floor(at / columns) * height];
  const fitted = fits.fit(one.points);
  const xs = one.points.map(({ x }) => x);
  const [lowX, highX] = [Math.min(...xs), Math.max(...xs)];
  const highY = Math.max(...one.points.flatMap(({ values }) => values)) || 1;
  const toX = (x: number): number =>
    left + margin.left + ((x - lowX) / (highX - lowX || 1)) * (width - margin.left - margin.right);
  const toY = (y: number): number =>
    top + height - margin.bottom - (Math.max(0, Math.min(y, highY)) / highY) * (height - margin.top - margin.bottom);
  const line = (x: number): string => `${toX(x).toFixed(1)},${toY(fitted.intercept + fitted.slope * x).toFixed(1)}`;
  const text = (x: number, y: number, anchor: string, content: string): string =>
    `<text x="${x}" y="${y}" text-anchor="${anchor}">${escapeXml(content)}</text>`;
  return [
    `<path d="M${left + margin.left},${top + margin.top}V${top + height - margin.bottom}H${left + width - margin.right}" class="axis"/>`,
    `<path d="M${line(lowX)}L${line(highX)}" class="${fitted.shape === 'not a line' ? 'bent' : 'fit'}"/>`,
    `<path d="${one.points.map(({ x, values }) => `M${toX(x).toFixed(1)},${toY(Math.min(...values)).toFixed(1)}V${toY(Math.max(...values)).toFixed(1)}`).join('')}" class="range"/>`,
    ...one.points.map(
      ({ x, values }) => `<circle cx="${toX(x).toFixed(1)}" cy="${toY(fits.median(values)).toFixed(1)}" r="2"/>`,
    ),
    text(left + 6, top + 14, 'start', one.run),
    text(left + 6, top + 26, 'start', `${one.unit}, ${fitted.shape}`),
    text(left + margin.left - 4, top + margin.top + 8, 'end', tables.figure(highY)),
    text(left + margin.left, top + height - 16, 'middle', tables.figure(lowX)),
    text(left + width - margin.right, top + height - 16, 'end', tables.figure(highX)),
    text(left + (margin.left + width) / 2, top + height - 6, 'middle', one.over),
  ].join('');
};

const svg = (all: readonly Measurement[]): string => {
  const rows = Math.ceil(all.length / columns);
  const style =
    'text{font:9px sans-serif;fill:#222}.axis{fill:none;stroke:#888}.range{stroke:#222;stroke-opacity:.4}.fit{stroke:#27c;stroke-width:1.2}.bent{stroke:#c42;stroke-dasharray:4 3}circle{fill:#222}';
  return `<svg xmlns="http://www.w3.org/2000/svg" viewBox="0 0 ${columns * width} ${rows * height}"><style>${style}</style><rect width="100%" height="100%" fill="#fff"/>\n${all.map(panel).join('\n')}\n</svg>\n`;
};

/** `svg` returns the image, three panels per row. */
export const plots = { svg };
