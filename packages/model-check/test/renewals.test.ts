import { expect } from 'chai';
import { explorer } from '@martenworks/model-check';
import { renewalDuringGrant } from './counterexamples.js';

describe('renewals of leases over explored schedules', () => {
  it('given a lease that ran out, when its holder renews it while a grant to another is written, then one holds it', async () =>
    expect(await explorer.replay(renewalDuringGrant)).to.equal(null));
});
