/** The last check before a body is sent: whether the assumptions of the placement still hold. */
import type { ReplicaRecord } from '@martenworks/core-types';
import { isolationScopes } from '../gatewayRequest.js';
import type { GatewayRequest } from '../gatewayRequest.js';
import { grants } from '../state/grants.js';
import type { Grant } from '../state/grants.js';
import type { AttemptPlan } from './replicaAttempt.js';
import type { StageContext } from './stageContext.js';

const includes = (records: readonly ReplicaRecord[], wanted: ReplicaRecord): boolean =>
  records.some((record) => record.name === wanted.name && record.incarnation === wanted.incarnation);

const isReplicaUsable = ({ stateView, ports }: StageContext, { placed }: AttemptPlan, grant: Grant): boolean =>
  includes(stateView.inPool(grant.lane.poolName), placed.record) &&
  stateView.tenantPartitions.mayRun(placed.record, isolationScopes.ofTenant(grant.tenant), ports.clock.now());

const isHolderUsable = ({ stateView }: StageContext, { placed }: AttemptPlan, grant: Grant): boolean => {
  const { holder } = placed;
  if (holder === null) return true;
  const current = stateView.record(holder.name);
  const { poolName } = grant.lane;
  const store = stateView.view()?.pools.get(poolName)?.store ?? null;
  return (
    current !== undefined &&
    includes(stateView.holdersIn(poolName, store), holder) &&
    stateView.tenantPartitions.mayBeSource(current, isolationScopes.ofTenant(grant.tenant))
  );
};

/** Whether the request may still be sent as planned. */
export const isSendable = (context: StageContext, request: GatewayRequest, plan: AttemptPlan): boolean => {
  const view = context.stateView.view();
  const current = grants.of(view, request);
  if (view === null || current.isErr() || request.isEnded) return false;
  const { lane, tenant } = current.value;
  const isAsPlanned =
    lane.poolName === plan.grant.lane.poolName &&
    tenant.tenant.isolated === plan.grant.tenant.tenant.isolated &&
    view.pools.get(lane.poolName)?.weights === plan.weights;
  return (
    isAsPlanned &&
    context.freshness.isFresh() &&
    context.ports.clock.now() < request.deadlineAt &&
    isReplicaUsable(context, plan, current.value) &&
    isHolderUsable(context, plan, current.value)
  );
};
