import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { RejectionCode } from '@martenworks/core-types';
import type { LaneView, GatewayConfigView, TenantView } from './gatewayConfigView.js';
import type { GatewayRequest } from '../gatewayRequest.js';

export interface Grant {
  readonly lane: LaneView;
  readonly tenant: TenantView;
}

export type RejectionReason = readonly [RejectionCode, string];

const holderOf = (view: GatewayConfigView | null, keyHash: string): TenantView | undefined => {
  const grant = view !== null && Object.hasOwn(view.keys, keyHash) ? view.keys[keyHash] : undefined;
  return grant === undefined ? undefined : view?.tenants.get(grant.tenant);
};

export const grants = {
  holderOf,
  isKeyGranted: (view: GatewayConfigView, request: GatewayRequest): boolean =>
    holderOf(view, request.keyHash)?.name === request.tenant?.name,
  of: (view: GatewayConfigView | null, request: GatewayRequest): Result<Grant, RejectionReason> => {
    const tenant = holderOf(view, request.keyHash);
    if (view === null || tenant === undefined || tenant.name !== request.tenant?.name)
      return err(['key_revoked', 'the key was revoked']);
    const lane = view.lanes.get(request.laneName);
    if (lane === undefined) return err(['unknown_lane', 'the lane was taken away']);
    if (!tenant.lanes.has(lane.index)) return err(['lane_not_granted', "the lane was taken from the key's holder"]);
    return ok({ lane, tenant });
  },
};
