/** Access to the repository's files for the tests of its documentation. */
import { readFileSync, readdirSync } from 'node:fs';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';

const root = fileURLToPath(new URL('../../../../../', import.meta.url));

const filesBelow = (folder: string, extension: string): string[] =>
  readdirSync(join(root, folder), { recursive: true, encoding: 'utf8' })
    .filter((name) => name.endsWith(extension) && !/(^|\/)(node_modules|dist)\//.test(name))
    .map((name) => join(folder, name));

const sourceFolders = (): string[] => [
  ...readdirSync(join(root, 'packages')).map((name) => `packages/${name}/src`),
  'platform/src',
];

/** Reads files of the repository; paths are relative to its root. */
export const repository = {
  root,
  read: (path: string): string => readFileSync(join(root, path), 'utf8'),
  /** The Markdown pages: README.md, CONTRIBUTING.md and all files below `docs/`. */
  pages: (): string[] => ['README.md', 'CONTRIBUTING.md', ...filesBelow('docs', '.md')],
  /** The TypeScript sources of all packages and of `platform/src`, without tests and emulators. */
  sources: (): string[] => sourceFolders().flatMap((folder) => filesBelow(folder, '.ts')),
};
