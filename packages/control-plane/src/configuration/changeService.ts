import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { digests } from '@martenworks/core-types';
import type { CommittedState, Change, ChangeBody, KeyGrant, GatewayConfig, Tenant } from '@martenworks/core-types';
import { gatewayConfigs } from '@martenworks/settings';
import { editConfig } from './plan.js';
import type { GatewayConfigEdit } from './plan.js';
import type { Proposer, Applied, ProposeFault } from '../consensus/proposer.js';

const timeoutMs = 3_000;

const edited = (state: CommittedState, edit: GatewayConfigEdit): Result<GatewayConfig, ProposeFault> =>
  editConfig(state.config, edit).mapErr((complaints) => ({ kind: 'rejected', complaints }));

const grantFaults = (state: CommittedState, tenantName: string, tenant: Tenant | null): Result<void, ProposeFault> => {
  const held = state.config.tenants[tenantName];
  if (held !== undefined) return ok(undefined);
  if (tenant === null)
    return err({
      kind: 'rejected',
      complaints: [{ path: '/tenant', message: `names the absent tenant ${tenantName}` }],
    });
  return gatewayConfigs
    .check({ ...state.config, tenants: { ...state.config.tenants, [tenantName]: tenant } })
    .map(() => undefined)
    .mapErr((complaints) => ({ kind: 'rejected' as const, complaints }));
};

export class ChangeService {
  constructor(private readonly proposer: Proposer) {}

  private readonly put = (
    id: string,
    asked: unknown,
    bodyFor: (state: CommittedState) => Result<ChangeBody, ProposeFault>,
  ): Promise<Result<Applied, ProposeFault>> => {
    const digest = digests.of(asked);
    const check = (state: CommittedState): Result<Change, ProposeFault> =>
      bodyFor(state).map((body) => ({ id, digest, body }));
    return this.proposer.propose(check, id, digest, timeoutMs);
  };

  readonly config = (id: string, base: number, edit: GatewayConfigEdit): Promise<Result<Applied, ProposeFault>> =>
    this.put(id, ['layout', base, edit], (state) => {
      if (state.configLogIndex !== base)
        return err({
          kind: 'conflict',
          configLogIndex: state.configLogIndex,
          detail: `the layout is at generation ${state.configLogIndex}`,
        });
      return edited(state, edit).map((config) => ({ kind: 'config', config, base }));
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
