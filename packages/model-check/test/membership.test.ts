import { oneNewcomerForTwoVoters } from './counterexamples.js';
import { expectViolationOnlyWithFault, expectNoViolation } from './expectations.js';

describe('voting membership in explored schedules', () => {
  it('given two members that have lost contact with different members, when both replace one, then the joining node becomes one voter, not two', () =>
    expectViolationOnlyWithFault(oneNewcomerForTwoVoters, 'seats distinct'));

  it('given three voters, when schedules of profile membership are explored, then voters are distinct and a majority remains', () =>
    expectNoViolation({ schedules: 400, profile: 'membership', rules: ['seats distinct', 'progress', 'catching up'] }));

  it('given five voters, when schedules of profile membership are explored, then voters are distinct and a majority remains', () =>
    expectNoViolation({
      schedules: 100,
      voters: 5,
      profile: 'membership',
      rules: ['seats distinct', 'progress', 'catching up'],
    }));
});
