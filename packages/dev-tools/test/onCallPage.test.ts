import { expect } from 'chai';
import { repository } from './repository.js';

const developmentPackages = /^packages\/(dev-tools|model-check|test-fleet)\//;
const logCall = /\blog\.(?:info|warn|error)\(\s*(?:'([^']*)'|"([^"]*)"|(?=([\s\S]{0,40})))/g;
const metricCall = /\bmetrics\.add\(([^;]*?)\);/g;
const metricName = /['`]([a-z][a-z0-9_]*)(\$\{[^}]*\})?/g;
const placementName = /['`](placed_[a-z_]+)/g;
const metricLine = /\bmartenworks_[a-z0-9_]+/g;

interface SourceText {
  readonly text: string;
  readonly path: string;
}

const productSources = repository.sources().filter((path) => !developmentPackages.test(path));

const find = (
  pattern: RegExp,
  textOf: (found: RegExpMatchArray) => readonly string[],
  paths: readonly string[] = productSources,
): SourceText[] =>
  paths.flatMap((path) =>
    [...repository.read(path).matchAll(pattern)].flatMap((found) => textOf(found).map((text) => ({ text, path }))),
  );

const logMessages = find(logCall, (found) => [found[1] ?? found[2] ?? `not a literal: ${found[3]}`]);
const metricNames = [
  ...find(metricCall, (found) => [...(found[1] as string).matchAll(metricName)].map((name) => name[1] as string)),
  ...find(placementName, (found) => [found[1] as string]),
];
const metricLines = find(metricLine, (found) => [found[0]]);

const expectAllDescribed = (
  page: string,
  found: readonly SourceText[],
  isOn: (page: string, text: string) => boolean,
): void => {
  const missing = found.filter(({ text }) => !isOn(page, text)).map(({ text, path }) => `${path}: ${text}`);
  expect(missing, missing.join('\n')).to.deep.equal([]);
};

const isQuoted = (page: string, text: string): boolean => page.includes(`\`${text}\``);
const isQuotedOrIsPrefix = (page: string, text: string): boolean =>
  isQuoted(page, text) || (text.endsWith('_') && page.includes(`\`${text}`));

describe('the on-call page', () => {
  const page = repository.read('docs/on-call.md');

  it('given each log message of the programs, when the page is searched, then it is found', () => {
    expect(logMessages).to.have.length.above(30);
    expectAllDescribed(page, logMessages, isQuoted);
  });

  it('given each counter of the programs, when the page is searched, then it is found', () => {
    expect(metricNames).to.have.length.above(20);
    expectAllDescribed(page, metricNames, isQuotedOrIsPrefix);
  });

  it('given each line of the /metrics pages, when the page is searched, then it is found', () => {
    expect(metricLines).to.have.length.above(10);
    expectAllDescribed(page, metricLines, isQuotedOrIsPrefix);
  });

  it('given a name that the page does not contain, when it is looked up, then it is not found', () => {
    expect(isQuoted(page, 'a message of no program')).to.equal(false);
    expect(isQuotedOrIsPrefix(page, 'denied_')).to.equal(true);
    expect(isQuotedOrIsPrefix(page, 'denie_')).to.equal(false);
  });
});
