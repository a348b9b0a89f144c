/** `npm run trials`: seeded fault-injection runs on the simulated fleet, in parallel, with a summary of all runs. */
import { availableParallelism } from 'node:os';
import { parseArgs } from 'node:util';
import { Worker, isMainThread, parentPort, workerData } from 'node:worker_threads';
import { FaultInjectionRun } from '../faults/faultInjectionRun.js';
import { deploymentSizes, faultKinds, permanentLossKinds } from '../faults/faultSchedule.js';
import type { FaultKind, FaultSchedule, PermanentLossKind } from '../faults/faultSchedule.js';
import { FaultInjectionSummary } from './faultInjectionSummary.js';
import type { RunResult } from './faultInjectionSummary.js';
import { exitWithUsageError } from './usageError.js';

const singleFaultSpanMs = 14_000;
const workerRole = 'fault injection';

const usage = `seeded fault-injection runs on the simulated fleet, checked against every safety invariant

  --from N       first seed (1)
  --seeds N      number of seeds (20)
  --faults N     faults per run (6)
  --only "KIND"  one kind of fault, or several separated by commas
  --each         one run with one fault for each kind and seed, with its recovery time
  --final KIND   the permanent loss at the end of each run (chosen by seed)
  --size SIZE    small (4 gateways, 6 replicas), or stations or sawmill: full deployment sizes (small)
  --jobs N       concurrent runs (all cores)
  --verbose      print the log of each failing run

kinds: ${faultKinds.join(', ')}
permanent losses: ${permanentLossKinds.join(', ')}
`;

const logOf = ({ fleet }: FaultInjectionRun): string[] =>
  fleet.world.logLines.map(
    ({ at, machine, message, context }) => `    ${Math.round(at)} ${machine} ${message} ${JSON.stringify(context)}`,
  );

const runSchedule = async (schedule: FaultSchedule): Promise<RunResult> => {
  const run = new FaultInjectionRun(schedule);
  try {
    const report = await run.run();
    const logLines = report.violations.length > 0 ? logOf(run) : [];
    return { schedule, report, injected: report.injected, error: '', logLines };
  } catch (cause) {
    const error = cause instanceof Error ? (cause.stack ?? cause.message) : String(cause);
    return { schedule, report: null, injected: run.injected, error, logLines: logOf(run) };
  }
};

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
  }).values;

type Flags = ReturnType<typeof readFlags>;

const readFlagsOrExit = (): Flags => {
  try {
    return readFlags();
  } catch (cause) {
    return exitWithUsageError(cause instanceof Error ? cause.message : String(cause));
  }
};

const parseInteger = (name: string, raw: string, min: number): number =>
  /^\d+$/.test(raw) && Number(raw) >= min
    ? Number(raw)
    : exitWithUsageError(`--${name}: must be a whole number of ${min} or more`);

const findName = <Name extends string>(flag: string, names: readonly Name[], raw: string): Name =>
  names.find((name) => name === raw.trim()) ??
  exitWithUsageError(`--${flag}: no such fault: ${raw.trim()}\nknown: ${names.join(', ')}`);

const sizeOf = (name: string): Partial<FaultSchedule> => {
  const sizes: Readonly<Record<string, Partial<FaultSchedule>>> = deploymentSizes;
  return sizes[name] ?? exitWithUsageError(`--size: no such size: ${name}\nknown: ${Object.keys(sizes).join(', ')}`);
};

const schedulesOf = (flags: Flags): FaultSchedule[] => {
  const { only, final } = flags;
  const kinds: readonly FaultKind[] =
    only === undefined ? faultKinds : only.split(',').map((kind) => findName('only', faultKinds, kind));
  const loss: { permanentLoss?: PermanentLossKind } =
    final === undefined ? {} : { permanentLoss: findName('final', permanentLossKinds, final) };
  const common = { ...sizeOf(flags.size), ...loss };
  const from = parseInteger('from', flags.from, 0);
  const seeds = Array.from({ length: parseInteger('seeds', flags.seeds, 1) }, (_, at) => from + at);
  if (!flags.each) {
    const faultCount = parseInteger('faults', flags.faults, 0);
    return seeds.map((seed) => ({ seed, kinds, faultCount, ...common }));
  }
  const single = { faultCount: 1, spanMs: singleFaultSpanMs, ...common };
  return seeds.flatMap((seed) => kinds.map((kind) => ({ seed, kinds: [kind], ...single })));
};

/** Runs a worker thread that processes schedules from the queue until it is empty. */
const runWorker = (queue: FaultSchedule[], onResult: (result: RunResult) => void): Promise<void> =>
  new Promise((done, fail) => {
    const worker = new Worker(new URL(import.meta.url), { workerData: workerRole });
    const next = (): void => {
      const schedule = queue.shift();
      if (schedule === undefined) void worker.terminate().then(() => done());
      else worker.postMessage(schedule);
    };
    worker.on('message', (result: RunResult) => {
      onResult(result);
      next();
    });
    worker.on('error', fail);
    next();
  });

const main = async (): Promise<number> => {
  const flags = readFlagsOrExit();
  if (flags.help === true) {
    process.stdout.write(usage);
    return 0;
  }
  const queue = schedulesOf(flags);
  const summary = new FaultInjectionSummary(queue, flags.size, flags.verbose);
  const workers = Math.min(queue.length, parseInteger('jobs', flags.jobs, 1));
  await Promise.all(Array.from({ length: workers }, () => runWorker(queue, summary.add)));
  summary.print();
  return summary.hasFailures() ? 1 : 0;
};

if (isMainThread) process.exit(await main());
else if (workerData === workerRole)
  parentPort?.on(
    'message',
    (schedule: FaultSchedule) => void runSchedule(schedule).then((result) => parentPort?.postMessage(result)),
  );
