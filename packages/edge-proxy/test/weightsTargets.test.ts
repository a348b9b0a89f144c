import { expect } from 'chai';
import { SimWorld } from '@martenworks/test-fleet';
import { WeightsTargets } from '@martenworks/edge-proxy';

const versionMs = 8_000;
const model = 'm';

const named = (...versions: { version: number; msAgo: number }[]) => {
  const world = new SimWorld(9);
  const { clock } = world.machine('10.0.0.1').ports();
  const targets = new WeightsTargets(clock, versionMs);
  const added = targets.apply({ [model]: versions });
  return { world, targets, added };
};

describe('the targets of weights', () => {
  it('given no target, or the newest version, when it is asked how long a request may take to begin, then there is no bound', () => {
    const { targets } = named({ version: 2, msAgo: 60_000 });
    expect(targets.startWindowMs(model, 2)).to.equal(Infinity);
    expect(targets.startWindowMs(model, 3)).to.equal(Infinity);
    expect(targets.startWindowMs('another', 1)).to.equal(Infinity);
    expect(targets.mayStartWithin(model, 2, versionMs)).to.equal(true);
  });

  it('given an older version, when time goes by, then the window shrinks to nothing before the bound is reached', async () => {
    const { world, targets } = named({ version: 2, msAgo: 1_000 });
    let before = targets.startWindowMs(model, 1);
    expect(before).to.be.below(versionMs - 1_000);
    for (let ms = 1_000; ms < versionMs; ms += 500) {
      const window = targets.startWindowMs(model, 1);
      expect(ms + window).to.be.at.most(Math.max(ms, versionMs * 0.9));
      expect(window).to.be.at.most(before);
      before = window;
      await world.run(500);
    }
    expect(targets.startWindowMs(model, 1)).to.equal(0);
  });

  it('given a request placed in time and held up since, when it is to be written, then it is refused once it could begin beyond the bound', async () => {
    const { world, targets } = named({ version: 2, msAgo: 0 });
    await world.run(5_000);
    const givenMs = targets.startWindowMs(model, 1);
    expect(targets.mayStartWithin(model, 1, givenMs)).to.equal(true);
    await world.run(300);
    expect(targets.mayStartWithin(model, 1, givenMs)).to.equal(true);
    await world.run(200);
    expect(targets.mayStartWithin(model, 1, givenMs)).to.equal(false);
  });

  it('given several newer targets, when the window of a version is asked for, then the first that superseded it counts', () => {
    const { targets, added } = named({ version: 2, msAgo: 6_000 }, { version: 3, msAgo: 100 });
    expect(added.map(({ version }) => version)).to.deep.equal([2, 3]);
    expect(targets.supersededForMs(model, 1)).to.equal(6_000);
    expect(targets.supersededForMs(model, 2)).to.equal(100);
    expect(targets.supersededForMs(model, 3)).to.equal(null);
    expect(targets.startWindowMs(model, 1)).to.be.below(targets.startWindowMs(model, 2));
  });

  it('given a target that is known, when a control node that heard of it later announces it, then its time stays and it is not new', async () => {
    const { world, targets } = named({ version: 2, msAgo: 0 });
    await world.run(3_000);
    expect(targets.apply({ [model]: [{ version: 2, msAgo: 10 }] })).to.deep.equal([]);
    expect(targets.supersededForMs(model, 1)).to.equal(3_000);
  });
});
