import { expect } from 'chai';
import { repository } from './repository.js';

const identifier = /^[A-Za-z]\w*$/;

/** The names in the last column of the glossary's tables "in the code", with the line that each stands on. */
const namesInGlossary = (page: string): { name: string; line: string }[] => {
  const [tables = ''] = page.split('## Names kept on purpose');
  return tables
    .split('\n')
    .filter((line) => line.startsWith('| '))
    .flatMap((line) => {
      const column = line.split(' | ').at(-1) ?? '';
      return [...column.matchAll(/`([^`]+)`/g)].map((found) => ({ name: found[1] as string, line }));
    })
    .filter(({ name }) => identifier.test(name));
};

describe('the glossary', () => {
  it('given the names it says are in the code, when the sources are searched, then each is there', () => {
    const words = new Set(repository.sources().flatMap((path) => repository.read(path).match(/\w+/g) ?? []));
    const names = namesInGlossary(repository.read('docs/glossary.md'));
    expect(names).to.have.length.above(100);
    const missing = names.filter(({ name }) => !words.has(name)).map(({ name, line }) => `${name}: ${line}`);
    expect(missing, missing.join('\n')).to.deep.equal([]);
  });

  it('given a table row, when it is read, then it has a users’ word, a term and a place in the code', () => {
    const rows = repository
      .read('docs/glossary.md')
      .split('\n')
      .filter((line) => line.startsWith('| '));
    const wrong = rows.filter((row) => row.split(' | ').length !== 3);
    expect(wrong, wrong.join('\n')).to.deep.equal([]);
  });
});
