import { leaseAcrossSwap } from './counterexamples.js';
import { expectMended, expectNoneBroken } from './explored.js';

describe('leases over explored schedules', () => {
  it('given a holder that loses its seat, when a new member asks for the lease, then the two do not hold it at once', () =>
    expectMended(leaseAcrossSwap, 'leases disjoint'));

  it('given three voters, when schedules of leases are explored, then they are disjoint and fences rise', () =>
    expectNoneBroken({ schedules: 100, profile: 'leases', depth: 300, rules: ['leases disjoint', 'fences rising'] }));
});
