import { type } from 'arktype';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { ValidationIssue } from './gatewayConfigCheck.js';

export type Role = 'gateway' | 'gateway-control';

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

export const settingsFields = {
  name: { form: forms.text, help: "this node's name, unlike any other node's" },
  zone: { form: forms.text, help: 'the zone this machine stands in' },
  peerAddress: { form: forms.text, help: "IP:PORT for the fleet's own connections" },
  peerListenAddress: { form: forms.text, help: 'IP:PORT to listen on where others dial another (connection)' },
  http: { form: forms.text, help: 'IP:PORT for HTTP (callers, or operators and platform)' },
  operators: { form: forms.text, help: "IP:PORT for operators' pages, on a private network (gateway only; none)" },
  seeds: { form: forms.list, help: 'three IP:PORT of other nodes, parted by commas' },
  data: { form: forms.text, help: 'data folder (control node only)' },
  gatewayCount: { form: forms.count, help: 'how many gateways share the retry budget (9)' },
  bodyLimitBytes: { form: forms.count, help: 'largest request body (4194304)' },
  queueLimit: { form: forms.count, help: 'most requests waiting in one stage (512)' },
  drainMs: { form: forms.count, help: 'longest wait for running requests on SIGTERM (25000)' },
  claimRetentionMs: { form: forms.count, help: 'how long an Idempotency-Key is remembered (600000)' },
  stallMs: { form: forms.count, help: 'longest silence within a running stream before it is cut (20000)' },
  logs: { form: forms.switch, help: 'on or off: JSON lines on stdout (on)' },
  index: { form: forms.switch, help: 'on or off: use the index of kept prompts (on)' },
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

export const gatewaySettings = {
  /** One note for each key of an earlier release among these, for a warning. */
  deprecatedIn: (given: Readonly<Record<string, unknown>>): string[] =>
    Object.keys(given)
      .filter((key) => Object.hasOwn(deprecatedSettings, key))
      .map((key) => `${key}: use ${deprecatedSettings[key]}`),

  check: (
    role: Role,
    file: Record<string, unknown>,
    flags: Record<string, string>,
  ): Result<GatewaySettings, ValidationIssue[]> => {
    const fromFile = withCurrentKeys(file);
    const fromFlags = withCurrentKeys(flags);
    const flagged = Object.fromEntries(
      Object.entries(fromFlags).map(([key, raw]) => [
        key,
        (settingsFields as Record<string, { form: (raw: string) => unknown }>)[key]?.form(raw) ?? raw,
      ]),
    );
    const shaped = gatewaySettingsSchema({ ...fromFile, ...flagged });
    const faults: ValidationIssue[] =
      shaped instanceof type.errors
        ? shaped.map((problem) => ({ path: `/${problem.path.join('/')}`, message: problem.message }))
        : [];
    const data = (flagged.data ?? fromFile.data) as unknown;
    if (role === 'gateway-control' && data === undefined)
      faults.push({ path: '/data', message: 'a control node needs a data folder' });
    const operators = (flagged.operators ?? fromFile.operators) as unknown;
    if (role === 'gateway-control' && operators !== undefined)
      faults.push({ path: '/operators', message: "is for gateways; a control node's http is the operators' already" });
    if (
      operators !== undefined &&
      [flagged.http ?? fromFile.http, flagged.peerAddress ?? fromFile.peerAddress].includes(operators)
    )
      faults.push({ path: '/operators', message: 'must be another address than http and peerAddress' });
    if (shaped instanceof type.errors || faults.length > 0) return err(faults);
    return ok({
      role,
      name: shaped.name,
      zone: shaped.zone,
      peerAddress: shaped.peerAddress,
      peerListenAddress: shaped.peerListenAddress ?? shaped.peerAddress,
      http: shaped.http,
      operators: shaped.operators ?? null,
      seeds: shaped.seeds,
      data: shaped.data ?? null,
      gatewayCount: shaped.gatewayCount ?? 9,
      bodyLimitBytes: shaped.bodyLimitBytes ?? 4 * 1024 * 1024,
      queueLimit: shaped.queueLimit ?? 512,
      drainMs: shaped.drainMs ?? 25_000,
      claimRetentionMs: shaped.claimRetentionMs ?? 600_000,
      stallMs: shaped.stallMs ?? 20_000,
      logs: shaped.logs ?? true,
      index: shaped.index ?? true,
    });
  },
};
