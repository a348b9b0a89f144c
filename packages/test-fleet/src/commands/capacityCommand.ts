/** `npm run measure:capacity`: measures what each part costs as the fleet grows; writes tables, JSON and a plot. */
import { fork } from 'node:child_process';
import { mkdirSync, readFileSync, writeFileSync } from 'node:fs';
import { cpus, totalmem } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { parseArgs } from 'node:util';
import { capacityModel } from '../capacity/model.js';
import { plots } from '../capacity/plot.js';
import type { ProbeOutcome } from '../capacity/probeProcess.js';
import { probes } from '../capacity/probes.js';
import { tables } from '../capacity/table.js';
import type { Measurement } from '../capacity/table.js';

const failureExitCode = 1;
const usageExitCode = 2;
const probeLimitMs = 90_000;
const totalLimitMs = 350_000;
const heapMegabytes = 4_500;
const msPerSecond = 1_000;
const probeFile = fileURLToPath(new URL('../capacity/probeProcess.js', import.meta.url));
const knownNames = probes.map(({ name }) => name);

const { values } = parseArgs({
  options: {
    out: { type: 'string', default: 'docs/capacity' },
    only: { type: 'string' },
    from: { type: 'string' },
    help: { type: 'boolean', short: 'h' },
  },
});

const usage = `measures what each part costs as the fleet grows and writes a table, JSON and a plot: --out FOLDER --only NAME,NAME --from FILE, which works the lines of the size out and plots again from a slopes.json (without it all: ${knownNames.join(', ')})\n`;

/** One probe that ran, or failed where it has no outcome. */
interface ProbeRun {
  readonly name: string;
  readonly seconds: number;
  readonly outcome: ProbeOutcome | null;
}

const sizePage = (measured: readonly Measurement[]): string =>
  [
    '# Worked out at the size',
    '',
    'Each line is a product of the runs in [`slopes.md`](slopes.md), each taken at the size (measured there, on its line, or by its exponent at the top; that table tells which).',
    '',
    capacityModel.markdown(measured),
    '',
  ].join('\n');

const writeForecasts = (measured: readonly Measurement[]): void => {
  writeFileSync(join(values.out, 'size.md'), sizePage(measured));
  writeFileSync(join(values.out, 'slopes.svg'), plots.svg(measured));
};

/** Each probe has a process of its own, so that none runs on the heap of another. Null: it failed or took too long. */
const runProbe = (name: string, limitMs: number): Promise<ProbeOutcome | null> =>
  new Promise((resolve) => {
    const child = fork(probeFile, [name], { execArgv: ['--expose-gc', `--max-old-space-size=${heapMegabytes}`] });
    let outcome: ProbeOutcome | null = null;
    const limit = setTimeout(() => child.kill('SIGKILL'), limitMs);
    child.on('message', (message) => (outcome = message as ProbeOutcome));
    child.on('exit', () => {
      clearTimeout(limit);
      resolve(outcome);
    });
  });

const timeOf = ({ name, seconds, outcome }: ProbeRun): string => {
  const peak = outcome === null ? '' : `, ${Math.round(outcome.peakBytes / 2 ** 20)} MB at its peak`;
  return `${name} ${seconds.toFixed(0)} s${peak}`;
};

const printRun = (run: ProbeRun): void => {
  const rows = (run.outcome?.measured ?? []).map((one) => `${tables.row(one)}\n`);
  process.stdout.write(`${run.outcome === null ? 'FAILED ' : ''}${timeOf(run)}\n${rows.join('')}`);
};

const runProbes = async (names: readonly string[]): Promise<ProbeRun[]> => {
  const endAt = performance.now() + totalLimitMs;
  const runs: ProbeRun[] = [];
  for (const name of names) {
    const beganAt = performance.now();
    const limitMs = Math.min(probeLimitMs, endAt - beganAt);
    const outcome = limitMs <= 0 ? null : await runProbe(name, limitMs);
    const run = { name, seconds: (performance.now() - beganAt) / msPerSecond, outcome };
    printRun(run);
    runs.push(run);
  }
  return runs;
};

const slopesPage = (runs: readonly ProbeRun[], measured: readonly Measurement[]): string => {
  const seconds = runs.reduce((sum, run) => sum + run.seconds, 0);
  const machine = `${cpus().length} cores of ${cpus()[0]?.model ?? 'unknown make'}, ${Math.round(totalmem() / 2 ** 30)} GB, Node ${process.versions.node}`;
  const missing = runs.filter(({ outcome }) => outcome === null).map(({ name }) => name);
  return [
    '# Measured slopes',
    '',
    `Written by \`npm run measure:capacity\` in ${seconds.toFixed(0)} s on ${machine}. Read \`../CAPACITY.md\` for what follows from it.`,
    `A run's name is its row. Spread: the widest (most - least) / median over one point's repeats. Time each: ${runs.map(timeOf).join('; ')}.`,
    ...(missing.length === 0 ? [] : ['', `Not measured: ${missing.join(', ')}.`]),
    '',
    tables.markdown(measured),
    '',
  ].join('\n');
};

const measureAll = async (names: readonly string[]): Promise<number> => {
  const runs = await runProbes(names);
  const measured = runs.flatMap(({ outcome }) => outcome?.measured ?? []);
  mkdirSync(values.out, { recursive: true });
  writeFileSync(join(values.out, 'slopes.md'), slopesPage(runs, measured));
  writeFileSync(join(values.out, 'slopes.json'), `${JSON.stringify(tables.asJson(measured), null, 1)}\n`);
  writeForecasts(measured);
  return runs.every(({ outcome }) => outcome !== null) ? 0 : failureExitCode;
};

const main = async (): Promise<number> => {
  if (values.help === true) {
    process.stdout.write(usage);
    return 0;
  }
  if (values.from !== undefined) {
    writeForecasts(JSON.parse(readFileSync(values.from, 'utf8')) as Measurement[]);
    return 0;
  }
  const names = values.only === undefined ? knownNames : values.only.split(',');
  const unknown = names.filter((name) => !knownNames.includes(name));
  if (unknown.length > 0) {
    process.stderr.write(`--only: no such measurement: ${unknown.join(', ')}\nknown: ${knownNames.join(', ')}\n`);
    return usageExitCode;
  }
  return measureAll(names);
};

process.exit(await main());
