import { existsSync, readdirSync } from 'node:fs';
import { availableParallelism } from 'node:os';
import { basename, dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { Worker, isMainThread, parentPort, workerData } from 'node:worker_threads';
import Mocha from 'mocha';

interface Part {
  readonly wanted: string;
  readonly at: number;
  readonly parts: number;
}

interface Verdict {
  readonly title: string;
  readonly fault: string | null;
  readonly tookMs: number;
}

const folder = join(dirname(fileURLToPath(import.meta.url)), 'stories');
const platform = join(dirname(fileURLToPath(import.meta.url)), '../../../platform');

const storyFiles = (): string[] => {
  const inFolder = (at: string, ending: string): string[] => (existsSync(at) ? readdirSync(at).sort().filter((file) => file.endsWith(ending)).map((file) => join(at, file)) : []);
  const platformFiles = existsSync(platform) ? readdirSync(platform).sort().flatMap((name) => inFolder(join(platform, name, 'dist/test'), '.test.js')) : [];
  return [...inFolder(folder, '.js'), ...platformFiles];
};

const keepPart = (suite: Mocha.Suite, part: Part, counter: { seen: number }): void => {
  suite.tests = suite.tests.filter(() => (counter.seen += 1) % part.parts === part.at);
  for (const inner of suite.suites) keepPart(inner, part, counter);
};

const tell = async (part: Part): Promise<void> => {
  const mocha = new Mocha({ timeout: 900_000, forbidOnly: true, reporter: class {} as never });
  for (const file of storyFiles()) if (basename(file).includes(part.wanted)) mocha.addFile(file);
  await mocha.loadFilesAsync();
  keepPart(mocha.suite, part, { seen: 0 });
  const runner = mocha.run(() => parentPort?.postMessage(null));
  const told = (test: Mocha.Runnable, fault: string | null): void => parentPort?.postMessage({ title: test.fullTitle(), fault, tookMs: test.duration ?? 0 } satisfies Verdict);
  runner.on('pass', (test) => told(test, null));
  runner.on('fail', (test, cause: Error) => told(test, String(cause.stack ?? cause)));
};

const launch = async (): Promise<void> => {
  let passed = 0;
  const faults: Verdict[] = [];
  const parts = Math.max(1, Math.min(8, availableParallelism()));
  const hear = (verdict: Verdict): void => {
    if (verdict.fault === null) passed += 1;
    else faults.push(verdict);
    process.stdout.write(`${verdict.fault === null ? 'ok    ' : 'FAILED'} ${verdict.title} (${verdict.tookMs} ms)\n`);
  };
  const work = (at: number): Promise<void> =>
    new Promise((done) => {
      const worker = new Worker(new URL(import.meta.url), { workerData: { wanted: process.argv[2] ?? '', at, parts } satisfies Part });
      worker.on('message', (verdict: Verdict | null) => (verdict === null ? void worker.terminate() : hear(verdict)));
      worker.on('error', (cause) => hear({ title: `part ${at}`, fault: String(cause.stack ?? cause), tookMs: 0 }));
      worker.on('exit', () => done());
    });
  await Promise.all(Array.from({ length: parts }, (_, at) => work(at)));
  for (const { title, fault } of faults) process.stdout.write(`\n${title}\n${fault}\n`);
  process.stdout.write(`\n${passed} passed, ${faults.length} failed\n`, () => process.exit(passed > 0 && faults.length === 0 ? 0 : 1));
};

if (isMainThread) await launch();
else await tell(workerData as Part);
