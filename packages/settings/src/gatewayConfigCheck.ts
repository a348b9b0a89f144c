/** Validation of the gateway configurations that operators send. */
import { type } from 'arktype';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { GatewayConfig } from '@martenworks/core-types';

/** One problem, with the JSON pointer of the value. */
export interface ValidationIssue {
  readonly path: string;
  readonly message: string;
}

const entryName = type(/^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$/);
const integerBetween = (low: number, high: number) => type(`${low} <= number.integer <= ${high}`);

const tier = type({
  '+': 'reject',
  rank: integerBetween(0, 100),
  'share?': type('0 < number <= 1'),
  'horizonMs?': integerBetween(100, 600_000),
});

const pool = type({
  '+': 'reject',
  weights: entryName,
  'slots?': integerBetween(1, 4096),
  'extraAllowance?': integerBetween(0, 1000),
  'prefillTokensPerMs?': type('0 < number <= 100000'),
  'pullTokensPerMs?': type('0 < number <= 1000000'),
  'store?': type('string | null'),
});

const lane = type({ '+': 'reject', pool: entryName, repeat: "'once' | 'freely'" });

const tenant = type({
  '+': 'reject',
  tier: entryName,
  'isolated?': 'boolean',
  'lanes?': entryName.array(),
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

const tenantWithDefaults = (tenantInput: typeof tenant.infer): GatewayConfig['tenants'][string] => ({
  tier: tenantInput.tier,
  isolated: tenantInput.isolated ?? false,
  lanes: tenantInput.lanes ?? [],
  ratePerSecond: tenantInput.ratePerSecond ?? null,
});

const withDefaults = (input: typeof gatewayConfigSchema.infer): GatewayConfig => ({
  tiers: Object.fromEntries(
    Object.entries(input.tiers).map(([key, one]) => [
      key,
      { rank: one.rank, share: one.share ?? 1, horizonMs: one.horizonMs ?? 30_000 },
    ]),
  ),
  pools: Object.fromEntries(
    Object.entries(input.pools).map(([key, one]) => [
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
  lanes: input.lanes,
  tenants: Object.fromEntries(Object.entries(input.tenants).map(([key, one]) => [key, tenantWithDefaults(one)])),
});

const nameIssues = (entries: Record<string, unknown>, section: string): ValidationIssue[] =>
  Object.keys(entries)
    .filter((key) => !entryName.allows(key))
    .map((key) => ({
      path: `/${section}/${key}`,
      message: 'must be a name of letters, digits, dots and dashes, at most 64',
    }));

/** A cache store holds blocks of a single version of the weights. */
const storeIssues = ({ pools }: GatewayConfig): ValidationIssue[] =>
  Object.entries(pools).flatMap(([key, { store, weights }]) => {
    const firstUser = Object.entries(pools).find(([, other]) => store !== null && other.store === store);
    if (firstUser === undefined || firstUser[1].weights === weights) return [];
    return [
      { path: `/pools/${key}/store`, message: `is also the store of pool ${firstUser[0]}, which has other weights` },
    ];
  });

const laneIssues = ({ lanes, pools }: GatewayConfig): ValidationIssue[] =>
  Object.entries(lanes)
    .filter(([, { pool }]) => !Object.hasOwn(pools, pool))
    .map(([key, { pool }]) => ({ path: `/lanes/${key}/pool`, message: `refers to unknown pool ${pool}` }));

const tierIssues = ({ tenants, tiers }: GatewayConfig): ValidationIssue[] =>
  Object.entries(tenants)
    .filter(([, { tier }]) => !Object.hasOwn(tiers, tier))
    .map(([key, { tier }]) => ({ path: `/tenants/${key}/tier`, message: `refers to unknown tier ${tier}` }));

const tenantLaneIssues = ({ tenants, lanes }: GatewayConfig): ValidationIssue[] =>
  Object.entries(tenants).flatMap(([key, tenant]) =>
    tenant.lanes.flatMap((lane, at) =>
      Object.hasOwn(lanes, lane)
        ? []
        : [{ path: `/tenants/${key}/lanes/${at}`, message: `refers to unknown lane ${lane}` }],
    ),
  );

/** Checks that the schema cannot express: the syntax of names, and references between entries. */
const referenceIssues = (config: GatewayConfig): ValidationIssue[] => [
  ...(['tiers', 'pools', 'lanes', 'tenants'] as const).flatMap((section) => nameIssues(config[section], section)),
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

/** Validates and merges configurations. */
export const gatewayConfigs = {
  /** Checks a full configuration, including its references, and fills in the defaults. */
  check: (input: unknown): Result<GatewayConfig, ValidationIssue[]> => {
    const parsed = gatewayConfigSchema(input);
    if (parsed instanceof type.errors) return err(issuesOf(parsed));
    const config = withDefaults(parsed);
    const issues = referenceIssues(config);
    return issues.length === 0 ? ok(config) : err(issues);
  },
  /** Checks one tenant and fills in the defaults. */
  tenant: (input: unknown): Result<GatewayConfig['tenants'][string], ValidationIssue[]> => {
    const parsed = tenant(input);
    return parsed instanceof type.errors ? err(issuesOf(parsed)) : ok(tenantWithDefaults(parsed));
  },
  /** Returns the configuration with a JSON merge patch (RFC 7396) applied; the result is not checked. */
  merge: (current: GatewayConfig, patch: unknown): unknown => mergePatch(current, patch),
};
