/** The configuration that operators of a gateway put into force: tiers, pools, lanes and tenants, each by its name. */

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

/** The configuration of a new cluster: nothing is served until an operator sets one. */
export const emptyGatewayConfig: GatewayConfig = { tiers: {}, pools: {}, lanes: {}, tenants: {} };
