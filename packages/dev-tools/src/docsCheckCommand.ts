/**
 * The command `npm run docs:check`: fails if a package has more undocumented exported items than its settings allow.
 *
 *     docsCheckCommand [--list PACKAGE] [--lower]
 *
 * `--list` prints the undocumented items of one package as `file:line kind name` and checks nothing. `--lower` rewrites
 * the settings file with each ceiling lowered to the count found. Exit codes: 0 passed, 1 failed, 2 bad arguments or
 * settings.
 */
import { existsSync, readFileSync, readdirSync, writeFileSync } from 'node:fs';
import { dirname, join, relative } from 'node:path';
import { fileURLToPath } from 'node:url';
import { parseArgs } from 'node:util';
import { Project } from 'ts-morph';
import { docBudgets } from './docBudgets.js';
import type { PackageCount } from './docBudgets.js';
import { missingDocs } from './missingDocs.js';
import type { MissingDoc } from './missingDocs.js';

const root = join(dirname(fileURLToPath(import.meta.url)), '../../..');
const settingsName = 'docs-check.json';
const settingsFile = join(root, settingsName);
const usageExitCode = 2;

const packageFolders = (): string[] => {
  const packages = readdirSync(join(root, 'packages')).map((name) => `packages/${name}`);
  const platform = readdirSync(join(root, 'platform')).map((name) => `platform/${name}`);
  return [...packages, 'platform', ...platform].filter((folder) => existsSync(join(root, folder, 'package.json')));
};

const openProject = (folders: readonly string[]): Project => {
  const project = new Project({
    tsConfigFilePath: join(root, 'tsconfig.base.json'),
    skipAddingFilesFromTsConfig: true,
    compilerOptions: { customConditions: ['source'] },
  });
  for (const folder of folders) project.addSourceFilesAtPaths(join(root, folder, 'src/**/*.ts'));
  return project;
};

const missingIn = (project: Project, folder: string): MissingDoc[] => {
  const sources = `${join(root, folder, 'src')}/`;
  const files = project.getSourceFiles().filter((file) => file.getFilePath().startsWith(sources));
  return files.flatMap(missingDocs.inFile);
};

const print = (lines: readonly string[]): void => {
  process.stdout.write(lines.map((line) => `${line}\n`).join(''));
};

const listPackage = (folders: readonly string[], requested: string): number => {
  const folder = folders.find((name) => name === requested.replace(/\/$/, '') || name === `packages/${requested}`);
  if (folder === undefined) {
    print([`unknown package ${requested}; known packages: ${folders.join(', ')}`]);
    return usageExitCode;
  }
  const missing = missingIn(openProject(folders), folder);
  print(missing.map(({ file, line, kind, name }) => `${relative(root, file)}:${line} ${kind} ${name}`));
  print([`${folder}: ${missing.length} missing`]);
  return 0;
};

const check = (folders: readonly string[], lowersCeilings: boolean): number => {
  const budgets = docBudgets.parse(settingsName, readFileSync(settingsFile, 'utf8'));
  if (budgets.isErr()) {
    print([budgets.error.message]);
    return usageExitCode;
  }
  const project = openProject(folders);
  const counts: PackageCount[] = folders.map((name) => ({ name, missing: missingIn(project, name).length }));
  const result = docBudgets.evaluate(budgets.value, counts);
  print(docBudgets.formatLines(result));
  if (lowersCeilings)
    writeFileSync(settingsFile, `${JSON.stringify(docBudgets.lowerCeilings(budgets.value, counts), null, 2)}\n`);
  return result.failures.length === 0 ? 0 : 1;
};

const { values } = parseArgs({ options: { list: { type: 'string' }, lower: { type: 'boolean', default: false } } });
const folders = packageFolders();
process.exitCode = values.list === undefined ? check(folders, values.lower) : listPackage(folders, values.list);
