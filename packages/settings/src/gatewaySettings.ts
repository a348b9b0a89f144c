/** The settings of the gateway roles, from a file and from flags. */
import { type } from 'arktype';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { ValidationIssue } from './gatewayConfigCheck.js';

/** The roles that read these settings. */
export type Role = 'gateway' | 'gateway-control';

/**
 * The settings of a gateway or gateway control node; what each means is the `help` of its field. Times are in
 * milliseconds.
 */
export interface GatewaySettings {
  readonly role: Role;
  readonly name: string;
  readonly zone: string;
  readonly peerAddress: string;
  readonly peerListenAddress: string;
  readonly http: string;
  readonly operators: string | null;
  readonly seeds: readonly string[];
  readonly data: string | null;
  readonly gatewayCount: number;
  readonly bodyLimitBytes: number;
  readonly queueLimit: number;
  readonly drainMs: number;
  readonly stallMs: number;
  readonly claimRetentionMs: number;
  readonly logs: boolean;
  readonly index: boolean;
}

const isAddress = (text: string): boolean => {
  const found = /^(\d{1,3})\.(\d{1,3})\.(\d{1,3})\.(\d{1,3}):(\d{1,5})$/.exec(text);
  if (found === null) return false;
  return found.slice(1, 5).every((part) => Number(part) <= 255) && Number(found[5]) >= 1 && Number(found[5]) <= 65535;
};

const address = type('string').narrow(
  (text, context) => isAddress(text) || context.mustBe('an IPv4 address and port, such as 10.0.0.1:7100'),
);
const label = type(/^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$/);

const gatewaySettingsSchema = type({
  '+': 'reject',
  name: label,
  zone: label,
  peerAddress: address,
  'peerListenAddress?': address,
  http: address,
  'operators?': address,
  seeds: address.array().narrow((seeds, context) => seeds.length === 3 || context.mustBe('exactly three addresses')),
  'data?': 'string > 0',
  'gatewayCount?': '1 <= number.integer <= 1000',
  'bodyLimitBytes?': '1024 <= number.integer <= 67108864',
  'queueLimit?': '1 <= number.integer <= 100000',
  'drainMs?': '0 <= number.integer <= 600000',
  'claimRetentionMs?': '1000 <= number.integer <= 86400000',
  'stallMs?': '100 <= number.integer <= 600000',
  'logs?': 'boolean',
  'index?': 'boolean',
});

const forms = {
  text: (raw: string): unknown => raw,
  list: (raw: string): unknown => raw.split(',').filter((part) => part !== ''),
  count: (raw: string): unknown => (/^\d+$/.test(raw) ? Number(raw) : raw),
  switch: (raw: string): unknown => (raw === 'on' ? true : raw === 'off' ? false : raw),
};

/** Each field: how its flag is read, and its line in the help, with the default in brackets. */
export const settingsFields = {
  name: { parse: forms.text, help: "this node's name, unlike any other node's" },
  zone: { parse: forms.text, help: 'the zone this machine stands in' },
  peerAddress: { parse: forms.text, help: "IP:PORT for the fleet's own connections" },
  peerListenAddress: { parse: forms.text, help: 'IP:PORT to listen on where others dial another (connection)' },
  http: { parse: forms.text, help: 'IP:PORT for HTTP (callers, or operators and platform)' },
  operators: { parse: forms.text, help: "IP:PORT for operators' pages, on a private network (gateway only; none)" },
  seeds: { parse: forms.list, help: 'three IP:PORT of other nodes, parted by commas' },
  data: { parse: forms.text, help: 'data folder (control node only)' },
  gatewayCount: { parse: forms.count, help: 'how many gateways share the retry budget (9)' },
  bodyLimitBytes: { parse: forms.count, help: 'largest request body (4194304)' },
  queueLimit: { parse: forms.count, help: 'most requests waiting in one stage (512)' },
  drainMs: { parse: forms.count, help: 'longest wait for running requests on SIGTERM (25000)' },
  claimRetentionMs: { parse: forms.count, help: 'how long an Idempotency-Key is remembered (600000)' },
  stallMs: { parse: forms.count, help: 'longest silence within a running stream before it is cut (20000)' },
  logs: { parse: forms.switch, help: 'on or off: JSON lines on stdout (on)' },
  index: { parse: forms.switch, help: 'on or off: use the index of kept prompts (on)' },
} as const;

/** Keys of earlier releases and the keys that replaced them; a file or flag with an old key is taken with a warning. */
export const deprecatedSettings: Readonly<Record<string, keyof typeof settingsFields>> = {
  coach: 'peerAddress',
  coachListen: 'peerListenAddress',
  fronts: 'gatewayCount',
};

const withCurrentKeys = <T>(given: Readonly<Record<string, T>>): Record<string, T> =>
  Object.fromEntries(
    Object.entries(given).map(([key, value]) => [
      Object.hasOwn(deprecatedSettings, key) ? (deprecatedSettings[key] as string) : key,
      value,
    ]),
  );

const parseFlags = (flags: Readonly<Record<string, string>>): Record<string, unknown> => {
  const fields: Readonly<Record<string, { parse: (raw: string) => unknown }>> = settingsFields;
  return Object.fromEntries(Object.entries(flags).map(([key, raw]) => [key, fields[key]?.parse(raw) ?? raw]));
};

/** The rules that join several fields, which the schema can't express. */
const roleIssues = (role: Role, { data, operators, http, peerAddress }: Record<string, unknown>): ValidationIssue[] => {
  const issues: ValidationIssue[] = [];
  if (role === 'gateway-control' && data === undefined)
    issues.push({ path: '/data', message: 'a control node needs a data folder' });
  if (role === 'gateway-control' && operators !== undefined)
    issues.push({ path: '/operators', message: "is for gateways; a control node's http is the operators' already" });
  if (operators !== undefined && [http, peerAddress].includes(operators))
    issues.push({ path: '/operators', message: 'must be another address than http and peerAddress' });
  return issues;
};

const withDefaults = (role: Role, given: typeof gatewaySettingsSchema.infer): GatewaySettings => ({
  role,
  name: given.name,
  zone: given.zone,
  peerAddress: given.peerAddress,
  peerListenAddress: given.peerListenAddress ?? given.peerAddress,
  http: given.http,
  operators: given.operators ?? null,
  seeds: given.seeds,
  data: given.data ?? null,
  gatewayCount: given.gatewayCount ?? 9,
  bodyLimitBytes: given.bodyLimitBytes ?? 4 * 1024 * 1024,
  queueLimit: given.queueLimit ?? 512,
  drainMs: given.drainMs ?? 25_000,
  claimRetentionMs: given.claimRetentionMs ?? 600_000,
  stallMs: given.stallMs ?? 20_000,
  logs: given.logs ?? true,
  index: given.index ?? true,
});

/** Reads the settings of the gateway roles. */
export const gatewaySettings = {
  /** One note for each key of an earlier release among these, for a warning. */
  deprecatedIn: (given: Readonly<Record<string, unknown>>): string[] =>
    Object.keys(given)
      .filter((key) => Object.hasOwn(deprecatedSettings, key))
      .map((key) => `${key}: use ${deprecatedSettings[key]}`),

  /** The settings of a file with flags laid over it, or all that is wrong with them by path. */
  check: (
    role: Role,
    file: Record<string, unknown>,
    flags: Record<string, string>,
  ): Result<GatewaySettings, ValidationIssue[]> => {
    const given = { ...withCurrentKeys(file), ...parseFlags(withCurrentKeys(flags)) };
    const shaped = gatewaySettingsSchema(given);
    const schemaIssues: ValidationIssue[] =
      shaped instanceof type.errors
        ? shaped.map((problem) => ({ path: `/${problem.path.join('/')}`, message: problem.message }))
        : [];
    const issues = [...schemaIssues, ...roleIssues(role, given)];
    if (shaped instanceof type.errors || issues.length > 0) return err(issues);
    return ok(withDefaults(role, shaped));
  },
};
