/** The committed configuration, indexed for lookups by the pipeline. */
import { DenseIndex } from '@martenworks/core-types';
import type { CommittedState, GatewayConfig, Lane, Pool, Tenant, Tier } from '@martenworks/core-types';

/** A lane and its pool. */
export interface LaneView {
  readonly index: number;
  readonly name: string;
  readonly poolName: string;
  readonly pool: Pool;
  readonly repeat: Lane['repeat'];
}

/** A tenant, its tier and the indices of its lanes. */
export interface TenantView {
  readonly index: number;
  readonly name: string;
  readonly tenant: Tenant;
  readonly tierName: string;
  readonly tier: Tier;
  readonly lanes: ReadonlySet<number>;
}

/** One configuration; `urgencyOf` maps a tier's rank to an urgency from 0 (least urgent) to 1 (most urgent). */
export interface GatewayConfigView {
  readonly logIndex: number;
  readonly configLogIndex: number;
  readonly lanes: ReadonlyMap<string, LaneView>;
  readonly tenants: ReadonlyMap<string, TenantView>;
  readonly pools: ReadonlyMap<string, Pool>;
  readonly keys: CommittedState['keys'];
  readonly urgencyOf: (rank: number) => number;
}

const urgencyBy = (tiers: readonly Tier[]): GatewayConfigView['urgencyOf'] => {
  const ranks = [...new Set(tiers.map((tier) => tier.rank))].sort((a, b) => b - a);
  return (rank) => (ranks.length < 2 ? 0 : Math.max(0, ranks.indexOf(rank)) / (ranks.length - 1));
};

/** Creates the views; a name has the same index in all of them. */
export class GatewayConfigIndexer {
  /** Indices of lane names. */
  readonly laneNames = new DenseIndex();
  /** Indices of tenant names. */
  readonly tenantNames = new DenseIndex();

  /** Creates the view of a committed state's configuration. */
  readonly view = (state: CommittedState): GatewayConfigView => ({
    logIndex: state.logIndex,
    configLogIndex: state.configLogIndex,
    lanes: this.lanesOf(state.config),
    tenants: this.tenantsOf(state.config),
    pools: new Map(Object.entries(state.config.pools)),
    keys: state.keys,
    urgencyOf: urgencyBy(Object.values(state.config.tiers)),
  });

  private readonly lanesOf = ({ lanes, pools }: GatewayConfig): Map<string, LaneView> => {
    const views = new Map<string, LaneView>();
    for (const [name, lane] of Object.entries(lanes)) {
      const pool = pools[lane.pool];
      if (pool === undefined) continue;
      const index = this.laneNames.indexOf(name);
      views.set(name, { index, name, poolName: lane.pool, pool, repeat: lane.repeat });
    }
    return views;
  };

  private readonly tenantsOf = ({ tenants, tiers }: GatewayConfig): Map<string, TenantView> => {
    const views = new Map<string, TenantView>();
    for (const [name, tenant] of Object.entries(tenants)) {
      const tier = tiers[tenant.tier];
      if (tier === undefined) continue;
      const lanes = new Set(tenant.lanes.map((lane) => this.laneNames.indexOf(lane)));
      views.set(name, { index: this.tenantNames.indexOf(name), name, tenant, tierName: tenant.tier, tier, lanes });
    }
    return views;
  };
}
