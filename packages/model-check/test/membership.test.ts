import { oneNewcomerForTwoVoters } from './counterexamples.js';
import { expectViolationOnlyWithFault, expectNoViolation } from './expectations.js';

describe('seats over explored schedules', () => {
  it('given two members that miss different others, when both give a seat away, then the newcomer gets one', () =>
    expectViolationOnlyWithFault(oneNewcomerForTwoVoters, 'seats distinct'));

  it('given three voters, when schedules of membership are explored, then seats are distinct and a majority is left', () =>
    expectNoViolation({ schedules: 400, profile: 'membership', rules: ['seats distinct', 'progress', 'catching up'] }));

  it('given five voters, when schedules of membership are explored, then seats are distinct and a majority is left', () =>
    expectNoViolation({
      schedules: 100,
      voters: 5,
      profile: 'membership',
      rules: ['seats distinct', 'progress', 'catching up'],
    }));
});
