import { leaseAcrossSwap } from './counterexamples.js';
import { expectViolationOnlyWithFault, expectNoViolation } from './expectations.js';

describe('leases in explored schedules', () => {
  it('given a lease holder replaced as a voter, when a new member requests the lease, then the two never hold it at the same time', () =>
    expectViolationOnlyWithFault(leaseAcrossSwap, 'leases disjoint'));

  it('given three voters, when schedules of profile leases are explored, then leases are disjoint and fencing tokens increase', () =>
    expectNoViolation({ schedules: 100, profile: 'leases', depth: 300, rules: ['leases disjoint', 'fences rising'] }));
});
