import jsonPatch from 'fast-json-patch';
import type { Operation } from 'fast-json-patch';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { digests } from '@martenworks/core-types';
import type { CommittedState, GatewayConfig } from '@martenworks/core-types';
import { gatewayConfigs } from '@martenworks/settings';
import type { ValidationIssue } from '@martenworks/settings';

export type GatewayConfigEdit = { readonly kind: 'whole' | 'part' | 'ops'; readonly given: unknown };

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

const patched = (config: GatewayConfig, given: unknown): Result<unknown, ValidationIssue[]> => {
  if (!Array.isArray(given)) return err([{ path: '/', message: 'a JSON Patch is an array of operations' }]);
  const fault = jsonPatch.validate(given as Operation[], config);
  if (fault !== undefined)
    return err([{ path: `/${String(fault.index ?? '')}`, message: fault.message.split('\n')[0] ?? fault.name }]);
  return ok(jsonPatch.applyPatch(jsonPatch.deepClone(config), given as Operation[], true).newDocument);
};

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
      return patched(config, edit.given).andThen(gatewayConfigs.check);
  }
};

export const planIds = { of: (base: number, edit: GatewayConfigEdit): string => digests.of(['plan', base, edit]) };

const valueAt = (config: GatewayConfig, path: string): unknown => {
  const held: unknown = path.endsWith('/-') ? undefined : jsonPatch.getValueByPointer(config, path);
  return held ?? null;
};

export const drawPlan = (state: CommittedState, edit: GatewayConfigEdit): Result<Plan, ValidationIssue[]> =>
  editConfig(state.config, edit).map((next) => {
    const changes = jsonPatch.compare(state.config, next).map((op) => ({
      op: op.op,
      path: op.path,
      before: op.op === 'add' ? null : valueAt(state.config, op.path),
      after: op.op === 'remove' ? null : valueAt(next, op.path),
    }));
    const named = (table: keyof GatewayConfig): string[] => [
      ...new Set(
        changes
          .filter((change) => change.path.startsWith(`/${table}/`))
          .map((change) => change.path.split('/')[2] ?? ''),
      ),
    ];
    const [tiers, pools] = [new Set(named('tiers')), new Set(named('pools'))];
    const lanes = new Set([
      ...named('lanes'),
      ...Object.entries(next.lanes).flatMap(([name, lane]) => (pools.has(lane.pool) ? [name] : [])),
    ]);
    const tenants = new Set([
      ...named('tenants'),
      ...Object.entries(next.tenants).flatMap(([name, tenant]) =>
        tiers.has(tenant.tier) || tenant.lanes.some((lane) => lanes.has(lane)) ? [name] : [],
      ),
    ]);
    return {
      planId: planIds.of(state.configLogIndex, edit),
      base: state.configLogIndex,
      changes,
      touches: {
        tenants: [...tenants].sort(),
        lanes: [...lanes].sort(),
        pools: [...pools].sort(),
        keys: Object.values(state.keys).filter((grant) => tenants.has(grant.tenant)).length,
        newWeights: Object.entries(next.pools).flatMap(([name, pool]) =>
          state.config.pools[name] !== undefined && state.config.pools[name].weights !== pool.weights
            ? [`${name}: ${pool.weights}`]
            : [],
        ),
      },
    };
  });
