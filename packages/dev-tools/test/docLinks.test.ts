import { existsSync } from 'node:fs';
import { dirname, join, normalize } from 'node:path';
import { expect } from 'chai';
import { repository } from './repository.js';

const markdownLink = /\]\(([^)\s]+)\)/g;
const fencedBlock = /^```[\s\S]*?^```/gm;
const hasScheme = /^[a-z]+:/;

/** The anchor that GitHub generates for a heading. */
const anchorOf = (heading: string): string =>
  heading
    .toLowerCase()
    .replace(/[^\p{L}\p{N}\s_-]/gu, '')
    .trim()
    .replace(/\s/g, '-');

const anchorsIn = (page: string): Set<string> =>
  new Set([...page.replace(fencedBlock, '').matchAll(/^#+ (.*)$/gm)].map((found) => anchorOf(found[1] as string)));

interface Link {
  readonly page: string;
  readonly target: string;
}

const linksOf = (page: string): Link[] =>
  [...repository.read(page).replace(fencedBlock, '').matchAll(markdownLink)]
    .map((found) => ({ page, target: found[1] as string }))
    .filter(({ target }) => !hasScheme.test(target));

const isBroken = ({ page, target }: Link): boolean => {
  const [path = '', anchor] = target.split('#');
  const file = path === '' ? page : normalize(join(dirname(page), path));
  if (!existsSync(join(repository.root, file))) return true;
  return anchor !== undefined && !anchorsIn(repository.read(file)).has(anchor);
};

describe('links in the documentation', () => {
  it('given each link to a file or heading, when it is followed, then its target exists', () => {
    const links = repository.pages().flatMap(linksOf);
    expect(links).to.have.length.above(50);
    const broken = links.filter(isBroken).map(({ page, target }) => `${page}: ${target}`);
    expect(broken, broken.join('\n')).to.deep.equal([]);
  });

  it('given a link to a file or heading that does not exist, when it is checked, then it is reported as broken', () => {
    expect(isBroken({ page: 'README.md', target: 'docs/none.md' })).to.equal(true);
    expect(isBroken({ page: 'docs/style.md', target: 'glossary.md#no-such-heading' })).to.equal(true);
    expect(isBroken({ page: 'docs/style.md', target: 'glossary.md#names-kept-on-purpose' })).to.equal(false);
  });
});
