import jsonPatch from 'fast-json-patch';
import type { Operation } from 'fast-json-patch';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { digests } from '@martenworks/core-types';
import type { Agreed, Layout } from '@martenworks/core-types';
import { layouts } from '@martenworks/settings';
import type { Complaint } from '@martenworks/settings';

export type LayoutEdit = { readonly kind: 'whole' | 'part' | 'ops'; readonly given: unknown };

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

const patched = (layout: Layout, given: unknown): Result<unknown, Complaint[]> => {
  if (!Array.isArray(given)) return err([{ path: '/', message: 'a JSON Patch is an array of operations' }]);
  const fault = jsonPatch.validate(given as Operation[], layout);
  if (fault !== undefined)
    return err([{ path: `/${String(fault.index ?? '')}`, message: fault.message.split('\n')[0] ?? fault.name }]);
  return ok(jsonPatch.applyPatch(jsonPatch.deepClone(layout), given as Operation[], true).newDocument);
};

export const editLayout = (layout: Layout, edit: LayoutEdit): Result<Layout, Complaint[]> => {
  switch (edit.kind) {
    case 'whole':
      return layouts.check(edit.given);
    case 'part':
      return layouts.check(layouts.merge(layout, edit.given));
    case 'ops':
      return patched(layout, edit.given).andThen(layouts.check);
  }
};

export const planIds = { of: (base: number, edit: LayoutEdit): string => digests.of(['plan', base, edit]) };

const valueAt = (layout: Layout, path: string): unknown => {
  const held: unknown = path.endsWith('/-') ? undefined : jsonPatch.getValueByPointer(layout, path);
  return held ?? null;
};

export const drawPlan = (state: Agreed, edit: LayoutEdit): Result<Plan, Complaint[]> =>
  editLayout(state.layout, edit).map((next) => {
    const changes = jsonPatch.compare(state.layout, next).map((op) => ({
      op: op.op,
      path: op.path,
      before: op.op === 'add' ? null : valueAt(state.layout, op.path),
      after: op.op === 'remove' ? null : valueAt(next, op.path),
    }));
    const named = (table: keyof Layout): string[] => [
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
      planId: planIds.of(state.layoutGeneration, edit),
      base: state.layoutGeneration,
      changes,
      touches: {
        tenants: [...tenants].sort(),
        lanes: [...lanes].sort(),
        pools: [...pools].sort(),
        keys: Object.values(state.keys).filter((grant) => tenants.has(grant.tenant)).length,
        newWeights: Object.entries(next.pools).flatMap(([name, pool]) =>
          state.layout.pools[name] !== undefined && state.layout.pools[name].weights !== pool.weights
            ? [`${name}: ${pool.weights}`]
            : [],
        ),
      },
    };
  });
