import { expect } from 'chai';
import { injectedFaults, explorer } from '@martenworks/model-check';
import { expectViolationFound } from './expectations.js';

describe('deliberate breaks of the agreement', () => {
  it('given a swap applied whatever seats there are, when explored, then one member is found on two seats', () =>
    expectViolationFound('swap-any-seat', ['seats distinct'], { schedules: 400, profile: 'membership' }));

  it('given promises forgotten by a restart, when explored, then two changes are found chosen for one generation', () =>
    expectViolationFound('forget-promises', ['one change a generation'], {
      schedules: 300,
      seed: 900,
      profile: 'ballots',
    }));

  it('given a read without a majority, when explored, then a read older than an acknowledged change is found', () =>
    expectViolationFound('read-alone', ['stale read'], { schedules: 50 }));

  it('given a refusal without a majority, when explored, then an order on the newest version is found refused', () =>
    expectViolationFound('read-alone', ['newest base refused'], { schedules: 200, profile: 'ballots' }));

  it('given grants to whoever counts other voters, when explored, then a lease held twice beside a swap is found', () =>
    expectViolationFound('grant-across-swaps', ['leases disjoint'], {
      schedules: 300,
      seed: 301,
      depth: 300,
      profile: 'leases',
    }));

  it('given a grant without its write, when explored, then a fence that does not rise is found', () =>
    expectViolationFound('grant-unwritten', ['fences rising', 'leases disjoint'], {
      schedules: 200,
      profile: 'leases',
    }));

  it('given a seat without its state, when explored, then voters without an acknowledged change are found', () =>
    expectViolationFound('seat-without-state', ['acknowledged change held'], {
      schedules: 600,
      profile: 'membership',
    }));

  it('given a lower ballot accepted, when explored, then two changes are found chosen for one generation', () =>
    expectViolationFound('accept-lower-ballot', ['one change a generation'], { schedules: 50, profile: 'ballots' }));

  it('given a majority counted over duplicates, when explored, then a change settled by a minority is found', () =>
    expectViolationFound('count-twice', ['settled by a majority', 'acknowledged in force'], { schedules: 50 }));

  it('given a change told as settled by one vote, when explored, then a change settled by a minority is found', () =>
    expectViolationFound('settle-early', ['settled by a majority'], { schedules: 50 }));

  it('given votes told before they are durable, when explored, then a change is found lost or chosen twice', () =>
    expectViolationFound('lying-disk', ['acknowledged change held', 'one change a generation'], { schedules: 100 }));

  it('given records read after the end of a process and not synced, when explored, then an acknowledged change is found lost', () =>
    expectViolationFound(
      'forget-ends',
      ['acknowledged change held', 'one change a generation', 'progress', 'catching up'],
      {
        schedules: 600,
      },
    ));

  it('given accepted changes ignored by the next ballot, when explored, then two are found chosen for one generation', () =>
    expectViolationFound('ignore-accepted', ['one change a generation'], { schedules: 100 }));

  it('given no records of agreed changes, when explored, then an order in force is found refused as it comes again', () =>
    expectViolationFound('forget-records', ['resend refused'], { schedules: 100, profile: 'ballots' }));

  it('given a node that settles something else, when explored, then two histories are found', () =>
    expectViolationFound('settle-other', ['one history'], { schedules: 50 }));

  it('given members that never catch up, when explored, then one is found behind at the end', () =>
    expectViolationFound('never-catch-up', ['catching up'], { schedules: 50 }));

  it('given a proposer that asks nobody, when explored, then a fleet that takes no order is found', () =>
    expectViolationFound('ask-nobody', ['progress'], { schedules: 50 }));

  it('given five voters and votes told before they are durable, when explored, then the break is found as well', () =>
    expectViolationFound('lying-disk', ['acknowledged change held', 'one change a generation'], {
      schedules: 100,
      voters: 5,
    }));

  it('given a break, when its schedule is done, then the product is whole again', async () => {
    const plan = { voters: 3, depth: 40, seed: 1, stride: 1, schedules: 8 };
    for (const { name } of injectedFaults.all) await explorer.explore({ ...plan, breakName: name });
    const outcome = await explorer.explore({ ...plan, breakName: null });
    expect(outcome.counterexample).to.equal(null);
  });
});
