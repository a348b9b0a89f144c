/** Edits of the gateway configuration, and plans that show what an edit would change before it is applied. */
import jsonPatch from 'fast-json-patch';
import type { Operation } from 'fast-json-patch';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { digests } from '@martenworks/core-types';
import type { CommittedState, GatewayConfig } from '@martenworks/core-types';
import { gatewayConfigs } from '@martenworks/settings';
import type { ValidationIssue } from '@martenworks/settings';

/**
 * An edit as an operator sent it: a full configuration (`whole`), a part to merge into the current one (`part`), or a
 * JSON Patch according to RFC 6902 (`ops`).
 */
export type GatewayConfigEdit = { readonly kind: 'whole' | 'part' | 'ops'; readonly given: unknown };

/**
 * What an edit of the configuration at log index `base` would change, and the tenants, lanes, pools and number of keys
 * that it affects.
 */
export interface Plan {
  readonly planId: string;
  readonly base: number;
  readonly changes: readonly {
    readonly op: string;
    readonly path: string;
    readonly before: unknown;
    readonly after: unknown;
  }[];
  readonly touches: {
    readonly tenants: readonly string[];
    readonly lanes: readonly string[];
    readonly pools: readonly string[];
    readonly keys: number;
    readonly newWeights: readonly string[];
  };
}

const applyJsonPatch = (config: GatewayConfig, given: unknown): Result<unknown, ValidationIssue[]> => {
  if (!Array.isArray(given)) return err([{ path: '/', message: 'a JSON Patch must be an array of operations' }]);
  const error = jsonPatch.validate(given as Operation[], config);
  if (error !== undefined)
    return err([{ path: `/${String(error.index ?? '')}`, message: error.message.split('\n')[0] ?? error.name }]);
  return ok(jsonPatch.applyPatch(jsonPatch.deepClone(config), given as Operation[], true).newDocument);
};

/** Returns the configuration after an edit, fully validated; the errors name each invalid field. */
export const editConfig = (
  config: GatewayConfig,
  edit: GatewayConfigEdit,
): Result<GatewayConfig, ValidationIssue[]> => {
  switch (edit.kind) {
    case 'whole':
      return gatewayConfigs.check(edit.given);
    case 'part':
      return gatewayConfigs.check(gatewayConfigs.merge(config, edit.given));
    case 'ops':
      return applyJsonPatch(config, edit.given).andThen(gatewayConfigs.check);
  }
};

/**
 * Plan ids. The same edit of the same base always has the same id, so that an operator can apply exactly the plan that
 * was shown.
 */
export const planIds = { of: (base: number, edit: GatewayConfigEdit): string => digests.of(['plan', base, edit]) };

const valueAt = (config: GatewayConfig, path: string): unknown => {
  const value: unknown = path.endsWith('/-') ? undefined : jsonPatch.getValueByPointer(config, path);
  return value ?? null;
};

const changesBetween = (config: GatewayConfig, next: GatewayConfig): Plan['changes'] =>
  jsonPatch.compare(config, next).map(({ op, path }) => ({
    op,
    path,
    before: op === 'add' ? null : valueAt(config, path),
    after: op === 'remove' ? null : valueAt(next, path),
  }));

const namesIn = (table: keyof GatewayConfig, changes: Plan['changes']): string[] => [
  ...new Set(
    changes.filter((change) => change.path.startsWith(`/${table}/`)).map((change) => change.path.split('/')[2] ?? ''),
  ),
];

const newWeightsIn = (config: GatewayConfig, next: GatewayConfig): string[] =>
  Object.entries(next.pools).flatMap(([name, pool]) =>
    config.pools[name] !== undefined && config.pools[name].weights !== pool.weights ? [`${name}: ${pool.weights}`] : [],
  );

const affectedBy = (state: CommittedState, next: GatewayConfig, changes: Plan['changes']): Plan['touches'] => {
  const tiers = new Set(namesIn('tiers', changes));
  const pools = new Set(namesIn('pools', changes));
  const lanesOfPools = Object.entries(next.lanes).flatMap(([name, lane]) => (pools.has(lane.pool) ? [name] : []));
  const lanes = new Set([...namesIn('lanes', changes), ...lanesOfPools]);
  const tenantsOfLanes = Object.entries(next.tenants).flatMap(([name, tenant]) =>
    tiers.has(tenant.tier) || tenant.lanes.some((lane) => lanes.has(lane)) ? [name] : [],
  );
  const tenants = new Set([...namesIn('tenants', changes), ...tenantsOfLanes]);
  return {
    tenants: [...tenants].sort(),
    lanes: [...lanes].sort(),
    pools: [...pools].sort(),
    keys: Object.values(state.keys).filter((grant) => tenants.has(grant.tenant)).length,
    newWeights: newWeightsIn(state.config, next),
  };
};

/**
 * Returns the plan for an edit of the current configuration without applying it; the errors are those of `editConfig`.
 */
export const createPlan = (state: CommittedState, edit: GatewayConfigEdit): Result<Plan, ValidationIssue[]> =>
  editConfig(state.config, edit).map((next) => {
    const changes = changesBetween(state.config, next);
    return {
      planId: planIds.of(state.configLogIndex, edit),
      base: state.configLogIndex,
      changes,
      touches: affectedBy(state, next, changes),
    };
  });
