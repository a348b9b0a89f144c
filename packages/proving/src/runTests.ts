import { existsSync, readdirSync } from 'node:fs';
import { availableParallelism } from 'node:os';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { Worker, isMainThread, parentPort, workerData } from 'node:worker_threads';
import Mocha from 'mocha';

interface TestResult {
  readonly title: string;
  readonly fault: string | null;
  readonly tookMs: number;
}

interface Shard {
  readonly wanted: string;
  readonly at: number;
  readonly count: number;
}

const root = join(dirname(fileURLToPath(import.meta.url)), '../../..');
const compiled = join(root, 'target/tests');

const hasSource = (file: string): boolean => existsSync(join(root, file.replace(/\.js$/, '.ts')));

const testFiles = (): string[] =>
  readdirSync(compiled, { recursive: true, encoding: 'utf8' })
    .filter((file) => file.endsWith('.test.js') && hasSource(file))
    .sort();

const keep = (suite: Mocha.Suite, isKept: (test: Mocha.Test) => boolean): void => {
  suite.tests = suite.tests.filter(isKept);
  for (const inner of suite.suites) keep(inner, isKept);
};

const runShard = async (shard: Shard): Promise<void> => {
  const mocha = new Mocha({ timeout: 900_000, forbidOnly: true, reporter: class {} as never });
  const files = testFiles();
  const wanted = new Set(files.filter((file) => file.includes(shard.wanted)).map((file) => join(compiled, file)));
  for (const file of files) mocha.addFile(join(compiled, file));
  await mocha.loadFilesAsync();
  let seen = 0;
  keep(mocha.suite, (test) => wanted.has(test.file ?? '') && (seen += 1) % shard.count === shard.at);
  const runner = mocha.run(() => parentPort?.postMessage(null));
  const tell = (test: Mocha.Runnable, fault: string | null): void => parentPort?.postMessage({ title: test.fullTitle(), fault, tookMs: test.duration ?? 0 } satisfies TestResult);
  runner.on('pass', (test) => tell(test, null));
  runner.on('fail', (test, cause: Error) => tell(test, String(cause.stack ?? cause)));
};

const launch = async (): Promise<void> => {
  let passed = 0;
  const failures: TestResult[] = [];
  const count = Math.max(1, Math.min(8, availableParallelism()));
  const take = (result: TestResult): void => {
    if (result.fault === null) passed += 1;
    else failures.push(result);
    process.stdout.write(`${result.fault === null ? 'ok    ' : 'FAILED'} ${result.title} (${result.tookMs} ms)\n`);
  };
  const work = (at: number): Promise<void> =>
    new Promise((done) => {
      const worker = new Worker(new URL(import.meta.url), { workerData: { wanted: process.argv[2] ?? '', at, count } satisfies Shard });
      worker.on('message', (result: TestResult | null) => (result === null ? void worker.terminate() : take(result)));
      worker.on('error', (cause) => take({ title: `part ${at}`, fault: String(cause.stack ?? cause), tookMs: 0 }));
      worker.on('exit', () => done());
    });
  await Promise.all(Array.from({ length: count }, (_, at) => work(at)));
  for (const { title, fault } of failures) process.stdout.write(`\n${title}\n${fault}\n`);
  process.stdout.write(`\n${passed} passed, ${failures.length} failed\n`, () => process.exit(passed > 0 && failures.length === 0 ? 0 : 1));
};

if (isMainThread) await launch();
else await runShard(workerData as Shard);
