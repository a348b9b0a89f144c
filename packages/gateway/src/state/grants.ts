/** Whether the committed configuration lets a key use a lane, at this moment. */
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { GrantError } from '../errors.js';
import type { GatewayRequest } from '../gatewayRequest.js';
import type { GatewayConfigView, LaneView, TenantView } from './gatewayConfigView.js';

/** The lane and the tenant that a request runs under. */
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
  if (lane === undefined) return err({ code: 'unknown_lane', detail: 'the lane was taken away' });
  if (!tenant.lanes.has(lane.index))
    return err({ code: 'lane_not_granted', detail: "the lane was taken from the key's holder" });
  return ok({ lane, tenant });
};

/** Look-ups of grants in a view of the configuration. */
export const grants = {
  /** The tenant to which a key is granted, by the key's hash. */
  tenantOfKey,

  /** Whether a request's key still belongs to the tenant under which the request was admitted. */
  isKeyGranted: (view: GatewayConfigView, request: GatewayRequest): boolean =>
    tenantOfKey(view, request.keyHash)?.name === request.tenant?.name,

  /** The grant of an admitted request, or why it lost it. */
  of: grantOf,
};
