import { fork } from 'node:child_process';
import { mkdirSync, readFileSync, writeFileSync } from 'node:fs';
import { cpus, totalmem } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { parseArgs } from 'node:util';
import { capacityModel } from '../capacity/model.js';
import { plots } from '../capacity/plot.js';
import { probes } from '../capacity/probes.js';
import { tables } from '../capacity/table.js';
import type { Measurement } from '../capacity/table.js';

const { values } = parseArgs({
  options: {
    out: { type: 'string', default: 'docs/capacity' },
    only: { type: 'string' },
    from: { type: 'string' },
    help: { type: 'boolean', short: 'h' },
  },
});
const names = values.only === undefined ? Object.keys(probes) : values.only.split(',');
if (values.help === true) {
  process.stdout.write(
    `measures what each part costs as the fleet grows and writes a table, JSON and a plot: --out FOLDER --only NAME,NAME --from FILE, which works the lines of the size out and plots again from a slopes.json (without it all: ${Object.keys(probes).join(', ')})\n`,
  );
  process.exit(0);
}
const sizePage = (held: readonly Measurement[]): string =>
  [
    '# Worked out at the size',
    '',
    'Each line is a product of the runs in [`slopes.md`](slopes.md), each taken at the size (measured there, on its line, or by its exponent at the top; that table tells which).',
    '',
    capacityModel.markdown(held),
    '',
  ].join('\n');

if (values.from !== undefined) {
  const held = JSON.parse(readFileSync(values.from, 'utf8')) as Measurement[];
  writeFileSync(join(values.out, 'size.md'), sizePage(held));
  writeFileSync(join(values.out, 'slopes.svg'), plots.svg(held));
  process.exit(0);
}
const unknown = names.filter((name) => probes[name] === undefined);
if (unknown.length > 0) {
  process.stderr.write(
    `--only: no such measurement: ${unknown.join(', ')}\nknown: ${Object.keys(probes).join(', ')}\n`,
  );
  process.exit(2);
}

const patienceMs = 90_000;
const wholeMs = 350_000;
const heapMegabytes = 4_500;

interface ProbeOutcome {
  readonly measured: readonly Measurement[];
  readonly peakBytes: number;
}

const run = (name: string, limitMs: number): Promise<ProbeOutcome | null> =>
  new Promise((settle) => {
    const child = fork(fileURLToPath(new URL('../capacity/probeProcess.js', import.meta.url)), [name], {
      execArgv: ['--expose-gc', `--max-old-space-size=${heapMegabytes}`],
    });
    let outcome: ProbeOutcome | null = null;
    const late = setTimeout(() => child.kill('SIGKILL'), limitMs);
    child.on('message', (message) => (outcome = message as ProbeOutcome));
    child.on('exit', () => {
      clearTimeout(late);
      settle(outcome);
    });
  });

const began = performance.now();
const measured: Measurement[] = [];
const took: string[] = [];
const missing: string[] = [];
for (const name of names) {
  const at = performance.now();
  const left = wholeMs - (at - began);
  const outcome = left <= 0 ? null : await run(name, Math.min(patienceMs, left));
  if (outcome === null) missing.push(name);
  else measured.push(...outcome.measured);
  took.push(
    `${name} ${((performance.now() - at) / 1_000).toFixed(0)} s${outcome === null ? '' : `, ${Math.round(outcome.peakBytes / 2 ** 20)} MB at its peak`}`,
  );
  process.stdout.write(
    `${outcome === null ? 'FAILED ' : ''}${took[took.length - 1]}\n${(outcome?.measured ?? []).map((one) => `${tables.row(one)}\n`).join('')}`,
  );
}
const machineLine = `${cpus().length} cores of ${cpus()[0]?.model ?? 'unknown make'}, ${Math.round(totalmem() / 2 ** 30)} GB, Node ${process.versions.node}`;
const text = [
  '# Measured slopes',
  '',
  `Written by \`npm run measure:capacity\` in ${((performance.now() - began) / 1_000).toFixed(0)} s on ${machineLine}. Read \`../CAPACITY.md\` for what follows from it.`,
  `A run's name is its row. Spread: the widest (most - least) / median over one point's repeats. Time each: ${took.join('; ')}.`,
  ...(missing.length === 0 ? [] : ['', `Not measured: ${missing.join(', ')}.`]),
  '',
  tables.markdown(measured),
  '',
].join('\n');
mkdirSync(values.out, { recursive: true });
writeFileSync(join(values.out, 'slopes.md'), text);
writeFileSync(join(values.out, 'slopes.json'), `${JSON.stringify(tables.asJson(measured), null, 1)}\n`);
writeFileSync(join(values.out, 'size.md'), sizePage(measured));
writeFileSync(join(values.out, 'slopes.svg'), plots.svg(measured));
process.exit(missing.length === 0 ? 0 : 1);
