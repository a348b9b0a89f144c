import { DenseIndex } from '@martenworks/core-types';
import type { CommittedState, Lane, Pool, Tenant, Tier } from '@martenworks/core-types';

export interface LaneView {
  readonly index: number;
  readonly name: string;
  readonly poolName: string;
  readonly pool: Pool;
  readonly repeat: Lane['repeat'];
}

export interface TenantView {
  readonly index: number;
  readonly name: string;
  readonly tenant: Tenant;
  readonly tierName: string;
  readonly tier: Tier;
  readonly lanes: ReadonlySet<number>;
}

export interface GatewayConfigView {
  readonly logIndex: number;
  readonly configLogIndex: number;
  readonly lanes: ReadonlyMap<string, LaneView>;
  readonly tenants: ReadonlyMap<string, TenantView>;
  readonly pools: ReadonlyMap<string, Pool>;
  readonly keys: CommittedState['keys'];
  readonly urgencyOf: (rank: number) => number;
}

export class GatewayConfigIndexer {
  readonly laneNames = new DenseIndex();
  readonly tenantNames = new DenseIndex();

  readonly view = (agreed: CommittedState): GatewayConfigView => {
    const { config } = agreed;
    const lanes = new Map<string, LaneView>();
    for (const [name, lane] of Object.entries(config.lanes)) {
      const pool = config.pools[lane.pool];
      if (pool !== undefined)
        lanes.set(name, { index: this.laneNames.indexOf(name), name, poolName: lane.pool, pool, repeat: lane.repeat });
    }
    const tenants = new Map<string, TenantView>();
    for (const [name, tenant] of Object.entries(config.tenants)) {
      const tier = config.tiers[tenant.tier];
      if (tier === undefined) continue;
      const granted = new Set(tenant.lanes.map((lane) => this.laneNames.indexOf(lane)));
      tenants.set(name, {
        index: this.tenantNames.indexOf(name),
        name,
        tenant,
        tierName: tenant.tier,
        tier,
        lanes: granted,
      });
    }
    const ranks = [...new Set(Object.values(config.tiers).map((tier) => tier.rank))].sort((a, b) => b - a);
    const urgencyOf = (rank: number): number =>
      ranks.length < 2 ? 0 : Math.max(0, ranks.indexOf(rank)) / (ranks.length - 1);
    return {
      urgencyOf,
      logIndex: agreed.logIndex,
      configLogIndex: agreed.configLogIndex,
      lanes,
      tenants,
      pools: new Map(Object.entries(config.pools)),
      keys: agreed.keys,
    };
  };
}
