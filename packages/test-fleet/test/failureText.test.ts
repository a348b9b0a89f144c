import { expect } from 'chai';
import { err } from 'neverthrow';
import { failureText } from '@martenworks/test-fleet';

const thrownBy = (work: () => unknown): unknown => {
  try {
    work();
  } catch (cause) {
    return cause;
  }
  throw new Error('nothing was thrown');
};

describe('failure text', () => {
  it('given an error, when it is formatted, then the text is its stack', () => {
    expect(failureText.of(new Error('too late'))).to.match(/^Error: too late\n\s+at /);
  });

  it('given the value that a failed _unsafeUnwrap throws, when it is formatted, then the text has its fields', () => {
    const cause = thrownBy(() => err({ kind: 'settings', code: 'unknown-key' })._unsafeUnwrap());
    expect(failureText.of(cause)).to.include('unknown-key');
  });
});
