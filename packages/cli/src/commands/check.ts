/** The command `check`: validates a settings or configuration file offline. */
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

/** Guesses the kind of a file from fields that only this kind has. */
const guessKind = (fields: Fields): Kind => {
  if ('tiers' in fields || 'lanes' in fields) return 'configuration';
  return 'data' in fields ? 'gateway-control' : 'gateway';
};

const issuesOf = (kind: Kind, fields: Fields): ValidationIssue[] => {
  const checked = kind === 'configuration' ? gatewayConfigs.check(fields) : gatewaySettings.check(kind, fields, {});
  return checked.isErr() ? checked.error : [];
};

const isKind = (name: string): name is Kind => (kinds as readonly string[]).includes(name);

const checkFile = (path: string, requestedKind: Kind | undefined): ExitCode => {
  const read = readJson(path);
  if (read.isErr()) {
    printIssues(read.error);
    return exitCodes.invalidSettings;
  }
  const fields = (read.value ?? {}) as Fields;
  const kind = requestedKind ?? guessKind(fields);
  const issues = issuesOf(kind, fields);
  if (issues.length > 0) {
    printIssues(issues);
    return exitCodes.invalidSettings;
  }
  process.stdout.write(`${path}: a valid ${kind}${kind === 'configuration' ? '' : ' settings file'}\n`);
  return exitCodes.success;
};

/** Prints that the file is valid, or its issues; returns the exit code. */
export const check = (args: string[]): ExitCode => {
  const parsed = parseCommandArgs(() => readArgs(args));
  const path = parsed?.positionals[0];
  const kind = currentName(parsed?.values.as);
  if (path !== undefined && (kind === undefined || isKind(kind))) return checkFile(path, kind);
  process.stderr.write(checkUsage);
  return exitCodes.invalidSettings;
};
