/** Checks the configurations that operators of a gateway send. */
import { type } from 'arktype';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { GatewayConfig } from '@martenworks/core-types';

/** One problem, and where it is: a JSON pointer. */
export interface ValidationIssue {
  readonly path: string;
  readonly message: string;
}

const name = type(/^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$/);
const count = (low: number, high: number) => type(`${low} <= number.integer <= ${high}`);

const tier = type({
  '+': 'reject',
  rank: count(0, 100),
  'share?': type('0 < number <= 1'),
  'horizonMs?': count(100, 600_000),
});

const pool = type({
  '+': 'reject',
  weights: name,
  'slots?': count(1, 4096),
  'extraAllowance?': count(0, 1000),
  'prefillTokensPerMs?': type('0 < number <= 100000'),
  'pullTokensPerMs?': type('0 < number <= 1000000'),
  'store?': type('string | null'),
});

const lane = type({ '+': 'reject', pool: name, repeat: "'once' | 'freely'" });

const tenant = type({
  '+': 'reject',
  tier: name,
  'isolated?': 'boolean',
  'lanes?': name.array(),
  'ratePerSecond?': type('0 < number <= 1000000 | null'),
});

const gatewayConfigSchema = type({
  '+': 'reject',
  tiers: type({ '[string]': tier }),
  pools: type({ '[string]': pool }),
  lanes: type({ '[string]': lane }),
  tenants: type({ '[string]': tenant }),
});

const issuesOf = (problems: type.errors): ValidationIssue[] =>
  problems.map((problem) => ({ path: `/${problem.path.join('/')}`, message: problem.message }));

const tenantWithDefaults = (given: typeof tenant.infer): GatewayConfig['tenants'][string] => ({
  tier: given.tier,
  isolated: given.isolated ?? false,
  lanes: given.lanes ?? [],
  ratePerSecond: given.ratePerSecond ?? null,
});

const withDefaults = (given: typeof gatewayConfigSchema.infer): GatewayConfig => ({
  tiers: Object.fromEntries(
    Object.entries(given.tiers).map(([key, one]) => [
      key,
      { rank: one.rank, share: one.share ?? 1, horizonMs: one.horizonMs ?? 30_000 },
    ]),
  ),
  pools: Object.fromEntries(
    Object.entries(given.pools).map(([key, one]) => [
      key,
      {
        weights: one.weights,
        slots: one.slots ?? 64,
        extraAllowance: one.extraAllowance ?? 18,
        prefillTokensPerMs: one.prefillTokensPerMs ?? 8,
        pullTokensPerMs: one.pullTokensPerMs ?? 80,
        store: one.store ?? null,
      },
    ]),
  ),
  lanes: given.lanes,
  tenants: Object.fromEntries(Object.entries(given.tenants).map(([key, one]) => [key, tenantWithDefaults(one)])),
});

const nameIssues = (table: Record<string, unknown>, at: string): ValidationIssue[] =>
  Object.keys(table)
    .filter((key) => !name.allows(key))
    .map((key) => ({ path: `/${at}/${key}`, message: 'must be a name of letters, digits, dots, dashes, at most 64' }));

/** A store keeps parts of one kind of weights only. */
const storeIssues = ({ pools }: GatewayConfig): ValidationIssue[] =>
  Object.entries(pools).flatMap(([key, { store, weights }]) => {
    const first = Object.entries(pools).find(([, other]) => store !== null && other.store === store);
    if (first === undefined || first[1].weights === weights) return [];
    return [{ path: `/pools/${key}/store`, message: `is the store of pool ${first[0]} too, which has other weights` }];
  });

const laneIssues = ({ lanes, pools }: GatewayConfig): ValidationIssue[] =>
  Object.entries(lanes)
    .filter(([, { pool }]) => !Object.hasOwn(pools, pool))
    .map(([key, { pool }]) => ({ path: `/lanes/${key}/pool`, message: `names the absent pool ${pool}` }));

const tierIssues = ({ tenants, tiers }: GatewayConfig): ValidationIssue[] =>
  Object.entries(tenants)
    .filter(([, { tier }]) => !Object.hasOwn(tiers, tier))
    .map(([key, { tier }]) => ({ path: `/tenants/${key}/tier`, message: `names the absent tier ${tier}` }));

const tenantLaneIssues = ({ tenants, lanes }: GatewayConfig): ValidationIssue[] =>
  Object.entries(tenants).flatMap(([key, tenant]) =>
    tenant.lanes.flatMap((lane, at) =>
      Object.hasOwn(lanes, lane)
        ? []
        : [{ path: `/tenants/${key}/lanes/${at}`, message: `names the absent lane ${lane}` }],
    ),
  );

/** What the schema can't express: forms of names, and names of entries that are absent. */
const referenceIssues = (config: GatewayConfig): ValidationIssue[] => [
  ...(['tiers', 'pools', 'lanes', 'tenants'] as const).flatMap((at) => nameIssues(config[at], at)),
  ...storeIssues(config),
  ...laneIssues(config),
  ...tierIssues(config),
  ...tenantLaneIssues(config),
];

const isObject = (value: unknown): value is Record<string, unknown> =>
  value !== null && typeof value === 'object' && !Array.isArray(value);

const mergePatch = (target: unknown, patch: unknown): unknown => {
  if (!isObject(patch)) return patch;
  const base = isObject(target) ? target : {};
  const next: Record<string, unknown> = { ...base };
  for (const [key, value] of Object.entries(patch)) {
    if (value === null) delete next[key];
    else next[key] = mergePatch(Object.hasOwn(base, key) ? base[key] : undefined, value);
  }
  return next;
};

/** Checks and merges configurations. */
export const gatewayConfigs = {
  /** Checks a whole configuration, the names in it too, and fills in its defaults. */
  check: (given: unknown): Result<GatewayConfig, ValidationIssue[]> => {
    const shaped = gatewayConfigSchema(given);
    if (shaped instanceof type.errors) return err(issuesOf(shaped));
    const config = withDefaults(shaped);
    const issues = referenceIssues(config);
    return issues.length === 0 ? ok(config) : err(issues);
  },
  /** Checks one tenant and fills in its defaults. */
  tenant: (given: unknown): Result<GatewayConfig['tenants'][string], ValidationIssue[]> => {
    const shaped = tenant(given);
    return shaped instanceof type.errors ? err(issuesOf(shaped)) : ok(tenantWithDefaults(shaped));
  },
  /** A configuration with a partial change laid over it (RFC 7396); not checked. */
  merge: (current: GatewayConfig, patch: unknown): unknown => mergePatch(current, patch),
};
