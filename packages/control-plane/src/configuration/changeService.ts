/** Changes of the gateways' configuration, and of the keys granted under it, as proposals to the consensus group. */
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { digests } from '@martenworks/core-types';
import type { CommittedState, Change, ChangeBody, KeyGrant, GatewayConfig, Tenant } from '@martenworks/core-types';
import { gatewayConfigs } from '@martenworks/settings';
import { editConfig } from './plan.js';
import type { GatewayConfigEdit } from './plan.js';
import type { Proposer, Applied } from '../consensus/proposer.js';
import { proposalErrors } from '../errors.js';
import type { ProposalError } from '../errors.js';

const timeoutMs = 3_000;

const edited = (state: CommittedState, edit: GatewayConfigEdit): Result<GatewayConfig, ProposalError> =>
  editConfig(state.config, edit).mapErr(proposalErrors.rejected);

const checkGrant = (state: CommittedState, tenantName: string, tenant: Tenant | null): Result<void, ProposalError> => {
  if (state.config.tenants[tenantName] !== undefined) return ok(undefined);
  if (tenant === null)
    return err(proposalErrors.rejected([{ path: '/tenant', message: `names the absent tenant ${tenantName}` }]));
  return gatewayConfigs
    .check({ ...state.config, tenants: { ...state.config.tenants, [tenantName]: tenant } })
    .map(() => undefined)
    .mapErr(proposalErrors.rejected);
};

/** Proposes changes, each checked against the state it is applied to; every call answers within 3 s. */
export class ChangeService {
  constructor(private readonly proposer: Proposer) {}

  private readonly put = (
    id: string,
    asked: unknown,
    bodyFor: (state: CommittedState) => Result<ChangeBody, ProposalError>,
  ): Promise<Result<Applied, ProposalError>> => {
    const digest = digests.of(asked);
    const check = (state: CommittedState): Result<Change, ProposalError> =>
      bodyFor(state).map((body) => ({ id, digest, body }));
    return this.proposer.propose(check, id, digest, timeoutMs);
  };

  /**
   * Replaces or edits the configuration that was committed at log index `base`; `conflict` where another one is in
   * force.
   */
  readonly changeConfig = (
    id: string,
    base: number,
    edit: GatewayConfigEdit,
  ): Promise<Result<Applied, ProposalError>> =>
    this.put(id, ['layout', base, edit], (state) => {
      if (state.configLogIndex !== base)
        return err(
          proposalErrors.conflict(state.configLogIndex, `the layout is at generation ${state.configLogIndex}`),
        );
      return edited(state, edit).map((config) => ({ kind: 'config', config, base }));
    });

  /**
   * Grants a key to a tenant, which is created from `tenant` where it is absent; `rejected` where another tenant has
   * the key.
   */
  readonly grant = (
    id: string,
    keyHash: string,
    grant: KeyGrant,
    tenant: Tenant | null,
  ): Promise<Result<Applied, ProposalError>> =>
    this.put(id, ['grant', keyHash, grant, tenant], (state) => {
      const current = state.keys[keyHash];
      if (current !== undefined && current.tenant !== grant.tenant)
        return err(proposalErrors.rejected([{ path: '/key', message: 'is held by another tenant' }]));
      return checkGrant(state, grant.tenant, tenant).map(() => ({ kind: 'grant', keyHash, grant, tenant }));
    });

  /** Revokes a key by its hash; revoking one that is not granted is committed as well. */
  readonly revoke = (id: string, keyHash: string): Promise<Result<Applied, ProposalError>> =>
    this.put(id, ['revoke', keyHash], () => ok({ kind: 'revoke', keyHash }));
}
