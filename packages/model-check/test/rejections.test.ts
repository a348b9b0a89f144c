import { rejectionFromStaleState } from './counterexamples.js';
import { expectViolationOnlyWithFault, expectNoViolation } from './expectations.js';

describe('rejections in explored schedules', () => {
  it('given a member without the newest change, when it receives a change request based on the newest version, then it does not reject it', () =>
    expectViolationOnlyWithFault(rejectionFromStaleState, 'newest base refused'));

  it('given three voters, when schedules of profile ballots are explored, then no change request based on the newest version is rejected', () =>
    expectNoViolation({ schedules: 250, profile: 'ballots', rules: ['newest base refused', 'resend refused'] }));
});
