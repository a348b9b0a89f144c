/** The command `npm run model`: explores schedules, on several cores with `--jobs`, or replays a script. */
import { readFileSync } from 'node:fs';
import { parseArgs } from 'node:util';
import { Worker, isMainThread, parentPort, workerData } from 'node:worker_threads';
import { injectedFaults } from './injectedFaults.js';
import type { Rule } from './checker.js';
import { profiles } from './profiles.js';
import { choiceKinds } from './choices.js';
import type { ChoiceKind, Script } from './choices.js';
import { explorer } from './explorer.js';
import type { Counterexample, Outcome, Plan } from './explorer.js';

const usage = `npm run model -- [--schedules N] [--seconds T] [--depth D] [--seed S] [--voters 3|5] [--break NAME] [--rules A,B] [--profile NAME] [--jobs N]
npm run model -- --replay FILE

Explores schedules of the consensus group: the product's own proposer, acceptor, log, membership and leases on simulated
disks and links. Prints the number of steps of each kind; a counterexample is shrunk and printed as a script.
profiles: ${profiles.map((one) => one.name).join(', ')}
breaks: ${injectedFaults.all.map((one) => one.name).join(', ')}
`;

const { values } = parseArgs({
  options: {
    schedules: { type: 'string', default: '4000' },
    seconds: { type: 'string' },
    depth: { type: 'string', default: '150' },
    seed: { type: 'string', default: '1' },
    voters: { type: 'string', default: '3' },
    break: { type: 'string' },
    rules: { type: 'string' },
    profile: { type: 'string' },
    jobs: { type: 'string', default: '1' },
    replay: { type: 'string' },
    help: { type: 'boolean', default: false },
  },
});

const maxJobs = 16;

const print = (text: string): void => void process.stdout.write(`${text}\n`);

const replayFile = async (file: string): Promise<number> => {
  const script = JSON.parse(readFileSync(file, 'utf8')) as Script;
  const violation = await explorer.replay(script);
  print(violation === null ? 'no rule is broken' : `${violation.rule}: ${violation.detail}`);
  return violation === null ? 0 : 1;
};

const planOf = (job: number, jobs: number): Plan => ({
  voters: Number(values.voters),
  depth: Number(values.depth),
  seed: Number(values.seed) + job,
  schedules: Math.ceil(Number(values.schedules) / jobs),
  stride: jobs,
  breakName: values.break ?? null,
  ...(values.seconds === undefined ? {} : { seconds: Number(values.seconds) }),
  ...(values.profile === undefined ? {} : { profile: values.profile }),
  ...(values.rules === undefined ? {} : { rules: values.rules.split(',') as Rule[] }),
});

const exploreInWorker = (plan: Plan): Promise<Outcome> =>
  new Promise((resolve, reject) => {
    const worker = new Worker(new URL(import.meta.url), { workerData: plan, argv: process.argv.slice(2) });
    worker.once('message', resolve);
    worker.once('error', reject);
  });

const printShrunk = async (counterexample: Counterexample): Promise<void> => {
  const { script, violation } = await explorer.shrink(counterexample);
  print(`rule broken, ${violation.rule}: ${violation.detail}`);
  print(
    `found by seed ${script.seed}, ${counterexample.script.choices.length} steps, shrunk to ${script.choices.length}:`,
  );
  print(JSON.stringify(script));
};

const exploreAll = async (): Promise<number> => {
  const jobs = Math.max(1, Math.min(maxJobs, Number(values.jobs)));
  const startedAt = performance.now();
  const outcomes = await Promise.all(Array.from({ length: jobs }, (_, job) => exploreInWorker(planOf(job, jobs))));
  const steps = (kind: ChoiceKind): number => outcomes.reduce((sum, outcome) => sum + (outcome.steps[kind] ?? 0), 0);
  const schedules = outcomes.reduce((sum, outcome) => sum + outcome.schedules, 0);
  const chosenChanges = outcomes.reduce((sum, outcome) => sum + outcome.chosenChanges, 0);
  const seconds = ((performance.now() - startedAt) / 1_000).toFixed(1);
  print(`${schedules} schedules, ${values.voters} voters, depth ${values.depth}, ${seconds} s, ${jobs} jobs`);
  print(`changes chosen ${chosenChanges}; steps ${choiceKinds.map((kind) => `${kind} ${steps(kind)}`).join(', ')}`);
  for (const { otherViolations } of outcomes)
    for (const [rule, count] of Object.entries(otherViolations))
      print(`schedules that broke another rule, ${rule}: ${count}`);
  const counterexamples = outcomes.flatMap((outcome) => outcome.counterexample ?? []);
  for (const counterexample of counterexamples) await printShrunk(counterexample);
  if (counterexamples.length === 0) print('no rule is broken');
  return counterexamples.length === 0 ? 0 : 1;
};

const main = async (): Promise<number> => {
  if (values.help) {
    print(usage);
    return 0;
  }
  if (values.break !== undefined && injectedFaults.find(values.break) === null) {
    print(usage);
    return 2;
  }
  return values.replay === undefined ? exploreAll() : replayFile(values.replay);
};

if (isMainThread) process.exitCode = await main();
else parentPort?.postMessage(await explorer.explore(workerData as Plan));
