import { expect } from 'chai';
import { TargetWeightsAges } from '@martenworks/control-plane';
import { SimWorld } from '@martenworks/test-fleet';

const remembering = () => {
  const world = new SimWorld(4);
  return { world, named: new TargetWeightsAges(world.machine('10.0.0.1').ports().clock) };
};

describe('since when weights are named', () => {
  it('given targets noted one after the other, when ages are asked for, then each counts from when it was first noted', async () => {
    const { world, named } = remembering();
    named.recordTargets({ m: 2 });
    await world.run(1_000);
    named.recordTargets({ m: 2 });
    named.recordTargets({ m: 5 });
    await world.run(500);
    expect(named.ages()).to.deep.equal({
      m: [
        { version: 2, msAgo: 1_500 },
        { version: 5, msAgo: 500 },
      ],
    });
  });

  it('given a node that heard late, when another one tells a longer age, then that counts, and a shorter one changes nothing', async () => {
    const { world, named } = remembering();
    named.recordTargets({ m: 2 });
    named.mergeAges({ m: [{ version: 2, msAgo: 4_000 }], n: [{ version: 3, msAgo: 70 }] });
    named.mergeAges({ m: [{ version: 2, msAgo: 100 }] });
    await world.run(1_000);
    expect(named.ages()).to.deep.equal({ m: [{ version: 2, msAgo: 5_000 }], n: [{ version: 3, msAgo: 1_070 }] });
  });

  it('given many versions, when they are noted, then the latest are kept', () => {
    const { named } = remembering();
    for (let version = 1; version <= 40; version += 1) named.recordTargets({ m: version });
    expect(named.ages().m?.map(({ version }) => version)).to.deep.equal([33, 34, 35, 36, 37, 38, 39, 40]);
  });
});
