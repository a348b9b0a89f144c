/** The settings of the gateway roles, read from a file and from flags. */
import { type } from 'arktype';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { ValidationIssue } from './gatewayConfigCheck.js';

/** The roles with these settings. */
export type Role = 'gateway' | 'gateway-control';

/** The settings of a gateway or gateway control node. Each is described by the `help` of its field in `settingsFields`. */
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
  readonly memoryMb: number;
  readonly openFiles: number;
  readonly drainMs: number;
  readonly stallMs: number;
  readonly claimRetentionMs: number;
  readonly logs: boolean;
  readonly index: boolean;
}

const isAddress = (text: string): boolean => {
  const match = /^(\d{1,3})\.(\d{1,3})\.(\d{1,3})\.(\d{1,3}):(\d{1,5})$/.exec(text);
  if (match === null) return false;
  return match.slice(1, 5).every((part) => Number(part) <= 255) && Number(match[5]) >= 1 && Number(match[5]) <= 65535;
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
  'memoryMb?': '16 <= number.integer <= 1048576',
  'openFiles?': '64 <= number.integer <= 100000000',
  'drainMs?': '0 <= number.integer <= 600000',
  'claimRetentionMs?': '1000 <= number.integer <= 86400000',
  'stallMs?': '100 <= number.integer <= 600000',
  'logs?': 'boolean',
  'index?': 'boolean',
});

const parsers = {
  text: (raw: string): unknown => raw,
  list: (raw: string): unknown => raw.split(',').filter((part) => part !== ''),
  count: (raw: string): unknown => (/^\d+$/.test(raw) ? Number(raw) : raw),
  switch: (raw: string): unknown => (raw === 'on' ? true : raw === 'off' ? false : raw),
};

/** For each field, how its flag is parsed and its line in the usage page, with the default in parentheses. */
export const settingsFields = {
  name: { parse: parsers.text, help: 'name of this node, unique in the fleet' },
  zone: { parse: parsers.text, help: 'zone of this machine' },
  peerAddress: { parse: parsers.text, help: 'IP:PORT at which other nodes connect to this one' },
  peerListenAddress: { parse: parsers.text, help: 'IP:PORT to listen on for other nodes, if different (peer-address)' },
  http: { parse: parsers.text, help: 'IP:PORT for HTTP: clients, or operators and the platform' },
  operators: { parse: parsers.text, help: 'IP:PORT for operator pages, on a private network (none)' },
  seeds: { parse: parsers.list, help: 'IP:PORT of three other nodes, separated by commas' },
  data: { parse: parsers.text, help: 'data folder of a control node' },
  gatewayCount: { parse: parsers.count, help: 'number of gateways that share the retry budget (9)' },
  bodyLimitBytes: { parse: parsers.count, help: 'maximum size of a request body (4194304)' },
  queueLimit: { parse: parsers.count, help: 'maximum number of requests queued in one stage (512)' },
  memoryMb: { parse: parsers.count, help: 'memory of the process in MiB, from which its bounds are derived (1024)' },
  openFiles: { parse: parsers.count, help: 'descriptors of the process, from which its bounds are derived (4096)' },
  drainMs: { parse: parsers.count, help: 'maximum wait for running requests on SIGTERM (25000)' },
  claimRetentionMs: { parse: parsers.count, help: 'how long an Idempotency-Key is stored (600000)' },
  stallMs: { parse: parsers.count, help: 'idle time after which a running stream is ended (20000)' },
  logs: { parse: parsers.switch, help: 'on or off: JSON lines on stdout (on)' },
  index: { parse: parsers.switch, help: 'on or off: place requests by the prefix index (on)' },
} as const;

/** Keys of earlier releases with the keys that replaced them; old keys are accepted with a warning. */
export const deprecatedSettings: Readonly<Record<string, keyof typeof settingsFields>> = {
  coach: 'peerAddress',
  coachListen: 'peerListenAddress',
  fronts: 'gatewayCount',
};

const withCurrentKeys = <T>(fields: Readonly<Record<string, T>>): Record<string, T> =>
  Object.fromEntries(
    Object.entries(fields).map(([key, value]) => [
      Object.hasOwn(deprecatedSettings, key) ? (deprecatedSettings[key] as string) : key,
      value,
    ]),
  );

const parseFlags = (flags: Readonly<Record<string, string>>): Record<string, unknown> => {
  const fields: Readonly<Record<string, { parse: (raw: string) => unknown }>> = settingsFields;
  return Object.fromEntries(Object.entries(flags).map(([key, raw]) => [key, fields[key]?.parse(raw) ?? raw]));
};

/** Rules over several fields, which the schema cannot express. */
const roleIssues = (role: Role, { data, operators, http, peerAddress }: Record<string, unknown>): ValidationIssue[] => {
  const issues: ValidationIssue[] = [];
  if (role === 'gateway-control' && data === undefined)
    issues.push({ path: '/data', message: 'is required for a control node' });
  if (role === 'gateway-control' && operators !== undefined)
    issues.push({
      path: '/operators',
      message: 'is for gateways only; a control node serves operators at its http address',
    });
  if (operators !== undefined && [http, peerAddress].includes(operators))
    issues.push({ path: '/operators', message: 'must differ from http and peerAddress' });
  return issues;
};

const withDefaults = (role: Role, input: typeof gatewaySettingsSchema.infer): GatewaySettings => ({
  role,
  name: input.name,
  zone: input.zone,
  peerAddress: input.peerAddress,
  peerListenAddress: input.peerListenAddress ?? input.peerAddress,
  http: input.http,
  operators: input.operators ?? null,
  seeds: input.seeds,
  data: input.data ?? null,
  gatewayCount: input.gatewayCount ?? 9,
  bodyLimitBytes: input.bodyLimitBytes ?? 4 * 1024 * 1024,
  queueLimit: input.queueLimit ?? 512,
  memoryMb: input.memoryMb ?? 1_024,
  openFiles: input.openFiles ?? 4_096,
  drainMs: input.drainMs ?? 25_000,
  claimRetentionMs: input.claimRetentionMs ?? 600_000,
  stallMs: input.stallMs ?? 20_000,
  logs: input.logs ?? true,
  index: input.index ?? true,
});

/** Validates the settings of the gateway roles. */
export const gatewaySettings = {
  /** Returns one warning for each key of an earlier release. */
  deprecatedIn: (fields: Readonly<Record<string, unknown>>): string[] =>
    Object.keys(fields)
      .filter((key) => Object.hasOwn(deprecatedSettings, key))
      .map((key) => `${key}: use ${deprecatedSettings[key]}`),

  /** Returns the settings of the file with the flags taking precedence, or all of their issues. */
  check: (
    role: Role,
    file: Record<string, unknown>,
    flags: Record<string, string>,
  ): Result<GatewaySettings, ValidationIssue[]> => {
    const input = { ...withCurrentKeys(file), ...parseFlags(withCurrentKeys(flags)) };
    const parsed = gatewaySettingsSchema(input);
    const schemaIssues: ValidationIssue[] =
      parsed instanceof type.errors
        ? parsed.map((problem) => ({ path: `/${problem.path.join('/')}`, message: problem.message }))
        : [];
    const issues = [...schemaIssues, ...roleIssues(role, input)];
    if (parsed instanceof type.errors || issues.length > 0) return err(issues);
    return ok(withDefaults(role, parsed));
  },
};
