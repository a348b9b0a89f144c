/** Explores schedules drawn from seeds, and shrinks a schedule that breaks a rule to a short script. */
import { injectedFaults } from './injectedFaults.js';
import type { Rule, Violation } from './checker.js';
import type { Choice, ChoiceKind, Script } from './choices.js';
import { SeededRandom } from './seededRandom.js';
import { profiles } from './profiles.js';
import type { Profile } from './profiles.js';
import { Scheduler } from './scheduler.js';
import { World } from './world.js';

/** What to explore: `schedules` schedules of up to `depth` steps each, with the seeds `seed`, `seed + stride`, and so on. */
export interface Plan {
  readonly voters: number;
  readonly depth: number;
  readonly seed: number;
  readonly schedules: number;
  readonly stride: number;
  readonly breakName: string | null;
  /** The rules whose violation ends the search; a schedule that breaks another rule first is only counted. Default: all rules. */
  readonly rules?: readonly Rule[];
  /** Time limit of the search in seconds. Default: none. */
  readonly seconds?: number;
  /** The profile from which all schedules are drawn. Default: all profiles in turn. */
  readonly profile?: string;
}

/** A schedule that breaks a rule, as a script that reproduces the violation. */
export interface Counterexample {
  readonly script: Script;
  readonly violation: Violation;
}

/** What an exploration covered, and the counterexample that ended it, if any. */
export interface Outcome {
  readonly schedules: number;
  readonly steps: Partial<Record<ChoiceKind, number>>;
  /** Number of changes chosen, over all schedules. */
  readonly chosenChanges: number;
  /** Number of schedules that ended in a violation of a rule outside `Plan.rules`, by rule. */
  readonly otherViolations: Partial<Record<Rule, number>>;
  readonly counterexample: Counterexample | null;
}

interface ScheduleResult {
  readonly script: Script;
  readonly violation: Violation | null;
  readonly chosenChanges: number;
}

const schedulerSeedSalt = 0x5bd1e995;
const maxShrinkRuns = 1_500;

const firstViolation = (world: World): Violation | null => world.checker().violations[0] ?? null;

const isWanted = (violation: Violation, rules?: readonly Rule[]): boolean =>
  rules === undefined || rules.includes(violation.rule);

const withWorld = async <T>(
  voters: number,
  seed: number,
  breakName: string | null,
  work: (world: World) => Promise<T>,
): Promise<T> => {
  const fault = injectedFaults.find(breakName);
  const restore = fault?.install?.();
  try {
    const world = new World(voters, seed, fault);
    await world.bootstrap();
    return await work(world);
  } finally {
    restore?.();
  }
};

/** Runs a script and its liveness phase; returns the first violation, or null. */
const replay = (script: Script): Promise<Violation | null> =>
  withWorld(script.voters, script.seed, script.breakName, async (world) => {
    for (const choice of script.choices) {
      await world.apply(choice);
      const violation = firstViolation(world);
      if (violation !== null) return violation;
    }
    await world.finish();
    return firstViolation(world);
  });

const profileOf = (plan: Plan, seed: number): Profile =>
  profiles.find((profile) => profile.name === plan.profile) ?? (profiles[seed % profiles.length] as Profile);

/** Runs the schedule of one seed up to its first violation. */
const runSchedule = (plan: Plan, seed: number, count: (choice: Choice) => void): Promise<ScheduleResult> =>
  withWorld(plan.voters, seed, plan.breakName, async (world) => {
    const scheduler = new Scheduler(world, new SeededRandom(seed ^ schedulerSeedSalt), profileOf(plan, seed));
    const choices: Choice[] = [];
    for (let step = 0; step < plan.depth && firstViolation(world) === null; step += 1) {
      const choice = scheduler.next();
      if (!(await world.apply(choice))) continue;
      choices.push(choice);
      count(choice);
    }
    if (firstViolation(world) === null) await world.finish();
    const script: Script = { voters: plan.voters, seed, breakName: plan.breakName, choices };
    return { script, violation: firstViolation(world), chosenChanges: world.checker().newestChosenIndex() };
  });

/** Explores schedules until one breaks a rule of the plan, the time limit is reached, or all are done. */
const explore = async (plan: Plan): Promise<Outcome> => {
  const steps: Partial<Record<ChoiceKind, number>> = {};
  const otherViolations: Partial<Record<Rule, number>> = {};
  const endAt = performance.now() + (plan.seconds ?? Number.POSITIVE_INFINITY) * 1_000;
  let chosenChanges = 0;
  let at = 0;
  for (; at < plan.schedules && performance.now() < endAt; at += 1) {
    const { script, violation, ...run } = await runSchedule(plan, plan.seed + at * plan.stride, (choice) => {
      steps[choice.do] = (steps[choice.do] ?? 0) + 1;
    });
    chosenChanges += run.chosenChanges;
    if (violation === null) continue;
    if (isWanted(violation, plan.rules))
      return { schedules: at + 1, steps, chosenChanges, otherViolations, counterexample: { script, violation } };
    otherViolations[violation.rule] = (otherViolations[violation.rule] ?? 0) + 1;
  }
  return { schedules: at, steps, chosenChanges, otherViolations, counterexample: null };
};

/** Removes steps from a script as long as the remaining ones still break the same rule. */
const shrink = async (counterexample: Counterexample): Promise<Counterexample> => {
  let shortest = counterexample;
  let runs = 0;
  for (let size = Math.ceil(counterexample.script.choices.length / 2); size >= 1; ) {
    let hasShrunk = false;
    for (let at = 0; at < shortest.script.choices.length && runs < maxShrinkRuns; runs += 1) {
      const choices = shortest.script.choices.toSpliced(at, size);
      const script = { ...shortest.script, choices };
      const violation = await replay(script);
      if (violation?.rule !== counterexample.violation.rule) at += size;
      else {
        shortest = { script, violation };
        hasShrunk = true;
      }
    }
    if (runs >= maxShrinkRuns) break;
    if (size > 1) size = Math.ceil(size / 2);
    else if (!hasShrunk) break;
  }
  return shortest;
};

/** Explores, replays and shrinks schedules. */
export const explorer = { explore, replay, shrink };
