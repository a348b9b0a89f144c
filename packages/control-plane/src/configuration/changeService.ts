/** Proposes changes of the gateway configuration and of API key grants to the consensus group. */
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { digests } from '@martenworks/core-types';
import type { CommittedState, Change, ChangeBody, KeyGrant, GatewayConfig, Tenant } from '@martenworks/core-types';
import { gatewayConfigs } from '@martenworks/settings';
import { editConfig } from './plan.js';
import type { GatewayConfigEdit } from './plan.js';
import type { Proposer, AppliedChange } from '../consensus/proposer.js';
import { proposalErrors } from '../errors.js';
import type { ProposalError } from '../errors.js';

const timeoutMs = 3_000;

const applyEdit = (state: CommittedState, edit: GatewayConfigEdit): Result<GatewayConfig, ProposalError> =>
  editConfig(state.config, edit).mapErr(proposalErrors.rejected);

const checkGrant = (state: CommittedState, tenantName: string, tenant: Tenant | null): Result<void, ProposalError> => {
  if (state.config.tenants[tenantName] !== undefined) return ok(undefined);
  if (tenant === null)
    return err(proposalErrors.rejected([{ path: '/tenant', message: `refers to unknown tenant ${tenantName}` }]));
  return gatewayConfigs
    .check({ ...state.config, tenants: { ...state.config.tenants, [tenantName]: tenant } })
    .map(() => undefined)
    .mapErr(proposalErrors.rejected);
};

/** Proposes changes, each validated against the state that it is applied to. Every call returns within 3 s. */
export class ChangeService {
  constructor(private readonly proposer: Proposer) {}

  private readonly propose = (
    id: string,
    request: unknown,
    createBody: (state: CommittedState) => Result<ChangeBody, ProposalError>,
  ): Promise<Result<AppliedChange, ProposalError>> => {
    const digest = digests.of(request);
    const check = (state: CommittedState): Result<Change, ProposalError> =>
      createBody(state).map((body) => ({ id, digest, body }));
    return this.proposer.propose(check, id, digest, timeoutMs);
  };

  /**
   * Replaces or edits the configuration committed at log index `base`. Fails with `conflict` if another configuration
   * has been committed since.
   */
  readonly changeConfig = (
    id: string,
    base: number,
    edit: GatewayConfigEdit,
  ): Promise<Result<AppliedChange, ProposalError>> =>
    this.propose(id, ['layout', base, edit], (state) => {
      if (state.configLogIndex !== base)
        return err(
          proposalErrors.conflict(state.configLogIndex, `the layout is at generation ${state.configLogIndex}`),
        );
      return applyEdit(state, edit).map((config) => ({ kind: 'config', config, base }));
    });

  /**
   * Grants a key to a tenant; a tenant that does not exist yet is created from `tenant`. Fails with `rejected` if the
   * key belongs to another tenant.
   */
  readonly grant = (
    id: string,
    keyHash: string,
    grant: KeyGrant,
    tenant: Tenant | null,
  ): Promise<Result<AppliedChange, ProposalError>> =>
    this.propose(id, ['grant', keyHash, grant, tenant], (state) => {
      const current = state.keys[keyHash];
      if (current !== undefined && current.tenant !== grant.tenant)
        return err(proposalErrors.rejected([{ path: '/key', message: 'belongs to another tenant' }]));
      return checkGrant(state, grant.tenant, tenant).map(() => ({ kind: 'grant', keyHash, grant, tenant }));
    });

  /** Revokes a key by its hash; the revocation is committed even if the key is not granted. */
  readonly revoke = (id: string, keyHash: string): Promise<Result<AppliedChange, ProposalError>> =>
    this.propose(id, ['revoke', keyHash], () => ok({ kind: 'revoke', keyHash }));
}
