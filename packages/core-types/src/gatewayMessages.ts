/** What gateways and their control nodes tell each other: cache events, isolation claims, load reports and heartbeat replies. */

export interface KvCacheEvent {
  readonly replica: string;
  readonly incarnation: number;
  readonly seq: number;
  readonly kind: 'hello' | 'stored' | 'removed' | 'cleared';
  readonly tenant: string | null | undefined;
  readonly blocks: readonly string[];
}

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
