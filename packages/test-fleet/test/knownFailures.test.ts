import { expect } from 'chai';
import { knownFailures } from '@martenworks/test-fleet';
import type { TestResult } from '@martenworks/test-fleet';

const passing = (title: string): TestResult => ({ title, error: null, isTest: true });
const failing = (title: string): TestResult => ({ title, error: `${title} broke`, isTest: true });
const line = (title: string): string => `${title}\ta cause\tissue 7\n`;

const judged = (
  list: string,
  results: readonly TestResult[],
  declared = results.map((result) => result.title),
  selected = declared,
) => {
  const verdict = knownFailures.evaluate(knownFailures.parse(list), { results, declared, selected });
  return { verdict, lines: knownFailures.lines(verdict) };
};

describe('known red tests', () => {
  it('given a list with comments and blank lines, when it is read, then each other line is a title, a cause and an issue', () => {
    expect(knownFailures.parse('# title, cause, issue\n\na b, when c\tslow disk\tissue 7\r\n')).to.deep.equal({
      entries: [{ title: 'a b, when c', cause: 'slow disk', issue: 'issue 7' }],
      errors: [],
    });
  });

  it('given no list, when a test fails, then the run fails and the last line counts it', () => {
    const { verdict, lines } = judged('', [passing('a'), failing('b')]);
    expect(verdict.isPassing).to.equal(false);
    expect(lines).to.include.members(['b', 'b broke']);
    expect(lines.slice(-2)).to.deep.equal(['known red: 0', '1 passed, 1 failed']);
  });

  it('given a listed test, when it fails, then the run does not, and it is told with its cause and issue and counted as neither', () => {
    const { verdict, lines } = judged(line('b'), [passing('a'), failing('b')]);
    expect(verdict.isPassing).to.equal(true);
    expect(lines.slice(-3)).to.deep.equal(['known red b: a cause (issue 7)', 'known red: 1', '1 passed, 0 failed']);
  });

  it('given a listed test, when another fails too, then the run fails for the other alone', () => {
    const { verdict, lines } = judged(line('b'), [passing('a'), failing('b'), failing('c')]);
    expect(verdict.failures.map((failure) => failure.title)).to.deep.equal(['c']);
    expect(lines.slice(-2)).to.deep.equal(['known red: 1', '1 passed, 1 failed']);
  });

  it('given a listed test, when it passes, then the run fails and says so', () => {
    const { verdict, lines } = judged(line('b'), [passing('a'), passing('b')]);
    expect(verdict).to.deep.equal({
      passed: 1,
      failures: [{ title: 'b', error: 'KNOWN-RED.txt: listed, but it passes' }],
      excused: [],
      isPassing: false,
    });
    expect(lines.slice(-2)).to.deep.equal(['known red: 0', '1 passed, 1 failed']);
  });

  it('given a listed title that no test has, when the others pass, then the run fails and says so', () => {
    const { verdict } = judged(line('gone'), [passing('a')]);
    expect([verdict.failures, verdict.isPassing]).to.deep.equal([
      [{ title: 'gone', error: 'KNOWN-RED.txt: listed, but no test has this title' }],
      false,
    ]);
  });

  it("given a listed title, when only the beginning of it is a test's, then nothing is excused", () => {
    const { verdict } = judged(line('b'), [passing('a'), failing('b more')]);
    expect(verdict.failures.map((failure) => failure.title)).to.deep.equal(['b more', 'b']);
  });

  it('given a run of some files, when a listed test is in another file, then the run does not fail for it; and when it was to run and did not, it does', () => {
    expect(judged(line('b'), [passing('a')], ['a', 'b'], ['a']).verdict.isPassing).to.equal(true);
    expect(judged(line('b'), [passing('a')], ['a', 'b'], ['a', 'b']).verdict.failures).to.deep.equal([
      { title: 'b', error: 'KNOWN-RED.txt: listed, but it did not run' },
    ]);
  });

  it('given a selected test, when it does not run, then the run fails and says so', () => {
    const { verdict } = judged('', [passing('a')], ['a', 'b', 'c'], ['a', 'b']);
    expect([verdict.failures, verdict.isPassing]).to.deep.equal([
      [{ title: 'b', error: 'selected, but it did not run' }],
      false,
    ]);
  });

  it('given a hook or a worker that breaks, when its title is listed, then it is not excused', () => {
    const { verdict } = judged(
      line('part 3'),
      [passing('a'), { title: 'part 3', error: 'a worker broke', isTest: false }],
      ['a', 'part 3'],
    );
    expect([verdict.isPassing, verdict.failures.map((failure) => failure.error)]).to.deep.equal([
      false,
      ['a worker broke', 'KNOWN-RED.txt: listed, but it did not run'],
    ]);
  });

  it('given two tests of one title, when one fails and one passes, then the title cannot be listed', () => {
    const { verdict } = judged(line('b'), [passing('a'), failing('b'), passing('b')]);
    expect(verdict.isPassing).to.equal(false);
  });

  it('given lines without a cause or an issue, or a title listed twice, when they are read, then the run fails and names each line', () => {
    const { verdict } = judged(`b\n${line('c')}${line('c')}d\ta cause\t\ne\ta\tb\tc\n`, [passing('a'), failing('c')]);
    expect(verdict.failures).to.deep.equal([
      { title: 'KNOWN-RED.txt', error: 'line 1 is not: title TAB cause TAB issue' },
      { title: 'KNOWN-RED.txt', error: 'line 3 lists a title again: c' },
      { title: 'KNOWN-RED.txt', error: 'line 4 is not: title TAB cause TAB issue' },
      { title: 'KNOWN-RED.txt', error: 'line 5 is not: title TAB cause TAB issue' },
    ]);
  });

  it('given nothing but known reds, when no test passes, then the run is not green', () => {
    expect(judged(line('b'), [failing('b')]).verdict.isPassing).to.equal(false);
  });
});
