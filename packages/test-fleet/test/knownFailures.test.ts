import { expect } from 'chai';
import { knownFailures } from '@martenworks/test-fleet';
import type { TestResult } from '@martenworks/test-fleet';

const passing = (title: string): TestResult => ({ title, error: null, isTest: true });
const failing = (title: string): TestResult => ({ title, error: `${title} failed`, isTest: true });
const line = (title: string): string => `${title}\ta cause\tissue 7\n`;

const evaluated = (
  list: string,
  results: readonly TestResult[],
  declared = results.map((result) => result.title),
  selected = declared,
) => {
  const verdict = knownFailures.evaluate(knownFailures.parse(list), { results, declared, selected });
  return { verdict, lines: knownFailures.lines(verdict) };
};

describe('known failures', () => {
  it('given a list with comments and blank lines, when it is parsed, then every other line yields a title, a cause and an issue', () => {
    expect(knownFailures.parse('# title, cause, issue\n\na b, when c\tslow disk\tissue 7\r\n')).to.deep.equal({
      entries: [{ title: 'a b, when c', cause: 'slow disk', issue: 'issue 7' }],
      errors: [],
    });
  });

  it('given an empty list, when a test fails, then the run fails and the last line counts the failure', () => {
    const { verdict, lines } = evaluated('', [passing('a'), failing('b')]);
    expect(verdict.isPassing).to.equal(false);
    expect(lines).to.include.members(['b', 'b failed']);
    expect(lines.slice(-2)).to.deep.equal(['known red: 0', '1 passed, 1 failed']);
  });

  it('given a listed test, when it fails, then the run passes, and the test is reported with its cause and issue and counted neither as passed nor as failed', () => {
    const { verdict, lines } = evaluated(line('b'), [passing('a'), failing('b')]);
    expect(verdict.isPassing).to.equal(true);
    expect(lines.slice(-3)).to.deep.equal(['known red b: a cause (issue 7)', 'known red: 1', '1 passed, 0 failed']);
  });

  it('given a listed test that fails, when another test fails too, then the run fails because of the other test only', () => {
    const { verdict, lines } = evaluated(line('b'), [passing('a'), failing('b'), failing('c')]);
    expect(verdict.failures.map((failure) => failure.title)).to.deep.equal(['c']);
    expect(lines.slice(-2)).to.deep.equal(['known red: 1', '1 passed, 1 failed']);
  });

  it('given a listed test, when it passes, then the run fails and reports the stale entry', () => {
    const { verdict, lines } = evaluated(line('b'), [passing('a'), passing('b')]);
    expect(verdict).to.deep.equal({
      passed: 1,
      failures: [{ title: 'b', error: 'KNOWN-RED.txt: listed, but it passes' }],
      excused: [],
      isPassing: false,
    });
    expect(lines.slice(-2)).to.deep.equal(['known red: 0', '1 passed, 1 failed']);
  });

  it('given a listed title that no test has, when the other tests pass, then the run fails and reports the unknown title', () => {
    const { verdict } = evaluated(line('removed'), [passing('a')]);
    expect([verdict.failures, verdict.isPassing]).to.deep.equal([
      [{ title: 'removed', error: 'KNOWN-RED.txt: listed, but no test has this title' }],
      false,
    ]);
  });

  it('given a listed title that is only the beginning of a test title, when that test fails, then it is not excused', () => {
    const { verdict } = evaluated(line('b'), [passing('a'), failing('b more')]);
    expect(verdict.failures.map((failure) => failure.title)).to.deep.equal(['b more', 'b']);
  });

  it('given a listed test without a result, when it was not selected, then the run passes; when it was selected, then the run fails', () => {
    expect(evaluated(line('b'), [passing('a')], ['a', 'b'], ['a']).verdict.isPassing).to.equal(true);
    expect(evaluated(line('b'), [passing('a')], ['a', 'b'], ['a', 'b']).verdict.failures).to.deep.equal([
      { title: 'b', error: 'KNOWN-RED.txt: listed, but it did not run' },
    ]);
  });

  it('given a selected test, when it does not run, then the run fails and reports the missing test', () => {
    const { verdict } = evaluated('', [passing('a')], ['a', 'b', 'c'], ['a', 'b']);
    expect([verdict.failures, verdict.isPassing]).to.deep.equal([
      [{ title: 'b', error: 'selected, but it did not run' }],
      false,
    ]);
  });

  it('given a failed hook or worker, when its title is listed, then it is not excused', () => {
    const { verdict } = evaluated(
      line('worker 3'),
      [passing('a'), { title: 'worker 3', error: 'worker failed', isTest: false }],
      ['a', 'worker 3'],
    );
    expect([verdict.isPassing, verdict.failures.map((failure) => failure.error)]).to.deep.equal([
      false,
      ['worker failed', 'KNOWN-RED.txt: listed, but it did not run'],
    ]);
  });

  it('given two tests with the same listed title, when one fails and one passes, then the run fails', () => {
    const { verdict } = evaluated(line('b'), [passing('a'), failing('b'), passing('b')]);
    expect(verdict.isPassing).to.equal(false);
  });

  it('given lines without a cause or an issue, or a title listed twice, when they are parsed, then the run fails and reports each line', () => {
    const { verdict } = evaluated(`b\n${line('c')}${line('c')}d\ta cause\t\ne\ta\tb\tc\n`, [
      passing('a'),
      failing('c'),
    ]);
    expect(verdict.failures).to.deep.equal([
      { title: 'KNOWN-RED.txt', error: 'line 1 must have the form: title TAB cause TAB issue' },
      { title: 'KNOWN-RED.txt', error: 'line 3 lists a title twice: c' },
      { title: 'KNOWN-RED.txt', error: 'line 4 must have the form: title TAB cause TAB issue' },
      { title: 'KNOWN-RED.txt', error: 'line 5 must have the form: title TAB cause TAB issue' },
    ]);
  });

  it('given only known failures, when no test passes, then the run fails', () => {
    expect(evaluated(line('b'), [failing('b')]).verdict.isPassing).to.equal(false);
  });
});
