import { expect } from 'chai';
import { slowestTests } from '@martenworks/test-fleet';

const tests = [
  { title: 'quick', durationMs: 5 },
  { title: 'slow', durationMs: 12_000 },
  { title: 'middling', durationMs: 800 },
];

describe('the slowest tests', () => {
  it('given three tests, when the two slowest are requested, then they follow the total time of all tests, slowest first', () => {
    expect(slowestTests.lines(tests, 2)).to.deep.equal([
      'slowest 2 of 3 tests, which took 12805 ms together',
      '   12000 ms  slow',
      '     800 ms  middling',
    ]);
  });

  it('given fewer tests than requested, when the report is formatted, then it lists all of them', () => {
    expect(slowestTests.lines(tests, 20)).to.have.length(4);
    expect(slowestTests.lines([], 20)).to.deep.equal(['slowest 0 of 0 tests, which took 0 ms together']);
  });
});
