import { expect } from 'chai';
import { repository } from './repository.js';

const identifier = /^[A-Za-z]\w*$/;

/** The names in the last column, "in the code", of the glossary's tables, each with its line. */
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
  it('given the names in the column "in the code", when the sources are searched, then each is found', () => {
    const words = new Set(repository.sources().flatMap((path) => repository.read(path).match(/\w+/g) ?? []));
    const names = namesInGlossary(repository.read('docs/glossary.md'));
    expect(names).to.have.length.above(100);
    const missing = names.filter(({ name }) => !words.has(name)).map(({ name, line }) => `${name}: ${line}`);
    expect(missing, missing.join('\n')).to.deep.equal([]);
  });

  it('given each table row, when it is read, then it has three columns: the users’ word, the term and the name in the code', () => {
    const rows = repository
      .read('docs/glossary.md')
      .split('\n')
      .filter((line) => line.startsWith('| '));
    const wrong = rows.filter((row) => row.split(' | ').length !== 3);
    expect(wrong, wrong.join('\n')).to.deep.equal([]);
  });
});
