import { expect } from 'chai';
import { explorer } from '@martenworks/model-check';
import { renewalDuringGrant } from './counterexamples.js';

describe('lease renewals in explored schedules', () => {
  it('given an expired lease, when its holder renews it while a grant to another node is being written, then only one holds it', async () =>
    expect(await explorer.replay(renewalDuringGrant)).to.equal(null));
});
