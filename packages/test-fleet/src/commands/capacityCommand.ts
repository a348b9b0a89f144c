/** `npm run measure:capacity`: measures the cost of each component by fleet size; writes tables, JSON and a plot. */
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
const probeTimeoutMs = 90_000;
const totalTimeoutMs = 350_000;
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

const usage = `measures the cost of each component by fleet size and writes tables, JSON and a plot

  --out FOLDER      the folder of the files (docs/capacity)
  --only NAME,NAME  the probes to run (all: ${knownNames.join(', ')})
  --from FILE       runs no probe; computes the estimates and the plot from this slopes.json
`;

/** A run of one probe; `outcome` is null if it failed. */
interface ProbeRun {
  readonly name: string;
  readonly seconds: number;
  readonly outcome: ProbeOutcome | null;
}

const estimatesPage = (measured: readonly Measurement[]): string =>
  [
    '# Capacity estimates for the planned fleet',
    '',
    'Each estimate is computed from the runs in [`slopes.md`](slopes.md) at the planned size. That table says for each run whether its value there was measured, interpolated or extrapolated, and the shape of its fit.',
    '',
    capacityModel.markdown(measured),
    '',
  ].join('\n');

const writeEstimates = (measured: readonly Measurement[]): void => {
  writeFileSync(join(values.out, 'size.md'), estimatesPage(measured));
  writeFileSync(join(values.out, 'slopes.svg'), plots.svg(measured));
};

/** Runs a probe in a process of its own, so that no other probe's heap affects it; null if it failed or timed out. */
const runProbe = (name: string, timeoutMs: number): Promise<ProbeOutcome | null> =>
  new Promise((resolve) => {
    const child = fork(probeFile, [name], { execArgv: ['--expose-gc', `--max-old-space-size=${heapMegabytes}`] });
    let outcome: ProbeOutcome | null = null;
    const timer = setTimeout(() => child.kill('SIGKILL'), timeoutMs);
    child.on('message', (message) => (outcome = message as ProbeOutcome));
    child.on('exit', () => {
      clearTimeout(timer);
      resolve(outcome);
    });
  });

const formatRun = ({ name, seconds, outcome }: ProbeRun): string => {
  const peak = outcome === null ? '' : `, peak memory ${Math.round(outcome.peakBytes / 2 ** 20)} MB`;
  return `${name} ${seconds.toFixed(0)} s${peak}`;
};

const printRun = (run: ProbeRun): void => {
  const rows = (run.outcome?.measured ?? []).map((one) => `${tables.row(one)}\n`);
  process.stdout.write(`${run.outcome === null ? 'FAILED ' : ''}${formatRun(run)}\n${rows.join('')}`);
};

const runProbes = async (names: readonly string[]): Promise<ProbeRun[]> => {
  const endAt = performance.now() + totalTimeoutMs;
  const runs: ProbeRun[] = [];
  for (const name of names) {
    const startedAt = performance.now();
    const timeoutMs = Math.min(probeTimeoutMs, endAt - startedAt);
    const outcome = timeoutMs <= 0 ? null : await runProbe(name, timeoutMs);
    const run = { name, seconds: (performance.now() - startedAt) / msPerSecond, outcome };
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
    `Written by \`npm run measure:capacity\` in ${seconds.toFixed(0)} s on ${machine}. See \`../CAPACITY.md\` for the conclusions.`,
    `Each row is a run. Widest spread: the largest (max - min) / median of the repeats at one size. Duration of each probe: ${runs.map(formatRun).join('; ')}.`,
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
  writeEstimates(measured);
  return runs.every(({ outcome }) => outcome !== null) ? 0 : failureExitCode;
};

const main = async (): Promise<number> => {
  if (values.help === true) {
    process.stdout.write(usage);
    return 0;
  }
  if (values.from !== undefined) {
    writeEstimates(JSON.parse(readFileSync(values.from, 'utf8')) as Measurement[]);
    return 0;
  }
  const names = values.only === undefined ? knownNames : values.only.split(',');
  const unknown = names.filter((name) => !knownNames.includes(name));
  if (unknown.length > 0) {
    process.stderr.write(`--only: unknown probe: ${unknown.join(', ')}\nknown: ${knownNames.join(', ')}\n`);
    return usageExitCode;
  }
  return measureAll(names);
};

process.exit(await main());
