import { expect } from 'chai';
import { Judge } from '../sim/judge.js';
import { SimFleet } from '../sim/simFleet.js';

describe('the ordinary path', () => {
  it('given a whole fleet, when eight tenants ask for ten seconds, then every call is answered whole and no rule is broken', async () => {
    const fleet = new SimFleet({ seed: 1, fronts: 9, replicas: 13 });
    await fleet.up();
    const judge = new Judge(fleet);
    judge.traffic(60, 10_000);
    await fleet.world.run(30_000);
    expect(judge.complaints()).to.deep.equal([]);
    expect(judge.tally()).to.deep.equal({ whole: judge.calls.length });
    expect(judge.calls.length).to.be.greaterThan(500);
    expect(judge.runs().filter((run) => run.cacheFrom !== null).length).to.be.greaterThan(0);
  });
});
