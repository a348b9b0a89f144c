import type { WaysInForce } from './ways.js';

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

export interface Layout {
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
  readonly generation: number;
  readonly digest: string;
  /** The edition it brought into force; absent for other kinds of change, and in states of older releases. */
  readonly edition?: number;
}

/** The newest changes whose records were dropped: of none up to these can it be told whether it was taken. */
export interface ForgottenChanges {
  /** Edition of the book of ways; 0 where none was dropped. */
  readonly edition: number;
  /** Version of its weights, by model. */
  readonly named: Record<string, number>;
}

export interface Agreed {
  readonly generation: number;
  readonly layoutGeneration: number;
  readonly layout: Layout;
  readonly weightsSince: Record<string, number>;
  readonly storeSince: Record<string, number>;
  readonly keys: Record<string, KeyGrant>;
  readonly members: readonly Member[];
  readonly changeIds: Record<string, ChangeRecord>;
  readonly forgotten: ForgottenChanges;
  readonly ways: WaysInForce | null;
  readonly named: Record<string, number>;
}

export type ChangeBody =
  | { readonly kind: 'layout'; readonly layout: Layout; readonly base: number }
  | { readonly kind: 'grant'; readonly keyHash: string; readonly grant: KeyGrant; readonly tenant: Tenant | null }
  | { readonly kind: 'revoke'; readonly keyHash: string }
  | { readonly kind: 'swap'; readonly outgoing: string; readonly incoming: Member }
  | { readonly kind: 'ways'; readonly base: number; readonly ways: WaysInForce }
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

export interface KvNews {
  readonly replica: string;
  readonly incarnation: number;
  readonly seq: number;
  readonly kind: 'hello' | 'stored' | 'removed' | 'cleared';
  readonly tenant: string | null | undefined;
  readonly blocks: readonly string[];
}

const emptyLayout: Layout = { tiers: {}, pools: {}, lanes: {}, tenants: {} };
const stateRanks: Record<ReplicaState, number> = { ready: 0, leaving: 1, gone: 2 };
const keptChangeIds = 4096;

const recordOf = (agreed: Agreed, { digest, body }: Change, generation: number): ChangeRecord => {
  const inForce = agreed.ways?.edition ?? 0;
  const isWays = body.kind === 'ways' && body.base === inForce && body.ways.edition > inForce;
  return isWays ? { generation, digest, edition: body.ways.edition } : { generation, digest };
};

const oldestBeside = (records: Agreed['changeIds'], keptEdition: number): string | null => {
  let oldest: string | null = null;
  let generation = Infinity;
  for (const id of Object.keys(records)) {
    const record = records[id] as ChangeRecord;
    if (record.generation >= generation || record.edition === keptEdition) continue;
    oldest = id;
    generation = record.generation;
  }
  return oldest;
};

/** A copy; a loop, as deleting from a large object makes every later copy of it slow. */
const without = (records: Agreed['changeIds'], dropped: string): Agreed['changeIds'] => {
  const kept: Record<string, ChangeRecord> = {};
  for (const id of Object.keys(records)) if (id !== dropped) kept[id] = records[id] as ChangeRecord;
  return kept;
};

const weightsId = /^weights\/(.+)\/(\d+)$/;

const forget = (forgotten: ForgottenChanges, id: string, { edition }: ChangeRecord): ForgottenChanges => {
  if (edition !== undefined) return { ...forgotten, edition: Math.max(forgotten.edition, edition) };
  const [, model, version] = weightsId.exec(id) ?? [];
  if (model === undefined) return forgotten;
  const newest = Math.max(forgotten.named[model] ?? 0, Number(version));
  return { ...forgotten, named: { ...forgotten.named, [model]: newest } };
};

/** Keeps the records of the last `keptChangeIds` changes, and by rule that of the configuration in force, however many changes of other kinds followed it. */
const rememberChange = (
  agreed: Agreed,
  change: Change,
  generation: number,
): Pick<Agreed, 'changeIds' | 'forgotten'> => {
  const record = recordOf(agreed, change, generation);
  const keptEdition = record.edition ?? agreed.ways?.edition ?? 0;
  let { changeIds, forgotten } = agreed;
  for (let excess = Object.keys(changeIds).length + 1 - keptChangeIds; excess > 0; excess -= 1) {
    const oldest = oldestBeside(changeIds, keptEdition);
    if (oldest === null) break;
    forgotten = forget(forgotten, oldest, changeIds[oldest] as ChangeRecord);
    changeIds = without(changeIds, oldest);
  }
  return { changeIds: { ...changeIds, [change.id]: record }, forgotten };
};

const weightsSince = (state: Agreed, layout: Layout, generation: number): Agreed['weightsSince'] => ({
  ...state.weightsSince,
  ...Object.fromEntries(
    Object.entries(layout.pools).map(([name, pool]) => {
      const since = state.weightsSince[name];
      if (since === undefined) return [name, 0];
      return [name, state.layout.pools[name]?.weights === pool.weights ? since : generation];
    }),
  ),
});

const servesIsolated = (layout: Layout, pool: string): boolean =>
  Object.values(layout.tenants).some(
    (tenant) => tenant.isolated && tenant.lanes.some((lane) => layout.lanes[lane]?.pool === pool),
  );

const storeUses = (layout: Layout): Map<string, { weights: string; isMixed: boolean }> => {
  const uses = new Map<string, { weights: string; isMixed: boolean }>();
  for (const [name, pool] of Object.entries(layout.pools)) {
    if (pool.store === null) continue;
    uses.set(pool.store, {
      weights: pool.weights,
      isMixed: uses.get(pool.store)?.isMixed === true || servesIsolated(layout, name),
    });
  }
  return uses;
};

const storeSince = (state: Agreed, layout: Layout, generation: number): Agreed['storeSince'] => {
  const before = storeUses(state.layout);
  const after = storeUses(layout);
  const since: Record<string, number> = { ...state.storeSince };
  for (const store of new Set([...before.keys(), ...after.keys()])) {
    const [was, is] = [before.get(store), after.get(store)];
    if (since[store] === undefined && was === undefined) since[store] = is?.isMixed === true ? generation : 0;
    else if (was?.weights !== is?.weights || was?.isMixed === true || is?.isMixed === true) since[store] = generation;
  }
  return since;
};

const holdsSeat = (state: Agreed, incarnation: string): boolean =>
  state.members.some((member) => member.incarnation === incarnation);

/** Whether a swap keeps the seats distinct: its outgoing member holds one, its incoming member holds none. */
const maySwap = (state: Agreed, outgoing: string, incoming: Member): boolean =>
  holdsSeat(state, outgoing) && !holdsSeat(state, incoming.incarnation);

/** The voters: one for each distinct incarnation, also where an older release gave one of them two seats. A majority is still counted of all seats. */
const distinctVoters = (state: Agreed | null): Member[] => [
  ...new Map((state?.members ?? []).map((member) => [member.incarnation, member])).values(),
];

export const agreed = {
  servesIsolated,
  holdsSeat,
  maySwap,
  distinctVoters,
  filled: (state: Agreed): Agreed => ({
    ...state,
    storeSince: (state.storeSince as Agreed['storeSince'] | undefined) ?? {},
    ways: (state.ways as WaysInForce | null | undefined) ?? null,
    named: (state.named as Agreed['named'] | undefined) ?? {},
    forgotten: (state.forgotten as ForgottenChanges | undefined) ?? { edition: 0, named: {} },
  }),
  founded: (members: readonly Member[]): Agreed => ({
    generation: 0,
    layoutGeneration: 0,
    layout: emptyLayout,
    weightsSince: {},
    storeSince: {},
    keys: {},
    members,
    changeIds: {},
    forgotten: { edition: 0, named: {} },
    ways: null,
    named: {},
  }),
  apply: (state: Agreed, change: Change): Agreed => {
    const generation = state.generation + 1;
    const next = { ...state, generation, ...rememberChange(state, change, generation) };
    const { body } = change;
    switch (body.kind) {
      case 'layout':
        return body.base === state.layoutGeneration
          ? {
              ...next,
              layout: body.layout,
              layoutGeneration: generation,
              weightsSince: weightsSince(state, body.layout, generation),
              storeSince: storeSince(state, body.layout, generation),
            }
          : next;
      case 'grant': {
        const isTenantNew = body.tenant !== null && state.layout.tenants[body.grant.tenant] === undefined;
        const layout = isTenantNew
          ? { ...state.layout, tenants: { ...state.layout.tenants, [body.grant.tenant]: body.tenant } }
          : state.layout;
        return {
          ...next,
          layout: layout as Layout,
          storeSince: storeSince(state, layout as Layout, generation),
          layoutGeneration: isTenantNew ? generation : state.layoutGeneration,
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
      case 'ways':
        return body.base === (state.ways?.edition ?? 0) && body.ways.edition > body.base
          ? { ...next, ways: body.ways }
          : next;
      case 'weights':
        return body.version > (state.named[body.model] ?? 0)
          ? { ...next, named: { ...state.named, [body.model]: body.version } }
          : next;
    }
  },
  isVoid: (state: Agreed, change: Change): boolean =>
    (change.body.kind === 'layout' && change.body.base !== state.layoutGeneration) ||
    (change.body.kind === 'swap' && !maySwap(state, change.body.outgoing, change.body.incoming)) ||
    (change.body.kind === 'ways' && change.body.base !== (state.ways?.edition ?? 0)) ||
    (change.body.kind === 'weights' && change.body.version <= (state.named[change.body.model] ?? 0)),
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

export interface SideClaim {
  readonly replica: string;
  readonly incarnation: number;
  readonly side: string;
}

export interface SideStanding extends SideClaim {
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
  readonly generation: number;
  readonly acceptedSlot: number | null;
  readonly incarnation: string;
  readonly loads: Loads;
  readonly contention: Contention;
  readonly counters: number;
}
