import { expect } from 'chai';
import { SimWorld } from '@martenworks/test-fleet';
import { WeightsTargets } from '@martenworks/edge-proxy';

const versionMs = 8_000;
const model = 'm';

const targetsWith = (...versions: { version: number; msAgo: number }[]) => {
  const world = new SimWorld(9);
  const { clock } = world.machine('10.0.0.1').ports();
  const targets = new WeightsTargets(clock, versionMs);
  const added = targets.apply({ [model]: versions });
  return { world, targets, added };
};

describe('weights targets', () => {
  it('given no target, or the newest version, when the start window is queried, then there is no limit', () => {
    const { targets } = targetsWith({ version: 2, msAgo: 60_000 });
    expect(targets.startWindowMs(model, 2)).to.equal(Infinity);
    expect(targets.startWindowMs(model, 3)).to.equal(Infinity);
    expect(targets.startWindowMs('another', 1)).to.equal(Infinity);
    expect(targets.mayStartWithin(model, 2, versionMs)).to.equal(true);
  });

  it('given an older version, when time passes, then its start window shrinks to zero before the limit is reached', async () => {
    const { world, targets } = targetsWith({ version: 2, msAgo: 1_000 });
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

  it('given a request placed in time and delayed since, when it is about to be sent, then it may be sent only if it cannot start beyond the limit', async () => {
    const { world, targets } = targetsWith({ version: 2, msAgo: 0 });
    await world.run(5_000);
    const startWindowMs = targets.startWindowMs(model, 1);
    expect(targets.mayStartWithin(model, 1, startWindowMs)).to.equal(true);
    await world.run(300);
    expect(targets.mayStartWithin(model, 1, startWindowMs)).to.equal(true);
    await world.run(200);
    expect(targets.mayStartWithin(model, 1, startWindowMs)).to.equal(false);
  });

  it('given several newer targets, when the start window of a version is queried, then the first target that superseded it counts', () => {
    const { targets, added } = targetsWith({ version: 2, msAgo: 6_000 }, { version: 3, msAgo: 100 });
    expect(added.map(({ version }) => version)).to.deep.equal([2, 3]);
    expect(targets.supersededForMs(model, 1)).to.equal(6_000);
    expect(targets.supersededForMs(model, 2)).to.equal(100);
    expect(targets.supersededForMs(model, 3)).to.equal(null);
    expect(targets.startWindowMs(model, 1)).to.be.below(targets.startWindowMs(model, 2));
  });

  it('given a known target, when a control node that learned of it later announces it, then its time is unchanged and it is not new', async () => {
    const { world, targets } = targetsWith({ version: 2, msAgo: 0 });
    await world.run(3_000);
    expect(targets.apply({ [model]: [{ version: 2, msAgo: 10 }] })).to.deep.equal([]);
    expect(targets.supersededForMs(model, 1)).to.equal(3_000);
  });
});
