import { expect } from 'chai';
import { explorer } from '@martenworks/model-check';
import { newestBaseRefused } from './counterexamples.js';
import { expectNoneBroken } from './explored.js';

describe('refusals over explored schedules', () => {
  it('given a member without the newest change, when an order on the newest version meets it, then it is not refused', async () =>
    expect(await explorer.replay(newestBaseRefused)).to.equal(null));

  it('given three voters, when schedules of ballots are explored, then no order on the newest version is refused', () =>
    expectNoneBroken({ schedules: 250, profile: 'ballots', rules: ['newest base refused'] }));
});
