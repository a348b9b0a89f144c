import { parseArgs } from 'node:util';
import { readFileSync } from 'node:fs';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { envFields, envs } from '@martenworks/settings';
import type { Complaint, Env, Role } from '@martenworks/settings';

const kebab = (field: string): string => field.replace(/[A-Z]/g, (letter) => `-${letter.toLowerCase()}`);
const fields = Object.keys(envFields) as (keyof typeof envFields)[];

export interface Asked {
  readonly isHelp: boolean;
  readonly env: Result<Env, Complaint[]>;
}

const fileFaults = (path: string, cause: unknown): Complaint[] => [{ path, message: String((cause as Error).message) }];

export const readJson = (path: string): Result<unknown, Complaint[]> => {
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
      ...fields.map((field) => [kebab(field), { type: 'string' as const }]),
      ['env', { type: 'string' as const }],
      ['help', { type: 'boolean' as const, short: 'h' }],
    ]);
    let values: Record<string, string | boolean | undefined>;
    try {
      values = parseArgs({ args, options, strict: true, allowPositionals: false }).values as typeof values;
    } catch (cause) {
      return { isHelp: false, env: err([{ path: 'flags', message: String((cause as Error).message) }]) };
    }
    if (values.help === true) return { isHelp: true, env: err([]) };
    const given: Record<string, string> = {};
    for (const field of fields) {
      const value = values[kebab(field)];
      if (typeof value === 'string') given[field] = value;
    }
    const path = values.env;
    const file = typeof path === 'string' ? readJson(path) : ok<unknown, Complaint[]>({});
    if (file.isErr()) return { isHelp: false, env: err(file.error) };
    const table = fieldsOf(file.value);
    if (table === null)
      return { isHelp: false, env: err([{ path: String(path), message: 'must hold one JSON object' }]) };
    return { isHelp: false, env: envs.check(role, table, given) };
  },
  help: (role: Role): string => {
    const lines = fields
      .filter((field) => (role === 'postmaster' ? field !== 'operators' : field !== 'data'))
      .map((field) => `  --${kebab(field).padEnd(18)} ${envFields[field].help}`);
    return [
      `postrider ${role}: ${role === 'counter' ? "a front, which takes callers' requests" : 'a core node, which keeps the agreed state'}`,
      '',
      `usage: postrider ${role} [--env FILE] [flags]`,
      '',
      '  --env FILE           JSON file with the fields below; flags go before it',
      ...lines,
      '',
    ].join('\n');
  },
};
