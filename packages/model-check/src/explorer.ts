/** Explores schedules by seeds, and shrinks a schedule that breaks a rule to a short script. */
import { injectedFaults } from './injectedFaults.js';
import type { Rule, Violation } from './checker.js';
import type { Choice, ChoiceKind, Script } from './choices.js';
import { SeededRandom } from './seededRandom.js';
import { profiles } from './profiles.js';
import type { Profile } from './profiles.js';
import { Scheduler } from './scheduler.js';
import { World } from './world.js';

/** What is explored: `schedules` of `depth` steps each, by the seeds from `seed` on, `stride` apart. */
export interface Plan {
  readonly voters: number;
  readonly depth: number;
  readonly seed: number;
  readonly schedules: number;
  readonly stride: number;
  readonly breakName: string | null;
  /** Only a violation of these ends the search; a schedule that breaks another rule first is passed over. All rules where absent. */
  readonly rules?: readonly Rule[];
  /** Ends the search after so many seconds, where given. */
  readonly seconds?: number;
  /** The only profile of steps to draw by; all of them in turn where absent. */
  readonly profile?: string;
}

/** A schedule that breaks a rule, with the script that shows it again. */
export interface Counterexample {
  readonly script: Script;
  readonly violation: Violation;
}

/** What an exploration has covered, and the counterexample that ended it, if any. */
export interface Outcome {
  readonly schedules: number;
  readonly steps: Partial<Record<ChoiceKind, number>>;
  /** Changes that were chosen, over all schedules. */
  readonly chosenChanges: number;
  /** Schedules that ended at a rule that was not looked for. */
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

/** Runs one script and ends it fairly; the first violation, or null. */
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

/** Runs one schedule drawn by its seed, up to the first rule that it breaks. */
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

/** Explores schedules until one breaks a rule that is looked for, or all are done. */
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

/** Drops steps of a script for as long as what is left still breaks the same rule. */
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

/** The explorer of schedules. */
export const explorer = { explore, replay, shrink };
