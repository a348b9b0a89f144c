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

export interface Agreed {
  readonly generation: number;
  readonly layoutGeneration: number;
  readonly layout: Layout;
  readonly weightsSince: Record<string, number>;
  readonly keys: Record<string, KeyGrant>;
  readonly members: readonly Member[];
  readonly changeIds: Record<string, { generation: number; digest: string }>;
}

export type ChangeBody =
  | { readonly kind: 'layout'; readonly layout: Layout; readonly base: number }
  | { readonly kind: 'grant'; readonly keyHash: string; readonly grant: KeyGrant; readonly tenant: Tenant | null }
  | { readonly kind: 'revoke'; readonly keyHash: string }
  | { readonly kind: 'swap'; readonly outgoing: string; readonly incoming: Member };

export interface Change {
  readonly id: string;
  readonly digest: string;
  readonly body: ChangeBody;
}

export type ReplicaState = 'ready' | 'leaving' | 'gone';

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

const rememberChange = (agreed: Agreed, change: Change, generation: number): Agreed['changeIds'] => {
  const entries = Object.entries(agreed.changeIds);
  const kept = entries.length < keptChangeIds ? entries : entries.sort((a, b) => a[1].generation - b[1].generation).slice(entries.length - keptChangeIds + 1);
  return { ...Object.fromEntries(kept), [change.id]: { generation, digest: change.digest } };
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

export const agreed = {
  founded: (members: readonly Member[]): Agreed => ({
    generation: 0,
    layoutGeneration: 0,
    layout: emptyLayout,
    weightsSince: {},
    keys: {},
    members,
    changeIds: {},
  }),
  apply: (state: Agreed, change: Change): Agreed => {
    const generation = state.generation + 1;
    const next = { ...state, generation, changeIds: rememberChange(state, change, generation) };
    const { body } = change;
    switch (body.kind) {
      case 'layout':
        return body.base === state.layoutGeneration
          ? { ...next, layout: body.layout, layoutGeneration: generation, weightsSince: weightsSince(state, body.layout, generation) }
          : next;
      case 'grant': {
        const isTenantNew = body.tenant !== null && state.layout.tenants[body.grant.tenant] === undefined;
        const layout = isTenantNew ? { ...state.layout, tenants: { ...state.layout.tenants, [body.grant.tenant]: body.tenant } } : state.layout;
        return {
          ...next,
          layout: layout as Layout,
          layoutGeneration: isTenantNew ? generation : state.layoutGeneration,
          keys: { ...state.keys, [body.keyHash]: body.grant },
        };
      }
      case 'revoke':
        return { ...next, keys: Object.fromEntries(Object.entries(state.keys).filter(([hash]) => hash !== body.keyHash)) };
      case 'swap':
        return { ...next, members: state.members.map((member) => (member.incarnation === body.outgoing ? body.incoming : member)) };
    }
  },
  isVoid: (state: Agreed, change: Change): boolean => change.body.kind === 'layout' && change.body.base !== state.layoutGeneration,
};

const isAhead = (a: ReplicaRecord, b: ReplicaRecord): boolean => {
  if (a.incarnation !== b.incarnation) return a.incarnation > b.incarnation;
  if (a.state !== b.state) return stateRanks[a.state] > stateRanks[b.state];
  return JSON.stringify({ ...a, born: 0 }) < JSON.stringify({ ...b, born: 0 });
};

export const replicas = {
  merge: (held: ReplicaRecord | undefined, told: ReplicaRecord): ReplicaRecord => {
    if (held === undefined) return told;
    const ahead = isAhead(told, held) ? told : held;
    if (held.incarnation !== told.incarnation) return ahead;
    const born = Math.min(held.born, told.born);
    return born === ahead.born ? ahead : { ...ahead, born };
  },
  isNews: (held: ReplicaRecord | undefined, told: ReplicaRecord): boolean => {
    const merged = replicas.merge(held, told);
    return held === undefined || JSON.stringify(merged) !== JSON.stringify(held);
  },
};

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
