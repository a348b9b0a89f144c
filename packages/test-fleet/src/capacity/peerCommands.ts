/** The messages between a probe and the process that plays the peers of the measured node. */

/** The load that each ping of a gateway reports. */
export interface ReportedLoad {
  /** Requests that run through the gateway. */
  readonly running: number;
  /** Replicas that they run on. */
  readonly replicas: number;
}

/** What the peer process is told to do, one command at a time. */
export type PeerCommand =
  /** Opens `count` connections; with `isReal` the first takes index and replica messages as a gateway does. */
  | {
      readonly verb: 'dial';
      readonly address: string;
      readonly firstPeer: number;
      readonly count: number;
      readonly appliesUpdates?: boolean;
    }
  /** Sends one message on every connection. */
  | { readonly verb: 'send'; readonly topic: string; readonly body?: unknown }
  /** Sends pings round the connections, with the body given or else with the load as body. */
  | { readonly verb: 'ping'; readonly count: number; readonly body: unknown }
  | { readonly verb: 'pingWithLoad'; readonly count: number; readonly load: ReportedLoad }
  /** Sends one heavy-prefill notice and waits until all other connections were told of it. */
  | { readonly verb: 'heavyPrefill'; readonly load: ReportedLoad }
  /** Claims `count` idempotency keys, `width` at once. */
  | { readonly verb: 'claim'; readonly count: number; readonly concurrency: number; readonly firstKey: number }
  /** Asks on the first connection, one after the other. */
  | { readonly verb: 'call'; readonly count: number; readonly topic: string; readonly body: unknown }
  | { readonly verb: 'readCounters' }
  | { readonly verb: 'closeAll' };

/** The cost of one ping to the peer process: processor microseconds, and bytes both ways. */
export interface PingCost {
  readonly cpuUs: number;
  readonly receivedBytes: number;
  readonly sentBytes: number;
}

/** Counted since the connections were opened; bytes and processor microseconds since the process began. */
export interface PeerCounters {
  readonly loadMessages: number;
  /** Connections that the measured node closed. */
  readonly closedConnections: number;
  readonly receivedBytes: number;
  readonly sentBytes: number;
  readonly cpuUs: number;
}

/** The reply to each command. */
export interface PeerReplies {
  readonly dial: Record<never, never>;
  readonly send: Record<never, never>;
  readonly ping: PingCost;
  readonly pingWithLoad: PingCost;
  readonly heavyPrefill: { readonly receivedBytes: number };
  readonly claim: Record<never, never>;
  readonly call: Record<never, never>;
  readonly readCounters: PeerCounters;
  readonly closeAll: Record<never, never>;
}
