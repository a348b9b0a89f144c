/** Looks up whether the committed configuration currently lets a key use a lane. */
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { GrantError } from '../errors.js';
import type { GatewayRequest } from '../gatewayRequest.js';
import type { GatewayConfigView, LaneView, TenantView } from './gatewayConfigView.js';

/** The lane and the tenant under which a request runs. */
export interface Grant {
  readonly lane: LaneView;
  readonly tenant: TenantView;
}

const tenantOfKey = (view: GatewayConfigView | null, keyHash: string): TenantView | undefined => {
  const grant = view !== null && Object.hasOwn(view.keys, keyHash) ? view.keys[keyHash] : undefined;
  return grant === undefined ? undefined : view?.tenants.get(grant.tenant);
};

const grantOf = (view: GatewayConfigView | null, request: GatewayRequest): Result<Grant, GrantError> => {
  const tenant = tenantOfKey(view, request.keyHash);
  if (view === null || tenant === undefined || tenant.name !== request.tenant?.name)
    return err({ code: 'key_revoked', detail: 'the key was revoked' });
  const lane = view.lanes.get(request.laneName);
  if (lane === undefined) return err({ code: 'unknown_lane', detail: 'the lane was removed' });
  if (!tenant.lanes.has(lane.index))
    return err({ code: 'lane_not_granted', detail: 'the tenant of this key may no longer use the lane' });
  return ok({ lane, tenant });
};

/** Lookups of grants in a view of the configuration. */
export const grants = {
  /** The tenant to which the key with this hash is granted; undefined if there is none. */
  tenantOfKey,

  /** Whether a request's key still belongs to the tenant for which the request was admitted. */
  isKeyGranted: (view: GatewayConfigView, request: GatewayRequest): boolean =>
    tenantOfKey(view, request.keyHash)?.name === request.tenant?.name,

  /** The grant of an admitted request, or the reason for which it lost the grant. */
  of: grantOf,
};
