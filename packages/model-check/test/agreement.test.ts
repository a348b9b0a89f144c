import type { Rule } from '@martenworks/model-check';
import { expectNoViolation } from './expectations.js';

const rules: readonly Rule[] = [
  'one change a generation',
  'one history',
  'settled by a majority',
  'stale read',
  'acknowledged change held',
  'acknowledged in force',
  'resend refused',
  'catching up',
];

describe('agreement in explored schedules', () => {
  for (const profile of ['ballots', 'membership', 'leases', 'mixed']) {
    it(`given three voters, when schedules of profile ${profile} are explored, then one history contains all acknowledged changes`, () =>
      expectNoViolation({ schedules: 60, voters: 3, profile, rules }));

    it(`given five voters, when schedules of profile ${profile} are explored, then one history contains all acknowledged changes`, () =>
      expectNoViolation({ schedules: 40, voters: 5, profile, rules }));
  }
});
