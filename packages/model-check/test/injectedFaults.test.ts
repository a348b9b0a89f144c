import { expect } from 'chai';
import { injectedFaults, explorer } from '@martenworks/model-check';
import { expectViolationFound } from './expectations.js';

describe('injected faults of the consensus group', () => {
  it('given swaps applied without a check of the voters, when explored, then a member listed as two voters is found', () =>
    expectViolationFound('swap-any-seat', ['seats distinct'], { schedules: 400, profile: 'membership' }));

  it('given promises forgotten by a restart, when explored, then two changes chosen for one log index are found', () =>
    expectViolationFound('forget-promises', ['one change a generation'], {
      schedules: 300,
      seed: 900,
      profile: 'ballots',
    }));

  it('given a read without a majority, when explored, then a read older than an acknowledged change is found', () =>
    expectViolationFound('read-alone', ['stale read'], { schedules: 50 }));

  it('given a rejection without a majority, when explored, then a rejected request based on the newest version is found', () =>
    expectViolationFound('read-alone', ['newest base refused'], { schedules: 200, profile: 'ballots' }));

  it('given grants to nodes that count a different set of voters, when explored, then a lease held twice around a swap is found', () =>
    expectViolationFound('grant-across-swaps', ['leases disjoint'], {
      schedules: 300,
      seed: 301,
      depth: 300,
      profile: 'leases',
    }));

  it('given a grant that is not written to disk, when explored, then a fencing token that does not increase is found', () =>
    expectViolationFound('grant-unwritten', ['fences rising', 'leases disjoint'], {
      schedules: 200,
      profile: 'leases',
    }));

  it('given a node that becomes a voter before it has the state, when explored, then voters without an acknowledged change are found', () =>
    expectViolationFound('seat-without-state', ['acknowledged change held'], {
      schedules: 600,
      profile: 'membership',
    }));

  it('given an acceptor that accepts lower ballots, when explored, then two changes chosen for one log index are found', () =>
    expectViolationFound('accept-lower-ballot', ['one change a generation'], { schedules: 50, profile: 'ballots' }));

  it('given a proposer that counts its own vote twice, when explored, then a change committed by a minority is found', () =>
    expectViolationFound('count-twice', ['settled by a majority', 'acknowledged in force'], { schedules: 50 }));

  it('given a change announced as committed after one vote, when explored, then a change committed by a minority is found', () =>
    expectViolationFound('settle-early', ['settled by a majority'], { schedules: 50 }));

  it('given votes sent before they are durable, when explored, then a lost change or two chosen changes are found', () =>
    expectViolationFound('lying-disk', ['acknowledged change held', 'one change a generation'], { schedules: 100 }));

  it('given unsynced records used after a restart without a sync, when explored, then a lost acknowledged change is found', () =>
    expectViolationFound(
      'forget-ends',
      ['acknowledged change held', 'one change a generation', 'progress', 'catching up'],
      {
        schedules: 600,
      },
    ));

  it('given accepted changes ignored by the next ballot, when explored, then two changes chosen for one log index are found', () =>
    expectViolationFound('ignore-accepted', ['one change a generation'], { schedules: 100 }));

  it('given no record of committed changes, when explored, then a rejected resend of an active change is found', () =>
    expectViolationFound('forget-records', ['resend refused'], { schedules: 100, profile: 'ballots' }));

  it('given a node that commits a different configuration, when explored, then two histories are found', () =>
    expectViolationFound('settle-other', ['one history'], { schedules: 50 }));

  it('given members that never catch up, when explored, then a member that is behind at the end is found', () =>
    expectViolationFound('never-catch-up', ['catching up'], { schedules: 50 }));

  it('given a proposer that asks no other voter, when explored, then a fleet that commits no change is found', () =>
    expectViolationFound('ask-nobody', ['progress'], { schedules: 50 }));

  it('given five voters and votes sent before they are durable, when explored, then a lost change or two chosen changes are found', () =>
    expectViolationFound('lying-disk', ['acknowledged change held', 'one change a generation'], {
      schedules: 100,
      voters: 5,
    }));

  it('given each injected fault, when its schedules are done, then the product works without the fault again', async () => {
    const plan = { voters: 3, depth: 40, seed: 1, stride: 1, schedules: 8 };
    for (const { name } of injectedFaults.all) await explorer.explore({ ...plan, breakName: name });
    const outcome = await explorer.explore({ ...plan, breakName: null });
    expect(outcome.counterexample).to.equal(null);
  });
});
