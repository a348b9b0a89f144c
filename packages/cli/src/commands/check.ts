/** The command `check`: checks a settings or configuration file without a fleet. */
import { parseArgs } from 'node:util';
import { gatewayConfigs, gatewaySettings } from '@martenworks/settings';
import type { ValidationIssue } from '@martenworks/settings';
import { parseCommandArgs } from '../commandArgs.js';
import { exitCodes } from '../exitCodes.js';
import type { ExitCode } from '../exitCodes.js';
import { currentName } from '../currentName.js';
import { readJson } from '../jsonFile.js';
import { checkUsage } from '../usage.js';
import { printIssues } from '../validationOutput.js';

const kinds = ['configuration', 'gateway', 'gateway-control'] as const;
type Kind = (typeof kinds)[number];
type Fields = Record<string, unknown>;

const readArgs = (args: string[]) => parseArgs({ args, allowPositionals: true, options: { as: { type: 'string' } } });

/** A file's kind by the fields that only this kind has. */
const guessKind = (fields: Fields): Kind => {
  if ('tiers' in fields || 'lanes' in fields) return 'configuration';
  return 'data' in fields ? 'gateway-control' : 'gateway';
};

const issuesOf = (kind: Kind, fields: Fields): ValidationIssue[] => {
  const checked = kind === 'configuration' ? gatewayConfigs.check(fields) : gatewaySettings.check(kind, fields, {});
  return checked.isErr() ? checked.error : [];
};

const isKind = (name: string): name is Kind => (kinds as readonly string[]).includes(name);

const checkFile = (path: string, givenKind: Kind | undefined): ExitCode => {
  const read = readJson(path);
  if (read.isErr()) {
    printIssues(read.error);
    return exitCodes.invalidSettings;
  }
  const fields = (read.value ?? {}) as Fields;
  const kind = givenKind ?? guessKind(fields);
  const issues = issuesOf(kind, fields);
  if (issues.length > 0) {
    printIssues(issues);
    return exitCodes.invalidSettings;
  }
  process.stdout.write(`${path}: a valid ${kind}${kind === 'configuration' ? '' : ' settings file'}\n`);
  return exitCodes.success;
};

/** Prints whether the file is valid, or what is wrong with it. */
export const check = (args: string[]): ExitCode => {
  const parsed = parseCommandArgs(() => readArgs(args));
  const path = parsed?.positionals[0];
  const kind = currentName(parsed?.values.as);
  if (path !== undefined && (kind === undefined || isKind(kind))) return checkFile(path, kind);
  process.stderr.write(checkUsage);
  return exitCodes.invalidSettings;
};
