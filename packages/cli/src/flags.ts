/** The flags of a role: one for each settings field, and the settings file that they override. */
import { parseArgs } from 'node:util';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { deprecatedSettings, gatewaySettings, settingsFields } from '@martenworks/settings';
import type { ValidationIssue, GatewaySettings, Role } from '@martenworks/settings';
import { readJson } from './jsonFile.js';

const kebabCase = (field: string): string => field.replace(/[A-Z]/g, (letter) => `-${letter.toLowerCase()}`);
const currentFields = Object.keys(settingsFields) as (keyof typeof settingsFields)[];
const allFields = [...currentFields, ...Object.keys(deprecatedSettings)];

const options = Object.fromEntries([
  ...allFields.map((field) => [kebabCase(field), { type: 'string' as const }]),
  ['settings', { type: 'string' as const }],
  /** What earlier releases called `settings`. */
  ['env', { type: 'string' as const }],
  ['help', { type: 'boolean' as const, short: 'h' }],
]);

type FlagValues = Readonly<Record<string, string | boolean | undefined>>;
type Issues = ValidationIssue[];

/** What a role's command line asks for. */
export interface ParsedFlags {
  /** Whether the usage page is asked for; the settings are then no more than an empty error. */
  readonly isHelp: boolean;
  readonly settings: Result<GatewaySettings, Issues>;
}

const parse = (args: string[]): Result<FlagValues, Issues> => {
  try {
    return ok(parseArgs({ args, options, strict: true, allowPositionals: false }).values as FlagValues);
  } catch (cause) {
    return err([{ path: 'flags', message: String((cause as Error).message) }]);
  }
};

const givenFields = (values: FlagValues): Record<string, string> => {
  const given: Record<string, string> = {};
  for (const field of allFields) {
    const value = values[kebabCase(field)];
    if (typeof value === 'string') given[field] = value;
  }
  return given;
};

const isFields = (value: unknown): value is Record<string, unknown> =>
  value !== null && typeof value === 'object' && !Array.isArray(value);

const fileFields = (values: FlagValues): Result<Record<string, unknown>, Issues> => {
  const path = values.settings ?? values.env;
  if (typeof path !== 'string') return ok({});
  return readJson(path).andThen((value) =>
    isFields(value) ? ok(value) : err([{ path, message: 'must hold one JSON object' }]),
  );
};

const warnOfDeprecated = (values: FlagValues, file: Record<string, unknown>, given: Record<string, string>): void => {
  const notes = [...gatewaySettings.deprecatedIn(file), ...gatewaySettings.deprecatedIn(given)];
  if (values.env !== undefined) notes.push('env: use settings');
  for (const note of notes) process.stderr.write(`martenworks: deprecated setting ${note}\n`);
};

const settingsOf = (role: Role, values: FlagValues): Result<GatewaySettings, Issues> => {
  const given = givenFields(values);
  return fileFields(values).andThen((file) => {
    warnOfDeprecated(values, file, given);
    return gatewaySettings.check(role, file, given);
  });
};

const roleSummaries: Record<Role, string> = {
  gateway: "takes callers' requests",
  'gateway-control': 'keeps the agreed state',
};

/** The flags of the roles of the product's own wire. */
export const flags = {
  /** Reads a role's arguments and its settings file; fields of earlier releases are taken with a warning on stderr. */
  read: (role: Role, args: string[]): ParsedFlags => {
    const values = parse(args);
    if (values.isErr()) return { isHelp: false, settings: err(values.error) };
    if (values.value.help === true) return { isHelp: true, settings: err([]) };
    return { isHelp: false, settings: settingsOf(role, values.value) };
  },

  /** A role's usage page. */
  help: (role: Role): string => {
    const lines = currentFields
      .filter((field) => (role === 'gateway-control' ? field !== 'operators' : field !== 'data'))
      .map((field) => `  --${kebabCase(field).padEnd(18)} ${settingsFields[field].help}`);
    return [
      `martenworks ${role}: ${roleSummaries[role]}`,
      '',
      `usage: martenworks ${role} [--settings FILE] [flags]`,
      '',
      '  --settings FILE      JSON file with the fields below; flags take precedence',
      ...lines,
      '',
    ].join('\n');
  },
};
