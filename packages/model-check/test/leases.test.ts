import { expect } from 'chai';
import { explorer } from '@martenworks/model-check';
import { fenceAcrossSwap, leaseAcrossSwap } from './counterexamples.js';
import { expectNoneBroken } from './explored.js';

describe('leases over explored schedules', () => {
  it('given a holder that loses its seat, when a new member asks for the lease, then the two do not hold it at once', async () =>
    expect(await explorer.replay(leaseAcrossSwap)).to.equal(null));

  it('given a holder that lost its seat, when it asks again, then it gets no fence below one already granted', async () =>
    expect(await explorer.replay(fenceAcrossSwap)).to.equal(null));

  it('given schedules without swaps, when leases are explored, then they are disjoint and fences rise', () =>
    expectNoneBroken({ schedules: 100, profile: 'leases', rules: ['leases disjoint', 'fences rising'] }));
});
