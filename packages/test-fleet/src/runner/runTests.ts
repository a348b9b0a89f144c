/**
 * The test runner: `runTests [--slowest N] [PART]` runs the compiled tests whose path contains PART, or all tests, in
 * up to eight worker threads, and exits with 0 if no test failed except those listed in KNOWN-RED.txt. The tests of files
 * named `*.isolated.test.ts` run after all others, one at a time.
 *
 * `--slowest N` prints the N slowest tests at the end of the run.
 */
import { existsSync, readFileSync, readdirSync } from 'node:fs';
import { availableParallelism } from 'node:os';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { parseArgs } from 'node:util';
import { Worker, isMainThread, parentPort, workerData } from 'node:worker_threads';
import Mocha from 'mocha';
import { failureText } from './failureText.js';
import { knownFailures } from './knownFailures.js';
import type { TestResult } from './knownFailures.js';
import { slowestTests } from './slowestTests.js';
import type { TimedTest } from './slowestTests.js';
import { TestClaims } from './testClaims.js';

/** `parallel` tests run side by side in several workers; `isolated` ones one at a time, after all others. */
type Phase = 'parallel' | 'isolated';

interface WorkerPlan {
  readonly pathPart: string;
  readonly claims: SharedArrayBuffer;
  readonly phase: Phase;
}

type Message =
  | { readonly kind: 'loaded'; readonly declared: readonly string[]; readonly selected: readonly string[] }
  | { readonly kind: 'result'; readonly result: TestResult; readonly durationMs: number }
  | { readonly kind: 'done' };

const maxWorkers = 8;
const root = join(dirname(fileURLToPath(import.meta.url)), '../../../..');
const testsFolder = join(root, 'target/tests');
const listFile = join(root, 'KNOWN-RED.txt');

const hasSource = (file: string): boolean => existsSync(join(root, file.replace(/\.js$/, '.ts')));

const testFiles = (): string[] =>
  readdirSync(testsFolder, { recursive: true, encoding: 'utf8' })
    .filter((file) => file.endsWith('.test.js') && hasSource(file))
    .sort();

const phaseOf = (file: string): Phase => (file.endsWith('.isolated.test.js') ? 'isolated' : 'parallel');

const testsIn = (suite: Mocha.Suite): Mocha.Test[] => [...suite.tests, ...suite.suites.flatMap(testsIn)];

const filterTests = (suite: Mocha.Suite, isSelected: (test: Mocha.Test) => boolean): void => {
  suite.tests = suite.tests.filter(isSelected);
  for (const inner of suite.suites) filterTests(inner, isSelected);
};

/** Makes each test run only if this worker claims it first; returns the tests that were skipped because another did. */
const claimBeforeRun = (tests: readonly Mocha.Test[], claims: TestClaims): ReadonlySet<Mocha.Runnable> => {
  const skipped = new Set<Mocha.Runnable>();
  for (const [position, test] of tests.entries()) {
    const { fn } = test;
    if (fn === undefined) continue;
    if (fn.length > 0) throw new Error(`tests with a callback parameter are not supported: ${test.fullTitle()}`);
    test.fn = function (this: Mocha.Context) {
      if (claims.claim(position)) return (fn as Mocha.AsyncFunc).call(this);
      skipped.add(test);
    };
  }
  return skipped;
};

const runWorker = async (plan: WorkerPlan): Promise<void> => {
  const post = (message: Message): void => parentPort?.postMessage(message);
  const mocha = new Mocha({ timeout: 900_000, forbidOnly: true, reporter: class {} as never });
  const files = testFiles();
  const selectedFiles = new Set(
    files
      .filter((file) => file.includes(plan.pathPart) && phaseOf(file) === plan.phase)
      .map((file) => join(testsFolder, file)),
  );
  for (const file of files) mocha.addFile(join(testsFolder, file));
  await mocha.loadFilesAsync();
  const declared = testsIn(mocha.suite).map((test) => test.fullTitle());
  filterTests(mocha.suite, (test) => selectedFiles.has(test.file ?? ''));
  const tests = testsIn(mocha.suite);
  const skipped = claimBeforeRun(tests, new TestClaims(plan.claims));
  post({ kind: 'loaded', declared, selected: tests.map((test) => test.fullTitle()) });
  const runner = mocha.run(() => post({ kind: 'done' }));
  const report = (test: Mocha.Runnable, error: string | null): void =>
    post({
      kind: 'result',
      result: { title: test.fullTitle(), error, isTest: (test as { type?: string }).type === 'test' },
      durationMs: test.duration ?? 0,
    });
  runner.on('pass', (test) => {
    if (!skipped.has(test)) report(test, null);
  });
  runner.on('fail', (test, cause: unknown) => report(test, failureText.of(cause)));
};

const readArguments = (): { pathPart: string; slowest: number } => {
  const { positionals, values } = parseArgs({ allowPositionals: true, options: { slowest: { type: 'string' } } });
  const slowest = Number(values.slowest ?? 0);
  if (!Number.isInteger(slowest) || slowest < 0) throw new Error('--slowest: must be a whole number of 0 or more');
  return { pathPart: positionals[0] ?? '', slowest };
};

const launch = async (): Promise<void> => {
  const { pathPart, slowest } = readArguments();
  const timed: TimedTest[] = [];
  const results: TestResult[] = [];
  const selected = new Set<string>();
  let declared: readonly string[] = [];
  const count = Math.max(1, Math.min(maxWorkers, availableParallelism()));
  const listing = knownFailures.parse(existsSync(listFile) ? readFileSync(listFile, 'utf8') : '');
  const listed = new Set(listing.entries.map((entry) => entry.title));
  const record = (result: TestResult, durationMs: number): void => {
    results.push(result);
    if (result.isTest) timed.push({ title: result.title, durationMs });
    const label = result.error === null ? 'ok    ' : result.isTest && listed.has(result.title) ? 'known red' : 'FAILED';
    process.stdout.write(`${label} ${result.title} (${durationMs} ms)\n`);
  };
  const startWorker = (at: number, plan: WorkerPlan): Promise<void> =>
    new Promise((done) => {
      const worker = new Worker(new URL(import.meta.url), { workerData: plan });
      worker.on('message', (message: Message) => {
        if (message.kind === 'done') void worker.terminate();
        else if (message.kind === 'result') record(message.result, message.durationMs);
        else {
          declared = message.declared;
          for (const title of message.selected) selected.add(title);
        }
      });
      worker.on('error', (cause) => record({ title: `worker ${at}`, error: failureText.of(cause), isTest: false }, 0));
      worker.on('exit', () => done());
    });
  const startWorkers = async (phase: Phase, workers: number): Promise<void> => {
    const plan: WorkerPlan = { pathPart, claims: TestClaims.createMemory(), phase };
    await Promise.all(Array.from({ length: workers }, (_, at) => startWorker(at, plan)));
  };
  await startWorkers('parallel', count);
  await startWorkers('isolated', 1);
  const verdict = knownFailures.evaluate(listing, { results, declared, selected: [...selected] });
  if (slowest > 0) process.stdout.write(`\n${slowestTests.lines(timed, slowest).join('\n')}\n`);
  process.stdout.write(`${knownFailures.lines(verdict).join('\n')}\n`, () => process.exit(verdict.isPassing ? 0 : 1));
};

if (isMainThread) await launch();
else await runWorker(workerData as WorkerPlan);
