import { expect } from 'chai';
import { testLength } from '@martenworks/test-fleet';

const ranges = { always: [1, 2], longRun: [3, 4, 5] };

describe('test length', () => {
  it('given an ordinary run, when the seeds are selected, then only the seeds of every run are returned', () => {
    expect(testLength.seeds(ranges, {})).to.deep.equal([1, 2]);
    expect(testLength.seeds(ranges, { MARTENWORKS_TEST_LONG: '0' })).to.deep.equal([1, 2]);
  });

  it('given the long run, when the seeds are selected, then all seeds are returned', () => {
    expect(testLength.seeds(ranges, { MARTENWORKS_TEST_LONG: '1' })).to.deep.equal([1, 2, 3, 4, 5]);
  });
});
