import { parseArgs } from 'node:util';
import { readFileSync } from 'node:fs';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { deprecatedSettings, gatewaySettings, settingsFields } from '@martenworks/settings';
import type { ValidationIssue, GatewaySettings, Role } from '@martenworks/settings';

const kebab = (field: string): string => field.replace(/[A-Z]/g, (letter) => `-${letter.toLowerCase()}`);
const fields = Object.keys(settingsFields) as (keyof typeof settingsFields)[];
const deprecatedFields = Object.keys(deprecatedSettings);

export interface Asked {
  readonly isHelp: boolean;
  readonly settings: Result<GatewaySettings, ValidationIssue[]>;
}

const fileFaults = (path: string, cause: unknown): ValidationIssue[] => [
  { path, message: String((cause as Error).message) },
];

export const readJson = (path: string): Result<unknown, ValidationIssue[]> => {
  try {
    return ok(JSON.parse(readFileSync(path, 'utf8')) as unknown);
  } catch (cause) {
    return err(fileFaults(path, cause));
  }
};

const fieldsOf = (value: unknown): Record<string, unknown> | null =>
  value !== null && typeof value === 'object' && !Array.isArray(value) ? (value as Record<string, unknown>) : null;

export const flags = {
  read: (role: Role, args: string[]): Asked => {
    const options = Object.fromEntries([
      ...[...fields, ...deprecatedFields].map((field) => [kebab(field), { type: 'string' as const }]),
      ['settings', { type: 'string' as const }],
      ['env', { type: 'string' as const }],
      ['help', { type: 'boolean' as const, short: 'h' }],
    ]);
    let values: Record<string, string | boolean | undefined>;
    try {
      values = parseArgs({ args, options, strict: true, allowPositionals: false }).values as typeof values;
    } catch (cause) {
      return { isHelp: false, settings: err([{ path: 'flags', message: String((cause as Error).message) }]) };
    }
    if (values.help === true) return { isHelp: true, settings: err([]) };
    const given: Record<string, string> = {};
    for (const field of [...fields, ...deprecatedFields]) {
      const value = values[kebab(field)];
      if (typeof value === 'string') given[field] = value;
    }
    const path = values.settings ?? values.env;
    const file = typeof path === 'string' ? readJson(path) : ok<unknown, ValidationIssue[]>({});
    if (file.isErr()) return { isHelp: false, settings: err(file.error) };
    const table = fieldsOf(file.value);
    if (table === null)
      return { isHelp: false, settings: err([{ path: String(path), message: 'must hold one JSON object' }]) };
    const deprecated = [...gatewaySettings.deprecatedIn(table), ...gatewaySettings.deprecatedIn(given)];
    if (values.env !== undefined) deprecated.push('env: use settings');
    for (const note of deprecated) process.stderr.write(`martenworks: deprecated setting ${note}\n`);
    return { isHelp: false, settings: gatewaySettings.check(role, table, given) };
  },
  help: (role: Role): string => {
    const lines = fields
      .filter((field) => (role === 'gateway-control' ? field !== 'operators' : field !== 'data'))
      .map((field) => `  --${kebab(field).padEnd(18)} ${settingsFields[field].help}`);
    return [
      `martenworks ${role}: ${role === 'gateway' ? "takes callers' requests" : 'keeps the agreed state'}`,
      '',
      `usage: martenworks ${role} [--settings FILE] [flags]`,
      '',
      '  --settings FILE      JSON file with the fields below; flags take precedence',
      ...lines,
      '',
    ].join('\n');
  },
};
