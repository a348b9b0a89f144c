/** The configuration that operators of a gateway put into force: tiers, pools, lanes and tenants, each by its name. */

/**
 * A class of priority. `rank` 0 is the most urgent; `share` (0 to 1) is the part of a queue that it may fill;
 * `horizonMs` is the deadline of the first piece, in milliseconds.
 */
export interface Tier {
  readonly rank: number;
  readonly share: number;
  readonly horizonMs: number;
}

/**
 * Replicas that run the same weights. `slots` is how many requests a replica runs where the platform tells none,
 * `extraAllowance` the retries beyond a fifth of the first attempts, and `store` the name of its cache store.
 */
export interface Pool {
  readonly weights: string;
  readonly slots: number;
  readonly extraAllowance: number;
  readonly prefillTokensPerMs: number;
  readonly pullTokensPerMs: number;
  readonly store: string | null;
}

/** A route of the gateway: its pool, and whether a request may be repeated after an attempt of unknown outcome. */
export interface Lane {
  readonly pool: string;
  readonly repeat: 'once' | 'freely';
}

/**
 * A customer: its tier, its lanes, requests a second (null: no limit); an isolated one shares no cached prompts
 * with others.
 */
export interface Tenant {
  readonly tier: string;
  readonly isolated: boolean;
  readonly lanes: readonly string[];
  readonly ratePerSecond: number | null;
}

/** A whole configuration, each table by name. */
export interface GatewayConfig {
  readonly tiers: Record<string, Tier>;
  readonly pools: Record<string, Pool>;
  readonly lanes: Record<string, Lane>;
  readonly tenants: Record<string, Tenant>;
}

/** The configuration of a new cluster: nothing is served until an operator sets one. */
export const emptyGatewayConfig: GatewayConfig = { tiers: {}, pools: {}, lanes: {}, tenants: {} };
