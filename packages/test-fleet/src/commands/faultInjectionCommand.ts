import { availableParallelism } from 'node:os';
import { parseArgs } from 'node:util';
import { Worker, isMainThread, parentPort, workerData } from 'node:worker_threads';
import { FaultInjectionRun } from '../faults/faultInjectionRun.js';
import type { FaultInjectionReport } from '../faults/faultInjectionRun.js';
import { faultKinds, permanentLossKinds, deploymentSizes } from '../faults/faultSchedule.js';
import type { FaultKind, PermanentLossKind, FaultSchedule } from '../faults/faultSchedule.js';

const usage = `seeded storms over the in-memory fleet; every line of the never list is judged

  --from N       first seed (1)
  --seeds N      how many seeds (20)
  --faults N     faults in a storm (6)
  --only "KIND"  one kind of fault, or several parted by commas
  --each         one storm of one fault for each kind and seed, with its recovery
  --final KIND   what is lost for good at the end of each storm (drawn by seed)
  --size SIZE    small (4 counters, 6 replicas), stations or sawmill: the users' full sizes (small)
  --jobs N       storms at once (all cores)
  --verbose      the log of each failing seed

kinds: ${faultKinds.join(', ')}
finals: ${permanentLossKinds.join(', ')}
`;

interface Result {
  readonly plan: FaultSchedule;
  readonly report: FaultInjectionReport | null;
  readonly injected: Record<string, number>;
  readonly fault: string;
  readonly lines: readonly string[];
}

const runSchedule = async (plan: FaultSchedule): Promise<Result> => {
  const run = new FaultInjectionRun(plan);
  const lines = (): string[] =>
    run.fleet.world.logLines.map(
      (line) => `    ${Math.round(line.at)} ${line.machine} ${line.message} ${JSON.stringify(line.context)}`,
    );
  try {
    const report = await run.run();
    return { plan, report, injected: report.injected, fault: '', lines: report.violations.length > 0 ? lines() : [] };
  } catch (cause) {
    return {
      plan,
      report: null,
      injected: run.injected,
      fault: String((cause as Error).stack ?? cause),
      lines: lines(),
    };
  }
};

const quantile = (sorted: readonly number[], share: number): number =>
  Math.round(sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0);

const exitWithUsageError = (text: string): never => {
  process.stderr.write(`${text}\n`);
  process.exit(2);
};

const count = (name: string, raw: string, least: number): number =>
  /^\d+$/.test(raw) && Number(raw) >= least
    ? Number(raw)
    : exitWithUsageError(`--${name}: must be a whole number of ${least} or more`);

const readFlags = () =>
  parseArgs({
    options: {
      from: { type: 'string', default: '1' },
      seeds: { type: 'string', default: '20' },
      faults: { type: 'string', default: '6' },
      only: { type: 'string' },
      each: { type: 'boolean', default: false },
      final: { type: 'string' },
      size: { type: 'string', default: 'small' },
      jobs: { type: 'string', default: String(availableParallelism()) },
      verbose: { type: 'boolean', default: false },
      help: { type: 'boolean', short: 'h' },
    },
  });

const run = async (): Promise<void> => {
  let parsed: ReturnType<typeof readFlags>;
  try {
    parsed = readFlags();
  } catch (cause) {
    return exitWithUsageError(String((cause as Error).message));
  }
  const { values } = parsed;
  if (values.help === true) {
    process.stdout.write(usage);
    process.exit(0);
  }
  const kinds =
    values.only === undefined ? [...faultKinds] : values.only.split(',').map((kind) => kind.trim() as FaultKind);
  for (const kind of kinds)
    if (!faultKinds.includes(kind))
      exitWithUsageError(`--only: no such fault: ${kind}\nknown: ${faultKinds.join(', ')}`);
  if (values.final !== undefined && !permanentLossKinds.includes(values.final as PermanentLossKind))
    exitWithUsageError(`--final: no such fault: ${values.final}\nknown: ${permanentLossKinds.join(', ')}`);
  const size =
    (deploymentSizes as Record<string, Partial<FaultSchedule>>)[values.size] ??
    exitWithUsageError(`--size: no such size: ${values.size}\nknown: ${Object.keys(deploymentSizes).join(', ')}`);
  const from = count('from', values.from, 0);
  const seeds = Array.from({ length: count('seeds', values.seeds, 1) }, (_, at) => from + at);
  const more = { ...size, ...(values.final === undefined ? {} : { final: values.final as PermanentLossKind }) };
  const waiting: FaultSchedule[] = values.each
    ? seeds.flatMap((seed) => kinds.map((kind) => ({ seed, kinds: [kind], faults: 1, spanMs: 14_000, ...more })))
    : seeds.map((seed) => ({ seed, kinds, faults: count('faults', values.faults, 0), ...more }));
  const total = waiting.length;
  const injected: Record<string, number> = {};
  const rules: Record<string, number> = {};
  const permanentLosses: Record<string, number> = {};
  const recoveries = new Map<string, (number | null)[]>();
  const shares = new Map<string, [number, number, number, number]>();
  let failing = 0;
  let calls = 0;
  const record = ({ plan, report, injected: injectedHere, fault, lines }: Result): void => {
    for (const [kind, times] of Object.entries(injectedHere)) injected[kind] = (injected[kind] ?? 0) + times;
    if (report !== null) {
      calls += report.calls;
      permanentLosses[report.permanentLoss] = (permanentLosses[report.permanentLoss] ?? 0) + 1;
      for (const violation of report.violations) rules[violation.rule] = (rules[violation.rule] ?? 0) + 1;
      for (const span of report.intervals)
        recoveries.set(span.kind, [...(recoveries.get(span.kind) ?? []), span.recoveryMs]);
      for (const { tier, during, after } of report.shares) {
        const held = shares.get(tier) ?? [0, 0, 0, 0];
        shares.set(tier, [held[0] + during[0], held[1] + during[1], held[2] + after[0], held[3] + after[1]]);
      }
      if (report.violations.length === 0) return;
    } else rules['the storm did not end'] = (rules['the storm did not end'] ?? 0) + 1;
    failing += 1;
    process.stdout.write(
      `seed ${plan.seed}: ${JSON.stringify(injectedHere)} ${report === null ? fault : `${report.permanentLoss} ${JSON.stringify(report.metrics)}`}\n`,
    );
    for (const violation of report?.violations.slice(0, 5) ?? [])
      process.stdout.write(`  ${violation.rule}: ${violation.detail}\n`);
    if (values.verbose) process.stdout.write(`${lines.join('\n')}\n`);
  };
  const work = (): Promise<void> =>
    new Promise((done, fail) => {
      const worker = new Worker(new URL(import.meta.url), { workerData: 'trial' });
      const next = (): void => {
        const plan = waiting.shift();
        if (plan === undefined) void worker.terminate().then(() => done());
        else worker.postMessage(plan);
      };
      worker.on('message', (result: Result) => {
        record(result);
        next();
      });
      worker.on('error', fail);
      next();
    });
  await Promise.all(Array.from({ length: Math.min(total, count('jobs', values.jobs, 1)) }, work));
  process.stdout.write(
    `seeds ${from}..${from + seeds.length - 1}, ${values.size}: ${total} storms, ${calls} calls, ${failing} failing\nbrought: ${JSON.stringify(injected)}\nlost for good: ${JSON.stringify(permanentLosses)}\nrules: ${JSON.stringify(rules)}\n`,
  );
  for (const [kind, all] of [...recoveries].sort()) {
    const times = all.filter((one) => one !== null).sort((a, b) => a - b);
    process.stdout.write(
      `  ${kind.padEnd(40)} n=${all.length} back after p50=${quantile(times, 0.5)} p95=${quantile(times, 0.95)} max=${times.at(-1) ?? '-'} ms, not within 12 s: ${all.length - times.length}\n`,
    );
  }
  for (const [tier, [inWhole, inAll, afterWhole, afterAll]] of shares)
    process.stdout.write(
      `  tier ${tier.padEnd(8)} whole during faults ${inWhole} of ${inAll}, after ${afterWhole} of ${afterAll}\n`,
    );
  process.exit(failing === 0 ? 0 : 1);
};

if (isMainThread) await run();
else if (workerData === 'trial')
  parentPort?.on(
    'message',
    (plan: FaultSchedule) => void runSchedule(plan).then((result) => parentPort?.postMessage(result)),
  );
