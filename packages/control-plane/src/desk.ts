import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { digests } from '@martenworks/core-types';
import type { Agreed, Change, ChangeBody, KeyGrant, Layout, Tenant } from '@martenworks/core-types';
import { layouts } from '@martenworks/settings';
import { editLayout } from './plan.js';
import type { LayoutEdit } from './plan.js';
import type { Proposer, Applied, ProposeFault } from './proposer.js';

const patienceMs = 3_000;

const edited = (state: Agreed, edit: LayoutEdit): Result<Layout, ProposeFault> =>
  editLayout(state.layout, edit).mapErr((complaints) => ({ kind: 'rejected', complaints }));

const grantFaults = (state: Agreed, tenantName: string, tenant: Tenant | null): Result<void, ProposeFault> => {
  const held = state.layout.tenants[tenantName];
  if (held !== undefined) return ok(undefined);
  if (tenant === null)
    return err({
      kind: 'rejected',
      complaints: [{ path: '/tenant', message: `names the absent tenant ${tenantName}` }],
    });
  return layouts
    .check({ ...state.layout, tenants: { ...state.layout.tenants, [tenantName]: tenant } })
    .map(() => undefined)
    .mapErr((complaints) => ({ kind: 'rejected' as const, complaints }));
};

export class ChangeDesk {
  constructor(private readonly proposer: Proposer) {}

  private readonly put = (
    id: string,
    asked: unknown,
    bodyFor: (state: Agreed) => Result<ChangeBody, ProposeFault>,
  ): Promise<Result<Applied, ProposeFault>> => {
    const digest = digests.of(asked);
    const check = (state: Agreed): Result<Change, ProposeFault> => bodyFor(state).map((body) => ({ id, digest, body }));
    return this.proposer.propose(check, id, digest, patienceMs);
  };

  readonly layout = (id: string, base: number, edit: LayoutEdit): Promise<Result<Applied, ProposeFault>> =>
    this.put(id, ['layout', base, edit], (state) => {
      if (state.layoutGeneration !== base)
        return err({
          kind: 'conflict',
          layoutGeneration: state.layoutGeneration,
          detail: `the layout is at generation ${state.layoutGeneration}`,
        });
      return edited(state, edit).map((layout) => ({ kind: 'layout', layout, base }));
    });

  readonly grant = (
    id: string,
    keyHash: string,
    grant: KeyGrant,
    tenant: Tenant | null,
  ): Promise<Result<Applied, ProposeFault>> =>
    this.put(id, ['grant', keyHash, grant, tenant], (state) => {
      const held = state.keys[keyHash];
      if (held !== undefined && held.tenant !== grant.tenant)
        return err({ kind: 'rejected', complaints: [{ path: '/key', message: 'is held by another tenant' }] });
      return grantFaults(state, grant.tenant, tenant).map(() => ({ kind: 'grant', keyHash, grant, tenant }));
    });

  readonly revoke = (id: string, keyHash: string): Promise<Result<Applied, ProposeFault>> =>
    this.put(id, ['revoke', keyHash], () => ok({ kind: 'revoke', keyHash }));
}
