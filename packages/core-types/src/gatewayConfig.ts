/** The gateway configuration that operators activate: tiers, pools, lanes and tenants, each by name. */

/**
 * A priority class. `rank` 0 is the most urgent; `share` (0 to 1) is the fraction of a queue that it may fill;
 * `horizonMs` is the deadline of the first chunk of a response, in milliseconds.
 */
export interface Tier {
  readonly rank: number;
  readonly share: number;
  readonly horizonMs: number;
}

/**
 * Replicas that run the same weights. `slots` is the number of concurrent requests of a replica for which the platform
 * reports none, `extraAllowance` the number of retries allowed beyond a fifth of the first attempts, and `store` the
 * name of the pool's cache store.
 */
export interface Pool {
  readonly weights: string;
  readonly slots: number;
  readonly extraAllowance: number;
  readonly prefillTokensPerMs: number;
  readonly pullTokensPerMs: number;
  readonly store: string | null;
}

/** A route of the gateway: its pool, and whether a request may be retried after an attempt with an unknown outcome. */
export interface Lane {
  readonly pool: string;
  readonly repeat: 'once' | 'freely';
}

/**
 * A customer: its tier, its lanes, and its rate limit in requests per second (null for none). An isolated tenant shares
 * no cached prompts with others.
 */
export interface Tenant {
  readonly tier: string;
  readonly isolated: boolean;
  readonly lanes: readonly string[];
  readonly ratePerSecond: number | null;
}

/** A complete configuration, each table by name. */
export interface GatewayConfig {
  readonly tiers: Record<string, Tier>;
  readonly pools: Record<string, Pool>;
  readonly lanes: Record<string, Lane>;
  readonly tenants: Record<string, Tenant>;
}

/** The configuration of a new cluster, which serves no requests until an operator sets one. */
export const emptyGatewayConfig: GatewayConfig = { tiers: {}, pools: {}, lanes: {}, tenants: {} };
