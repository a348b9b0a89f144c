/**
 * The messages between gateways and their control nodes: cache events, isolation claims, load reports and heartbeat
 * replies.
 */

/**
 * An event of a replica's prefix cache. `seq` increases by one within an incarnation, so that a lost event is
 * detected; `tenant` is null for parts that tenants share, and undefined where the event does not say.
 */
export interface KvCacheEvent {
  readonly replica: string;
  readonly incarnation: number;
  readonly seq: number;
  readonly kind: 'hello' | 'stored' | 'removed' | 'cleared';
  readonly tenant: string | null | undefined;
  readonly blocks: readonly string[];
}

/**
 * A claim that an incarnation of a replica is about to serve a side: the name of an isolated tenant, or the name that
 * stands for all other tenants.
 */
export interface IsolationClaim {
  readonly replica: string;
  readonly incarnation: number;
  readonly side: string;
}

/** All sides that the incarnation may have served, and the milliseconds since the claim was first recorded. */
export interface IsolationStatus extends IsolationClaim {
  readonly sides: readonly string[];
  readonly ageMs: number;
}

/** The load of each replica. */
export type Loads = Record<string, readonly [running: number, pendingTokens: number]>;

/** The demand on each pool. */
export type PoolDemands = Record<string, readonly [waiting: number, running: number]>;

/** One gateway's own load, by replica and by pool. */
export interface LoadReport {
  readonly replicas: Loads;
  readonly pools: PoolDemands;
}

/** By pool: the number of other gateways with queued requests, and the running requests of those without any. */
export type Contention = Record<string, readonly [contenders: number, calmRunning: number]>;

/**
 * A control node's reply to a gateway's heartbeat: how current it is, and the load that the other gateways reported.
 */
export interface Pong {
  readonly logIndex: number;
  readonly acceptedSlot: number | null;
  readonly incarnation: string;
  readonly loads: Loads;
  readonly contention: Contention;
  readonly gateways: number;
}
