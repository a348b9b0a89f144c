/** The deterministic state machine of the control nodes: applies one committed change to the committed state. */
import { changeRecords } from './changeRecords.js';
import type { Change, ChangeBody, CommittedState, PrunedChanges, Member } from './committedState.js';
import { emptyGatewayConfig } from './gatewayConfig.js';
import type { GatewayConfig } from './gatewayConfig.js';
import type { ActiveRouting } from './routing.js';

const weightsSince = (
  state: CommittedState,
  config: GatewayConfig,
  logIndex: number,
): CommittedState['weightsSince'] => ({
  ...state.weightsSince,
  ...Object.fromEntries(
    Object.entries(config.pools).map(([name, pool]) => {
      const since = state.weightsSince[name];
      if (since === undefined) return [name, 0];
      return [name, state.config.pools[name]?.weights === pool.weights ? since : logIndex];
    }),
  ),
});

const servesIsolatedTenants = (config: GatewayConfig, pool: string): boolean =>
  Object.values(config.tenants).some(
    (tenant) => tenant.isolated && tenant.lanes.some((lane) => config.lanes[lane]?.pool === pool),
  );

/** By store: the weights of the pools that use it, and whether one of them serves isolated tenants (`isMixed`). */
const storeUses = (config: GatewayConfig): Map<string, { weights: string; isMixed: boolean }> => {
  const uses = new Map<string, { weights: string; isMixed: boolean }>();
  for (const [name, pool] of Object.entries(config.pools)) {
    if (pool.store === null) continue;
    uses.set(pool.store, {
      weights: pool.weights,
      isMixed: uses.get(pool.store)?.isMixed === true || servesIsolatedTenants(config, name),
    });
  }
  return uses;
};

const storeSince = (state: CommittedState, config: GatewayConfig, logIndex: number): CommittedState['storeSince'] => {
  const before = storeUses(state.config);
  const after = storeUses(config);
  const since: Record<string, number> = { ...state.storeSince };
  for (const store of new Set([...before.keys(), ...after.keys()])) {
    const [previous, current] = [before.get(store), after.get(store)];
    if (since[store] === undefined && previous === undefined) since[store] = current?.isMixed === true ? logIndex : 0;
    else if (previous?.weights !== current?.weights || previous?.isMixed === true || current?.isMixed === true)
      since[store] = logIndex;
  }
  return since;
};

const isVoter = (state: CommittedState, incarnation: string): boolean =>
  state.members.some((member) => member.incarnation === incarnation);

/** Whether a swap keeps the voters distinct: its outgoing member is a voter, and its incoming member is not. */
const canSwap = (state: CommittedState, outgoing: string, incoming: Member): boolean =>
  isVoter(state, outgoing) && !isVoter(state, incoming.incarnation);

/**
 * The voters, each incarnation once: older releases could list one of them twice. A majority is still counted over all
 * entries of `members`.
 */
const distinctVoters = (state: CommittedState | null): Member[] => [
  ...new Map((state?.members ?? []).map((member) => [member.incarnation, member])).values(),
];

/** Adds the fields that states of older releases lack. */
const withDefaults = (state: CommittedState): CommittedState => ({
  ...state,
  storeSince: (state.storeSince as CommittedState['storeSince'] | undefined) ?? {},
  routing: (state.routing as ActiveRouting | null | undefined) ?? null,
  targetWeights: (state.targetWeights as CommittedState['targetWeights'] | undefined) ?? {},
  forgotten: (state.forgotten as PrunedChanges | undefined) ?? { configVersion: 0, targetWeights: {} },
});

const initialState = (members: readonly Member[]): CommittedState => ({
  logIndex: 0,
  configLogIndex: 0,
  config: emptyGatewayConfig,
  weightsSince: {},
  storeSince: {},
  keys: {},
  members,
  changeIds: {},
  forgotten: { configVersion: 0, targetWeights: {} },
  routing: null,
  targetWeights: {},
});

type ChangeOf<Kind extends ChangeBody['kind']> = Extract<ChangeBody, { kind: Kind }>;
type ChangedFields = Partial<CommittedState>;

const applyConfig = (state: CommittedState, { base, config }: ChangeOf<'config'>, logIndex: number): ChangedFields => {
  if (base !== state.configLogIndex) return {};
  return {
    config,
    configLogIndex: logIndex,
    weightsSince: weightsSince(state, config, logIndex),
    storeSince: storeSince(state, config, logIndex),
  };
};

const applyGrant = (state: CommittedState, change: ChangeOf<'grant'>, logIndex: number): ChangedFields => {
  const { grant, keyHash, tenant } = change;
  const keys = { ...state.keys, [keyHash]: grant };
  if (tenant === null || state.config.tenants[grant.tenant] !== undefined)
    return { storeSince: storeSince(state, state.config, logIndex), keys };
  const config = { ...state.config, tenants: { ...state.config.tenants, [grant.tenant]: tenant } };
  return { config, storeSince: storeSince(state, config, logIndex), configLogIndex: logIndex, keys };
};

const applyRevoke = (state: CommittedState, { keyHash }: ChangeOf<'revoke'>): ChangedFields => ({
  keys: Object.fromEntries(Object.entries(state.keys).filter(([hash]) => hash !== keyHash)),
});

const applySwap = (state: CommittedState, { outgoing, incoming }: ChangeOf<'swap'>): ChangedFields => {
  if (!canSwap(state, outgoing, incoming)) return {};
  return { members: state.members.map((member) => (member.incarnation === outgoing ? incoming : member)) };
};

const applyRouting = (state: CommittedState, { base, routing }: ChangeOf<'routing'>): ChangedFields =>
  base === (state.routing?.configVersion ?? 0) && routing.configVersion > base ? { routing } : {};

const applyWeights = (state: CommittedState, { model, version }: ChangeOf<'weights'>): ChangedFields =>
  version > (state.targetWeights[model] ?? 0) ? { targetWeights: { ...state.targetWeights, [model]: version } } : {};

const changedFields = (state: CommittedState, body: ChangeBody, logIndex: number): ChangedFields => {
  switch (body.kind) {
    case 'config':
      return applyConfig(state, body, logIndex);
    case 'grant':
      return applyGrant(state, body, logIndex);
    case 'revoke':
      return applyRevoke(state, body);
    case 'swap':
      return applySwap(state, body);
    case 'routing':
      return applyRouting(state, body);
    case 'weights':
      return applyWeights(state, body);
  }
};

const apply = (state: CommittedState, change: Change): CommittedState => {
  const logIndex = state.logIndex + 1;
  return {
    ...state,
    logIndex,
    ...changeRecords.add(state, change, logIndex),
    ...changedFields(state, change.body, logIndex),
  };
};

const isNoOp = (state: CommittedState, { body }: Change): boolean => {
  switch (body.kind) {
    case 'config':
      return body.base !== state.configLogIndex;
    case 'swap':
      return !canSwap(state, body.outgoing, body.incoming);
    case 'routing':
      return body.base !== (state.routing?.configVersion ?? 0);
    case 'weights':
      return body.version <= (state.targetWeights[body.model] ?? 0);
    default:
      return false;
  }
};

/**
 * The state machine. `initialState` is the state of a new cluster, `withDefaults` completes a state of an older
 * release, `apply` returns the state after a change, and `isNoOp` returns whether a change would have no effect.
 */
export const stateMachine = {
  servesIsolatedTenants,
  isVoter,
  canSwap,
  distinctVoters,
  withDefaults,
  initialState,
  apply,
  isNoOp,
};
