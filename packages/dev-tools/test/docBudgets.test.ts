import { expect } from 'chai';
import { docBudgets } from '@martenworks/dev-tools';
import type { DocBudgets } from '@martenworks/dev-tools';

const budgets: DocBudgets = { done: ['packages/a'], ceilings: { 'packages/b': 3 } };
const failuresOf = (a: number, b: number, settings = budgets): readonly string[] =>
  docBudgets.evaluate(settings, [
    { name: 'packages/a', missing: a },
    { name: 'packages/b', missing: b },
  ]).failures;

describe('limits on missing doc comments', () => {
  it('given a package that is done, when one comment is missing, then the check fails', () => {
    expect(failuresOf(0, 3)).to.deep.equal([]);
    expect(failuresOf(1, 3)).to.deep.equal(['packages/a: 1 without a doc comment, at most 0']);
  });

  it('given a package with a ceiling, when its count exceeds it, then the check fails', () => {
    expect(failuresOf(0, 2)).to.deep.equal([]);
    expect(failuresOf(0, 4)).to.deep.equal(['packages/b: 4 without a doc comment, at most 3']);
  });

  it('given a package that the settings do not name, when a comment is missing, then the check fails', () => {
    expect(failuresOf(0, 1, { done: ['packages/a'], ceilings: {} })).to.deep.equal([
      'packages/b: 1 without a doc comment, at most 0',
    ]);
  });

  it('given settings that name a missing package, or one package as done and with a ceiling, when they are evaluated, then the check fails', () => {
    const settings = { done: ['packages/a', 'packages/gone'], ceilings: { 'packages/a': 2, 'packages/b': 3 } };
    expect(failuresOf(0, 3, settings)).to.deep.equal([
      'packages/a is listed as done and has a ceiling as well',
      'packages/gone is in the settings, but there is no such package',
    ]);
  });

  it('given counts below their ceilings, when the ceilings are lowered, then none rises and a fully documented package is listed as done', () => {
    const counts = [
      { name: 'packages/a', missing: 1 },
      { name: 'packages/b', missing: 2 },
      { name: 'packages/c', missing: 0 },
    ];
    expect(docBudgets.lowerCeilings(budgets, counts)).to.deep.equal({
      done: ['packages/a', 'packages/c'],
      ceilings: { 'packages/b': 2 },
    });
    const lowered = docBudgets.lowerCeilings(budgets, [{ name: 'packages/b', missing: 9 }]);
    expect(lowered).to.deep.equal({ done: [], ceilings: { 'packages/b': 3 } });
  });

  it('given settings that are not JSON or do not match the schema, when they are parsed, then the error names the file', () => {
    for (const text of ['{', '[]', '{"done":[],"ceilings":{"packages/b":-1}}', '{"done":[],"ceilings":{},"more":1}']) {
      const error = docBudgets.parse('docs-check.json', text)._unsafeUnwrapErr();
      expect(error.code).to.equal('CHECK_SETTINGS_INVALID');
      expect(error.message).to.match(/^docs-check\.json: /);
    }
    expect(docBudgets.parse('docs-check.json', JSON.stringify(budgets))._unsafeUnwrap()).to.deep.equal(budgets);
  });
});
