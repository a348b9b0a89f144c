import { expect } from 'chai';
import { choiceKinds, explorer } from '@martenworks/model-check';
import type { Plan } from '@martenworks/model-check';

const faultyPlan: Plan = { voters: 3, depth: 150, seed: 1, stride: 1, schedules: 50, breakName: 'settle-early' };

describe('the schedule explorer', () => {
  it('given one seed, when it is explored twice, then both outcomes are equal', async () => {
    const plan = { ...faultyPlan, breakName: null, schedules: 20 };
    expect(await explorer.explore(plan)).to.deep.equal(await explorer.explore(plan));
  });

  it('given a counterexample, when its script is replayed, then it gives the same violation', async () => {
    const { counterexample } = await explorer.explore(faultyPlan);
    if (counterexample === null) return expect.fail('no counterexample was found');
    const script = JSON.parse(JSON.stringify(counterexample.script)) as typeof counterexample.script;
    expect(await explorer.replay(script)).to.deep.equal(counterexample.violation);
  });

  it('given a counterexample, when it is shrunk, then fewer steps break the same rule and each of them is needed', async () => {
    const { counterexample } = await explorer.explore(faultyPlan);
    if (counterexample === null) return expect.fail('no counterexample was found');
    const { script, violation } = await explorer.shrink(counterexample);
    expect(script.choices.length).to.be.lessThan(counterexample.script.choices.length);
    expect(violation.rule).to.equal(counterexample.violation.rule);
    for (const at of script.choices.keys()) {
      const shorter = await explorer.replay({ ...script, choices: script.choices.toSpliced(at, 1) });
      expect(shorter?.rule).to.not.equal(violation.rule);
    }
  });

  it('given a hundred schedules, when they are explored, then every kind of step occurs and changes are chosen', async () => {
    const outcome = await explorer.explore({ ...faultyPlan, breakName: null, schedules: 100, rules: [] });
    for (const kind of choiceKinds) expect(outcome.steps[kind] ?? 0, kind).to.be.greaterThan(0);
    expect(outcome.chosenChanges).to.be.greaterThan(100);
  });
});
