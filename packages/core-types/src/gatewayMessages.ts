/**
 * What gateways and their control nodes tell each other: cache events, isolation claims, load reports and heartbeat
 * replies.
 */

/**
 * An event of a replica's prefix cache. `seq` counts up by one within an incarnation, so that a lost event is
 * noticed; `tenant` is null for parts that no tenant has to itself, and undefined where the event does not tell.
 */
export interface KvCacheEvent {
  readonly replica: string;
  readonly incarnation: number;
  readonly seq: number;
  readonly kind: 'hello' | 'stored' | 'removed' | 'cleared';
  readonly tenant: string | null | undefined;
  readonly blocks: readonly string[];
}

/** A replica's incarnation is about to serve a side: the name of an isolated tenant, or that of all others. */
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

/** Load by replica. */
export type Loads = Record<string, readonly [running: number, pendingTokens: number]>;

/** Demand by pool. */
export type PoolDemands = Record<string, readonly [waiting: number, running: number]>;

/** One gateway's own load, by replica and by pool. */
export interface LoadReport {
  readonly replicas: Loads;
  readonly pools: PoolDemands;
}

/** By pool: how many other gateways have requests waiting, and how many requests run for those that have none. */
export type Contention = Record<string, readonly [contenders: number, calmRunning: number]>;

/** A control node's reply to a gateway's heartbeat: where it stands, and the load that the other gateways reported. */
export interface Pong {
  readonly logIndex: number;
  readonly acceptedSlot: number | null;
  readonly incarnation: string;
  readonly loads: Loads;
  readonly contention: Contention;
  readonly gateways: number;
}
