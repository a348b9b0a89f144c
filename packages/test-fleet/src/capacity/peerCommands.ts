/** The commands and replies between a probe and the process that emulates the peers of the measured node. */

/** The load that each ping of a gateway reports. */
export interface ReportedLoad {
  /** Requests in flight through the gateway. */
  readonly running: number;
  /** The number of replicas that they are spread over. */
  readonly replicas: number;
}

/** A command to the peer process, which runs one at a time. */
export type PeerCommand =
  /** Opens `count` connections; with `appliesUpdates` they apply index and replica messages as a gateway does. */
  | {
      readonly verb: 'dial';
      readonly address: string;
      readonly firstPeer: number;
      readonly count: number;
      readonly appliesUpdates?: boolean;
    }
  /** Sends one message on every connection. */
  | { readonly verb: 'send'; readonly topic: string; readonly body?: unknown }
  /** Sends `count` pings, spread over the connections, with this body or with the load as body. */
  | { readonly verb: 'ping'; readonly count: number; readonly body: unknown }
  | { readonly verb: 'pingWithLoad'; readonly count: number; readonly load: ReportedLoad }
  /** Sends one heavy-prefill notice and waits until it has reached all other connections. */
  | { readonly verb: 'heavyPrefill'; readonly load: ReportedLoad }
  /** Claims `count` idempotency keys, `concurrency` at a time. */
  | { readonly verb: 'claim'; readonly count: number; readonly concurrency: number; readonly firstKey: number }
  /** Makes `count` calls on the first connection, one after the other. */
  | { readonly verb: 'call'; readonly count: number; readonly topic: string; readonly body: unknown }
  | { readonly verb: 'readCounters' }
  | { readonly verb: 'closeAll' };

/** The cost of one ping to the peer process. */
export interface PingCost {
  readonly cpuUs: number;
  readonly receivedBytes: number;
  readonly sentBytes: number;
}

/** Messages, and connections that the node closed, since `closeAll`; bytes and CPU time since the process started. */
export interface PeerCounters {
  readonly loadMessages: number;
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
