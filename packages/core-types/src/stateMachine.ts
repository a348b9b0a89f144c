import type { ActiveRouting } from './routing.js';

export interface Tier {
  readonly rank: number;
  readonly share: number;
  readonly horizonMs: number;
}

export interface Pool {
  readonly weights: string;
  readonly slots: number;
  readonly extraAllowance: number;
  readonly prefillTokensPerMs: number;
  readonly pullTokensPerMs: number;
  readonly store: string | null;
}

export interface Lane {
  readonly pool: string;
  readonly repeat: 'once' | 'freely';
}

export interface Tenant {
  readonly tier: string;
  readonly isolated: boolean;
  readonly lanes: readonly string[];
  readonly ratePerSecond: number | null;
}

export interface GatewayConfig {
  readonly tiers: Record<string, Tier>;
  readonly pools: Record<string, Pool>;
  readonly lanes: Record<string, Lane>;
  readonly tenants: Record<string, Tenant>;
}

export interface KeyGrant {
  readonly tenant: string;
}

export interface Member {
  readonly name: string;
  readonly address: string;
  readonly incarnation: string;
}

/** What is kept of a change that was agreed on: by it, the same change sent again is known. */
interface ChangeRecord {
  readonly logIndex: number;
  readonly digest: string;
  /** The configuration version it brought into force; absent for other kinds of change, and in states of older releases. */
  readonly configVersion?: number;
}

/** The newest changes whose records were dropped: of none up to these can it be told whether it was taken. */
export interface ForgottenChanges {
  /** Configuration version of the routing table; 0 where none was dropped. */
  readonly configVersion: number;
  /** Version of its weights, by model. */
  readonly targetWeights: Record<string, number>;
}

export interface CommittedState {
  readonly logIndex: number;
  readonly configLogIndex: number;
  readonly config: GatewayConfig;
  readonly weightsSince: Record<string, number>;
  readonly storeSince: Record<string, number>;
  readonly keys: Record<string, KeyGrant>;
  readonly members: readonly Member[];
  readonly changeIds: Record<string, ChangeRecord>;
  readonly forgotten: ForgottenChanges;
  readonly routing: ActiveRouting | null;
  readonly targetWeights: Record<string, number>;
}

export type ChangeBody =
  | { readonly kind: 'config'; readonly config: GatewayConfig; readonly base: number }
  | { readonly kind: 'grant'; readonly keyHash: string; readonly grant: KeyGrant; readonly tenant: Tenant | null }
  | { readonly kind: 'revoke'; readonly keyHash: string }
  | { readonly kind: 'swap'; readonly outgoing: string; readonly incoming: Member }
  | { readonly kind: 'routing'; readonly base: number; readonly routing: ActiveRouting }
  | { readonly kind: 'weights'; readonly model: string; readonly version: number };

export interface Change {
  readonly id: string;
  readonly digest: string;
  readonly body: ChangeBody;
}

type ReplicaState = 'ready' | 'leaving' | 'gone';

export interface ReplicaRecord {
  readonly name: string;
  readonly kind: 'replica' | 'store';
  readonly incarnation: number;
  readonly state: ReplicaState;
  readonly pool: string;
  readonly address: string;
  readonly zone: string;
  readonly slots: number | null;
  readonly born: number;
  readonly sides: readonly string[];
}

export interface KvCacheEvent {
  readonly replica: string;
  readonly incarnation: number;
  readonly seq: number;
  readonly kind: 'hello' | 'stored' | 'removed' | 'cleared';
  readonly tenant: string | null | undefined;
  readonly blocks: readonly string[];
}

const emptyGatewayConfig: GatewayConfig = { tiers: {}, pools: {}, lanes: {}, tenants: {} };
const stateRanks: Record<ReplicaState, number> = { ready: 0, leaving: 1, gone: 2 };
const keptChangeIds = 4096;

const recordOf = (agreed: CommittedState, { digest, body }: Change, logIndex: number): ChangeRecord => {
  const inForce = agreed.routing?.configVersion ?? 0;
  const isRoutingChange = body.kind === 'routing' && body.base === inForce && body.routing.configVersion > inForce;
  return isRoutingChange ? { logIndex, digest, configVersion: body.routing.configVersion } : { logIndex, digest };
};

const oldestBeside = (records: CommittedState['changeIds'], keptConfigVersion: number): string | null => {
  let oldest: string | null = null;
  let logIndex = Infinity;
  for (const id of Object.keys(records)) {
    const record = records[id] as ChangeRecord;
    if (record.logIndex >= logIndex || record.configVersion === keptConfigVersion) continue;
    oldest = id;
    logIndex = record.logIndex;
  }
  return oldest;
};

/** A copy; a loop, as deleting from a large object makes every later copy of it slow. */
const without = (records: CommittedState['changeIds'], dropped: string): CommittedState['changeIds'] => {
  const kept: Record<string, ChangeRecord> = {};
  for (const id of Object.keys(records)) if (id !== dropped) kept[id] = records[id] as ChangeRecord;
  return kept;
};

const weightsId = /^weights\/(.+)\/(\d+)$/;

const forget = (forgotten: ForgottenChanges, id: string, { configVersion }: ChangeRecord): ForgottenChanges => {
  if (configVersion !== undefined)
    return { ...forgotten, configVersion: Math.max(forgotten.configVersion, configVersion) };
  const [, model, version] = weightsId.exec(id) ?? [];
  if (model === undefined) return forgotten;
  const newest = Math.max(forgotten.targetWeights[model] ?? 0, Number(version));
  return { ...forgotten, targetWeights: { ...forgotten.targetWeights, [model]: newest } };
};

/** Keeps the records of the last `keptChangeIds` changes, and by rule that of the configuration in force, however many changes of other kinds followed it. */
const rememberChange = (
  agreed: CommittedState,
  change: Change,
  logIndex: number,
): Pick<CommittedState, 'changeIds' | 'forgotten'> => {
  const record = recordOf(agreed, change, logIndex);
  const keptConfigVersion = record.configVersion ?? agreed.routing?.configVersion ?? 0;
  let { changeIds, forgotten } = agreed;
  for (let excess = Object.keys(changeIds).length + 1 - keptChangeIds; excess > 0; excess -= 1) {
    const oldest = oldestBeside(changeIds, keptConfigVersion);
    if (oldest === null) break;
    forgotten = forget(forgotten, oldest, changeIds[oldest] as ChangeRecord);
    changeIds = without(changeIds, oldest);
  }
  return { changeIds: { ...changeIds, [change.id]: record }, forgotten };
};

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

const servesIsolated = (config: GatewayConfig, pool: string): boolean =>
  Object.values(config.tenants).some(
    (tenant) => tenant.isolated && tenant.lanes.some((lane) => config.lanes[lane]?.pool === pool),
  );

const storeUses = (config: GatewayConfig): Map<string, { weights: string; isMixed: boolean }> => {
  const uses = new Map<string, { weights: string; isMixed: boolean }>();
  for (const [name, pool] of Object.entries(config.pools)) {
    if (pool.store === null) continue;
    uses.set(pool.store, {
      weights: pool.weights,
      isMixed: uses.get(pool.store)?.isMixed === true || servesIsolated(config, name),
    });
  }
  return uses;
};

const storeSince = (state: CommittedState, config: GatewayConfig, logIndex: number): CommittedState['storeSince'] => {
  const before = storeUses(state.config);
  const after = storeUses(config);
  const since: Record<string, number> = { ...state.storeSince };
  for (const store of new Set([...before.keys(), ...after.keys()])) {
    const [was, is] = [before.get(store), after.get(store)];
    if (since[store] === undefined && was === undefined) since[store] = is?.isMixed === true ? logIndex : 0;
    else if (was?.weights !== is?.weights || was?.isMixed === true || is?.isMixed === true) since[store] = logIndex;
  }
  return since;
};

const holdsSeat = (state: CommittedState, incarnation: string): boolean =>
  state.members.some((member) => member.incarnation === incarnation);

/** Whether a swap keeps the seats distinct: its outgoing member holds one, its incoming member holds none. */
const maySwap = (state: CommittedState, outgoing: string, incoming: Member): boolean =>
  holdsSeat(state, outgoing) && !holdsSeat(state, incoming.incarnation);

/** The voters: one for each distinct incarnation, also where an older release gave one of them two seats. A majority is still counted of all seats. */
const distinctVoters = (state: CommittedState | null): Member[] => [
  ...new Map((state?.members ?? []).map((member) => [member.incarnation, member])).values(),
];

export const stateMachine = {
  servesIsolated,
  holdsSeat,
  maySwap,
  distinctVoters,
  filled: (state: CommittedState): CommittedState => ({
    ...state,
    storeSince: (state.storeSince as CommittedState['storeSince'] | undefined) ?? {},
    routing: (state.routing as ActiveRouting | null | undefined) ?? null,
    targetWeights: (state.targetWeights as CommittedState['targetWeights'] | undefined) ?? {},
    forgotten: (state.forgotten as ForgottenChanges | undefined) ?? { configVersion: 0, targetWeights: {} },
  }),
  founded: (members: readonly Member[]): CommittedState => ({
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
  }),
  apply: (state: CommittedState, change: Change): CommittedState => {
    const logIndex = state.logIndex + 1;
    const next = { ...state, logIndex, ...rememberChange(state, change, logIndex) };
    const { body } = change;
    switch (body.kind) {
      case 'config':
        return body.base === state.configLogIndex
          ? {
              ...next,
              config: body.config,
              configLogIndex: logIndex,
              weightsSince: weightsSince(state, body.config, logIndex),
              storeSince: storeSince(state, body.config, logIndex),
            }
          : next;
      case 'grant': {
        const isTenantNew = body.tenant !== null && state.config.tenants[body.grant.tenant] === undefined;
        const config = isTenantNew
          ? { ...state.config, tenants: { ...state.config.tenants, [body.grant.tenant]: body.tenant } }
          : state.config;
        return {
          ...next,
          config: config as GatewayConfig,
          storeSince: storeSince(state, config as GatewayConfig, logIndex),
          configLogIndex: isTenantNew ? logIndex : state.configLogIndex,
          keys: { ...state.keys, [body.keyHash]: body.grant },
        };
      }
      case 'revoke':
        return {
          ...next,
          keys: Object.fromEntries(Object.entries(state.keys).filter(([hash]) => hash !== body.keyHash)),
        };
      case 'swap':
        return maySwap(state, body.outgoing, body.incoming)
          ? {
              ...next,
              members: state.members.map((member) => (member.incarnation === body.outgoing ? body.incoming : member)),
            }
          : next;
      case 'routing':
        return body.base === (state.routing?.configVersion ?? 0) && body.routing.configVersion > body.base
          ? { ...next, routing: body.routing }
          : next;
      case 'weights':
        return body.version > (state.targetWeights[body.model] ?? 0)
          ? { ...next, targetWeights: { ...state.targetWeights, [body.model]: body.version } }
          : next;
    }
  },
  isVoid: (state: CommittedState, change: Change): boolean =>
    (change.body.kind === 'config' && change.body.base !== state.configLogIndex) ||
    (change.body.kind === 'swap' && !maySwap(state, change.body.outgoing, change.body.incoming)) ||
    (change.body.kind === 'routing' && change.body.base !== (state.routing?.configVersion ?? 0)) ||
    (change.body.kind === 'weights' && change.body.version <= (state.targetWeights[change.body.model] ?? 0)),
};

const isAhead = (a: ReplicaRecord, b: ReplicaRecord): boolean => {
  if (a.incarnation !== b.incarnation) return a.incarnation > b.incarnation;
  if (a.state !== b.state) return stateRanks[a.state] > stateRanks[b.state];
  return JSON.stringify({ ...a, born: 0, sides: [] }) < JSON.stringify({ ...b, born: 0, sides: [] });
};

const movedSide = '*moved*';
const unknownSide = '*unknown*';

export const replicas = {
  filled: (record: ReplicaRecord): ReplicaRecord => ({
    ...record,
    sides: (record.sides as readonly string[] | undefined) ?? [unknownSide],
  }),
  merge: (held: ReplicaRecord | undefined, told: ReplicaRecord): ReplicaRecord => {
    if (held === undefined) return told;
    const ahead = isAhead(told, held) ? told : held;
    if (held.incarnation !== told.incarnation) return ahead;
    const sides = new Set([...held.sides, ...told.sides, ...(held.pool === told.pool ? [] : [movedSide])]);
    return { ...ahead, born: Math.min(held.born, told.born), sides: [...sides].sort() };
  },
  isNews: (held: ReplicaRecord | undefined, told: ReplicaRecord): boolean => {
    const merged = replicas.merge(held, told);
    return held === undefined || JSON.stringify(merged) !== JSON.stringify(held);
  },
};

export interface IsolationClaim {
  readonly replica: string;
  readonly incarnation: number;
  readonly side: string;
}

export interface IsolationStatus extends IsolationClaim {
  readonly sides: readonly string[];
  readonly ageMs: number;
}

export type Loads = Record<string, readonly [running: number, pendingTokens: number]>;

export type PoolDemands = Record<string, readonly [waiting: number, running: number]>;

export interface LoadReport {
  readonly replicas: Loads;
  readonly pools: PoolDemands;
}

export type Contention = Record<string, readonly [contenders: number, calmRunning: number]>;

export interface Pong {
  readonly logIndex: number;
  readonly acceptedSlot: number | null;
  readonly incarnation: string;
  readonly loads: Loads;
  readonly contention: Contention;
  readonly gateways: number;
}
