import { type } from 'arktype';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { Complaint } from './layoutCheck.js';

const address = type(/^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/);
const label = type(/^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$/);
const milliseconds = type('0 <= number <= 86400000');

const shape = type({
  name: label,
  zone: label,
  zones: type({ '[string]': 'string' }),
  coach: address,
  http: address,
  'ready?': type('string | null'),
  seeds: address.array().narrow((seeds, context) => seeds.length >= 1 || context.mustBe('at least one address')),
  'data?': type('string | null'),
  voters: '1 <= number.integer <= 99',
  isFresh: 'boolean',
  drainMs: milliseconds,
  orderGapMs: milliseconds,
  versionMs: milliseconds,
  'unheardMs?': type('0 <= number <= 86400000 | null'),
  extraRatio: '0 <= number <= 10',
  extraWindowMs: '100 <= number <= 600000',
  extraSlack: '0 <= number <= 1000000',
  listEveryMs: '50 <= number <= 600000',
  listPerSecond: '0 < number <= 100000',
  listPatienceMs: milliseconds,
  memoryMb: '16 <= number <= 1048576',
  openFiles: '64 <= number <= 100000000',
  'logs?': 'boolean',
  'watchesStale?': 'boolean',
});

/** What a process of the opaque path is told: its place, its bounds (milliseconds unless the name says otherwise), its limits. */
export type WayEnv = typeof shape.infer & { readonly ready: string | null; readonly data: string | null; readonly unheardMs: number | null; readonly logs: boolean; readonly watchesStale: boolean };

export const wayEnvs = {
  check: (given: unknown): Result<WayEnv, Complaint[]> => {
    const shaped = shape(given);
    if (shaped instanceof type.errors) return err(shaped.map((problem) => ({ path: `/${problem.path.join('/')}`, message: problem.message })));
    return ok({ ...shaped, ready: shaped.ready ?? null, data: shaped.data ?? null, unheardMs: shaped.unheardMs ?? null, logs: shaped.logs ?? true, watchesStale: shaped.watchesStale ?? true });
  },
};
