import { leaseAcrossSwap } from './counterexamples.js';
import { expectViolationOnlyWithFault, expectNoViolation } from './expectations.js';

describe('leases over explored schedules', () => {
  it('given a holder that loses its seat, when a new member asks for the lease, then the two do not hold it at once', () =>
    expectViolationOnlyWithFault(leaseAcrossSwap, 'leases disjoint'));

  it('given three voters, when schedules of leases are explored, then they are disjoint and fences rise', () =>
    expectNoViolation({ schedules: 100, profile: 'leases', depth: 300, rules: ['leases disjoint', 'fences rising'] }));
});
