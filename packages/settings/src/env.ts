import { type } from 'arktype';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { Complaint } from './layoutCheck.js';

export type Role = 'counter' | 'postmaster';

export interface Env {
  readonly role: Role;
  readonly name: string;
  readonly zone: string;
  readonly coach: string;
  readonly coachListen: string;
  readonly http: string;
  readonly operators: string | null;
  readonly seeds: readonly string[];
  readonly data: string | null;
  readonly fronts: number;
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

const envShape = type({
  '+': 'reject',
  name: label,
  zone: label,
  coach: address,
  'coachListen?': address,
  http: address,
  'operators?': address,
  seeds: address.array().narrow((seeds, context) => seeds.length === 3 || context.mustBe('exactly three addresses')),
  'data?': 'string > 0',
  'fronts?': '1 <= number.integer <= 1000',
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

export const envFields = {
  name: { form: forms.text, help: "this node's name, unlike any other node's" },
  zone: { form: forms.text, help: 'the zone this machine stands in' },
  coach: { form: forms.text, help: "IP:PORT for the fleet's own connections" },
  coachListen: { form: forms.text, help: 'IP:PORT to listen on where others dial another (connection)' },
  http: { form: forms.text, help: 'IP:PORT for HTTP (callers, or operators and platform)' },
  operators: { form: forms.text, help: "IP:PORT for operators' pages, on a private network (counter only; none)" },
  seeds: { form: forms.list, help: 'three IP:PORT of other nodes, parted by commas' },
  data: { form: forms.text, help: 'data folder (postmaster only)' },
  fronts: { form: forms.count, help: 'how many counters share the extra allowance (9)' },
  bodyLimitBytes: { form: forms.count, help: 'largest request body (4194304)' },
  queueLimit: { form: forms.count, help: 'most requests waiting in one stage (512)' },
  drainMs: { form: forms.count, help: 'longest wait for running requests on SIGTERM (25000)' },
  claimRetentionMs: { form: forms.count, help: 'how long an Idempotency-Key is remembered (600000)' },
  stallMs: { form: forms.count, help: 'longest silence within a running stream before it is cut (20000)' },
  logs: { form: forms.switch, help: 'on or off: JSON lines on stdout (on)' },
  index: { form: forms.switch, help: 'on or off: use the index of kept prompts (on)' },
} as const;

export const envs = {
  check: (
    role: Role,
    fromFile: Record<string, unknown>,
    fromFlags: Record<string, string>,
  ): Result<Env, Complaint[]> => {
    const flagged = Object.fromEntries(
      Object.entries(fromFlags).map(([key, raw]) => [
        key,
        (envFields as Record<string, { form: (raw: string) => unknown }>)[key]?.form(raw) ?? raw,
      ]),
    );
    const shaped = envShape({ ...fromFile, ...flagged });
    const faults: Complaint[] =
      shaped instanceof type.errors
        ? shaped.map((problem) => ({ path: `/${problem.path.join('/')}`, message: problem.message }))
        : [];
    const data = (flagged.data ?? fromFile.data) as unknown;
    if (role === 'postmaster' && data === undefined)
      faults.push({ path: '/data', message: 'a postmaster needs a data folder' });
    const operators = (flagged.operators ?? fromFile.operators) as unknown;
    if (role === 'postmaster' && operators !== undefined)
      faults.push({ path: '/operators', message: "is for counters; a postmaster's http is the operators' already" });
    if (operators !== undefined && [flagged.http ?? fromFile.http, flagged.coach ?? fromFile.coach].includes(operators))
      faults.push({ path: '/operators', message: 'must be another address than http and coach' });
    if (shaped instanceof type.errors || faults.length > 0) return err(faults);
    return ok({
      role,
      name: shaped.name,
      zone: shaped.zone,
      coach: shaped.coach,
      coachListen: shaped.coachListen ?? shaped.coach,
      http: shaped.http,
      operators: shaped.operators ?? null,
      seeds: shaped.seeds,
      data: shaped.data ?? null,
      fronts: shaped.fronts ?? 9,
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
