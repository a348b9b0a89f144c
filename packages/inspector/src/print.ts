/** Formats rows for people and for programs. */
import type { Row } from './statusReader.js';

const cell = (value: unknown): string =>
  value === null || value === undefined ? '-' : typeof value === 'object' ? JSON.stringify(value) : String(value);

/** `table` formats rows as aligned columns, `json` as one JSON object per line. */
export const print = {
  table: (rows: readonly Row[]): string => {
    if (rows.length === 0) return '(nothing)\n';
    const columns = [...new Set(rows.flatMap((row) => Object.keys(row)))];
    const lines = [columns, ...rows.map((row) => columns.map((column) => cell(row[column])))];
    const widths = columns.map((_, at) => Math.max(...lines.map((line) => (line[at] ?? '').length)));
    return `${lines
      .map((line) =>
        line
          .map((text, at) => text.padEnd(widths[at] ?? 0))
          .join('  ')
          .trimEnd(),
      )
      .join('\n')}\n`;
  },
  json: (rows: readonly Row[]): string =>
    `${rows.map((row) => JSON.stringify(row)).join('\n')}${rows.length > 0 ? '\n' : ''}`,
};
