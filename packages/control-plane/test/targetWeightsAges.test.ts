import { expect } from 'chai';
import { TargetWeightsAges } from '@martenworks/control-plane';
import { SimWorld } from '@martenworks/test-fleet';

const setUp = () => {
  const world = new SimWorld(4);
  return { world, ages: new TargetWeightsAges(world.machine('10.0.0.1').ports().clock) };
};

describe('ages of target weights', () => {
  it('given targets recorded one after the other, when the ages are read, then each counts from when it was first recorded', async () => {
    const { world, ages } = setUp();
    ages.recordTargets({ m: 2 });
    await world.run(1_000);
    ages.recordTargets({ m: 2 });
    ages.recordTargets({ m: 5 });
    await world.run(500);
    expect(ages.ages()).to.deep.equal({
      m: [
        { version: 2, msAgo: 1_500 },
        { version: 5, msAgo: 500 },
      ],
    });
  });

  it('given a node that learned of a target late, when another node reports a longer age, then that age is adopted, and a shorter one is ignored', async () => {
    const { world, ages } = setUp();
    ages.recordTargets({ m: 2 });
    ages.mergeAges({ m: [{ version: 2, msAgo: 4_000 }], n: [{ version: 3, msAgo: 70 }] });
    ages.mergeAges({ m: [{ version: 2, msAgo: 100 }] });
    await world.run(1_000);
    expect(ages.ages()).to.deep.equal({ m: [{ version: 2, msAgo: 5_000 }], n: [{ version: 3, msAgo: 1_070 }] });
  });

  it('given many versions of a model, when they are recorded, then only the latest 8 are kept', () => {
    const { ages } = setUp();
    for (let version = 1; version <= 40; version += 1) ages.recordTargets({ m: version });
    expect(ages.ages().m?.map(({ version }) => version)).to.deep.equal([33, 34, 35, 36, 37, 38, 39, 40]);
  });
});
