import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { DenyCode } from '@martenworks/core-types';
import type { LaneView, LayoutView, TenantView } from './layoutView.js';
import type { Parcel } from './parcel.js';

export interface Standing {
  readonly lane: LaneView;
  readonly tenant: TenantView;
}

export type Fall = readonly [DenyCode, string];

const holderOf = (view: LayoutView | null, keyHash: string): TenantView | undefined => {
  const grant = view !== null && Object.hasOwn(view.keys, keyHash) ? view.keys[keyHash] : undefined;
  return grant === undefined ? undefined : view?.tenants.get(grant.tenant);
};

export const standings = {
  holderOf,
  isKeyHeld: (view: LayoutView, parcel: Parcel): boolean =>
    holderOf(view, parcel.keyHash)?.name === parcel.tenant?.name,
  of: (view: LayoutView | null, parcel: Parcel): Result<Standing, Fall> => {
    const tenant = holderOf(view, parcel.keyHash);
    if (view === null || tenant === undefined || tenant.name !== parcel.tenant?.name)
      return err(['key_revoked', 'the key was revoked']);
    const lane = view.lanes.get(parcel.laneName);
    if (lane === undefined) return err(['unknown_lane', 'the lane was taken away']);
    if (!tenant.lanes.has(lane.index)) return err(['lane_not_granted', "the lane was taken from the key's holder"]);
    return ok({ lane, tenant });
  },
};
