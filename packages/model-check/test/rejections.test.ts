import { rejectionFromStaleState } from './counterexamples.js';
import { expectViolationOnlyWithFault, expectNoViolation } from './expectations.js';

describe('refusals over explored schedules', () => {
  it('given a member without the newest change, when an order on the newest version meets it, then it is not refused', () =>
    expectViolationOnlyWithFault(rejectionFromStaleState, 'newest base refused'));

  it('given three voters, when schedules of ballots are explored, then no order on the newest version is refused', () =>
    expectNoViolation({ schedules: 250, profile: 'ballots', rules: ['newest base refused', 'resend refused'] }));
});
