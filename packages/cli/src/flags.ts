/** The flags of a role: one per settings field, and the settings file that they override. */
import { parseArgs } from 'node:util';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { deprecatedSettings, gatewaySettings, settingsFields } from '@martenworks/settings';
import type { ValidationIssue, GatewaySettings, Role } from '@martenworks/settings';
import { readJson } from './jsonFile.js';

const toKebabCase = (field: string): string => field.replace(/[A-Z]/g, (letter) => `-${letter.toLowerCase()}`);
const currentFields = Object.keys(settingsFields) as (keyof typeof settingsFields)[];
const allFields = [...currentFields, ...Object.keys(deprecatedSettings)];

const options = Object.fromEntries([
  ...allFields.map((field) => [toKebabCase(field), { type: 'string' as const }]),
  ['settings', { type: 'string' as const }],
  /** The name of `settings` in earlier releases. */
  ['env', { type: 'string' as const }],
  ['help', { type: 'boolean' as const, short: 'h' }],
]);

type FlagValues = Readonly<Record<string, string | boolean | undefined>>;
type Issues = ValidationIssue[];

/** The parsed command line of a role. */
export interface ParsedFlags {
  /** Whether the usage page was requested; `settings` is then an error without issues. */
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

const flagFields = (values: FlagValues): Record<string, string> => {
  const fields: Record<string, string> = {};
  for (const field of allFields) {
    const value = values[toKebabCase(field)];
    if (typeof value === 'string') fields[field] = value;
  }
  return fields;
};

const isObject = (value: unknown): value is Record<string, unknown> =>
  value !== null && typeof value === 'object' && !Array.isArray(value);

const fileFields = (values: FlagValues): Result<Record<string, unknown>, Issues> => {
  const path = values.settings ?? values.env;
  if (typeof path !== 'string') return ok({});
  return readJson(path).andThen((value) =>
    isObject(value) ? ok(value) : err([{ path, message: 'must be a JSON object' }]),
  );
};

const warnOfDeprecatedKeys = (
  values: FlagValues,
  file: Record<string, unknown>,
  fromFlags: Record<string, string>,
): void => {
  const warnings = [...gatewaySettings.deprecatedIn(file), ...gatewaySettings.deprecatedIn(fromFlags)];
  if (values.env !== undefined) warnings.push('env: use settings');
  for (const warning of warnings) process.stderr.write(`martenworks: deprecated setting ${warning}\n`);
};

const settingsOf = (role: Role, values: FlagValues): Result<GatewaySettings, Issues> => {
  const fromFlags = flagFields(values);
  return fileFields(values).andThen((file) => {
    warnOfDeprecatedKeys(values, file, fromFlags);
    return gatewaySettings.check(role, file, fromFlags);
  });
};

const roleSummaries: Record<Role, string> = {
  gateway: 'serves client requests',
  'gateway-control': 'stores the replicated state',
};

/** The flags of the gateway roles. */
export const flags = {
  /** Reads a role's arguments and settings file; fields of earlier releases are accepted with a warning on stderr. */
  read: (role: Role, args: string[]): ParsedFlags => {
    const values = parse(args);
    if (values.isErr()) return { isHelp: false, settings: err(values.error) };
    if (values.value.help === true) return { isHelp: true, settings: err([]) };
    return { isHelp: false, settings: settingsOf(role, values.value) };
  },

  /** Returns the usage page of a role. */
  help: (role: Role): string => {
    const lines = currentFields
      .filter((field) => (role === 'gateway-control' ? field !== 'operators' : field !== 'data'))
      .map((field) => `  --${toKebabCase(field).padEnd(18)} ${settingsFields[field].help}`);
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
