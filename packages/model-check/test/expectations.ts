import { expect } from 'chai';
import { explorer } from '@martenworks/model-check';
import type { Plan, Rule, Script } from '@martenworks/model-check';

const defaultPlan = { voters: 3, depth: 150, seed: 1, stride: 1, breakName: null };

/** Explores and expects that no schedule breaks a rule of the plan; a counterexample is shrunk and shown as a script. */
export const expectNoViolation = async (plan: Partial<Plan> & { schedules: number }): Promise<void> => {
  const outcome = await explorer.explore({ ...defaultPlan, ...plan });
  if (outcome.counterexample === null) return;
  const { violation, script } = await explorer.shrink(outcome.counterexample);
  expect.fail(`${violation.rule}: ${violation.detail}\n${JSON.stringify(script)}`);
};

/** Explores with an injected fault and expects that one of `rules` is broken within `plan.schedules` schedules. */
export const expectViolationFound = async (
  breakName: string,
  rules: readonly Rule[],
  plan: Partial<Plan> & { schedules: number },
): Promise<void> => {
  const outcome = await explorer.explore({ ...defaultPlan, ...plan, rules, breakName });
  expect(outcome.counterexample, `${breakName} within ${plan.schedules} schedules`).to.not.equal(null);
};

/** Replays a script twice: with its injected fault it must break `rule`, without the fault it must break no rule. */
export const expectViolationOnlyWithFault = async (script: Script, rule: Rule): Promise<void> => {
  expect((await explorer.replay(script))?.rule, 'with the injected fault').to.equal(rule);
  expect(await explorer.replay({ ...script, breakName: null }), 'without the injected fault').to.equal(null);
};
