/** Sends gateways the committed state, replica records, prefix index updates and the load of the other gateways. */
import type { Clock, KvCacheEvent, Contention, LoadReport, Loads, Pong, ReplicaRecord } from '@martenworks/core-types';
import type { PeerConnection } from '@martenworks/peer-transport';
import type { PrefixIndexSnapshot } from '@martenworks/prefix-index';
import type { Acceptor } from '../consensus/acceptor.js';
import type { CommittedChange } from '../consensus/ballots.js';

const maxReportAgeMs = 2_000;
const idleTimeoutMs = 6_000;

interface Subscriber {
  sentLogIndex: number;
  ackedLogIndex: number;
  ackedAt: number;
  lastPingAt: number;
  report: LoadReport;
}

/** A subscribed gateway: the last log index that it acknowledged, and the time since then in milliseconds. */
export interface GatewayStatus {
  readonly gateway: string;
  readonly http: string;
  readonly zone: string;
  readonly logIndex: number;
  readonly ackAgeMs: number;
}

/**
 * Publishes to the gateways subscribed to this node. Each gets every committed change once and in order, or the full
 * state after a gap.
 */
export class GatewayPublisher {
  private readonly subscribers = new Map<PeerConnection, Subscriber>();

  constructor(
    private readonly acceptor: Acceptor,
    private readonly clock: Clock,
    private readonly records: () => readonly ReplicaRecord[],
    private readonly snapshots: () => readonly PrefixIndexSnapshot[],
  ) {
    acceptor.watch(this.updateAll);
  }

  /**
   * Adds a gateway that has the state of `logIndex` (-1 for none), and sends it all replica records, the prefix index
   * snapshots and the missing changes.
   */
  readonly subscribe = (connection: PeerConnection, logIndex: number): void => {
    this.subscribers.set(connection, {
      sentLogIndex: logIndex,
      ackedLogIndex: logIndex,
      ackedAt: this.clock.now(),
      lastPingAt: this.clock.now(),
      report: { replicas: {}, pools: {} },
    });
    connection.send('replicas', this.records());
    for (const snapshot of this.snapshots()) connection.send('indexSnapshot', snapshot);
    this.update(connection);
  };

  /** Removes a gateway whose connection has closed. */
  readonly unsubscribe = (connection: PeerConnection): void => void this.subscribers.delete(connection);

  private readonly updateAll = (committed: CommittedChange | null): void => {
    if (committed === null)
      for (const subscriber of this.subscribers.values())
        subscriber.sentLogIndex = Math.min(subscriber.sentLogIndex, -1);
    for (const connection of this.subscribers.keys()) this.update(connection);
  };

  private readonly update = (connection: PeerConnection): void => {
    const subscriber = this.subscribers.get(connection);
    if (subscriber === undefined) return;
    const suffix = this.acceptor.logSuffixAfter(subscriber.sentLogIndex);
    if (suffix.kind === 'nothing') return;
    if (suffix.kind === 'checkpoint') {
      connection.send('checkpoint', suffix.agreed);
      subscriber.sentLogIndex = suffix.agreed.logIndex;
      return;
    }
    for (const committed of suffix.committed) {
      connection.send('change', committed);
      subscriber.sentLogIndex = committed.logIndex;
    }
  };

  /** Records that a gateway has applied the state of `logIndex`. */
  readonly handleAck = (connection: PeerConnection, logIndex: number): void => {
    const subscriber = this.subscribers.get(connection);
    if (subscriber === undefined) return;
    subscriber.ackedLogIndex = logIndex;
    subscriber.ackedAt = this.clock.now();
  };

  private readonly recordReport = (connection: PeerConnection, report: LoadReport): void => {
    const subscriber = this.subscribers.get(connection);
    if (subscriber !== undefined) Object.assign(subscriber, { report, lastPingAt: this.clock.now() });
  };

  private readonly otherReports = (connection: PeerConnection): LoadReport[] => {
    const now = this.clock.now();
    return [...this.subscribers].flatMap(([other, { report, lastPingAt }]) =>
      other === connection || now - lastPingAt > maxReportAgeMs ? [] : [report],
    );
  };

  private readonly loadsFor = (connection: PeerConnection): Loads => {
    const loads: Record<string, [number, number]> = {};
    for (const { replicas } of this.otherReports(connection)) {
      for (const [replica, [running, tokens]] of Object.entries(replicas)) {
        const sums = loads[replica] ?? [0, 0];
        loads[replica] = sums;
        sums[0] += running;
        sums[1] += tokens;
      }
    }
    return loads;
  };

  private readonly contentionFor = (connection: PeerConnection): Contention => {
    const contention: Record<string, [number, number]> = {};
    for (const { pools } of this.otherReports(connection)) {
      for (const [pool, [waiting, running]] of Object.entries(pools)) {
        const sums = contention[pool] ?? [0, 0];
        contention[pool] = sums;
        if (waiting > 0) sums[0] += 1;
        else sums[1] += running;
      }
    }
    return contention;
  };

  /**
   * Handles a load report that a gateway sends when a long prompt changes its load. The new load is sent to the other
   * gateways at once instead of with their next ping.
   */
  readonly handleLongPrompts = (connection: PeerConnection, report: LoadReport): void => {
    this.recordReport(connection, report);
    for (const other of this.subscribers.keys()) if (other !== connection) other.send('loads', this.loadsFor(other));
  };

  /**
   * Records the load report of a gateway's ping, and returns the reply: this node's log position, and the load that the
   * other gateways reported in the last 2 s.
   */
  readonly handlePing = (connection: PeerConnection, report: LoadReport): Pong => {
    this.recordReport(connection, report);
    return {
      logIndex: this.acceptor.committedState()?.logIndex ?? -1,
      acceptedSlot: this.acceptor.acceptedSlot(),
      incarnation: this.acceptor.incarnation,
      loads: this.loadsFor(connection),
      contention: this.contentionFor(connection),
      gateways: this.subscribers.size,
    };
  };

  /** Sends changed replica records to all gateways. */
  readonly sendReplicas = (records: readonly ReplicaRecord[]): void => {
    for (const connection of this.subscribers.keys()) connection.send('replicas', records);
  };

  /** Sends prefix index snapshots of replicas to all gateways. */
  readonly sendSnapshots = (snapshots: readonly PrefixIndexSnapshot[]): void => {
    for (const connection of this.subscribers.keys())
      for (const snapshot of snapshots) connection.send('indexSnapshot', snapshot);
  };

  /** Sends cache events to all gateways. */
  readonly sendCacheEvents = (events: readonly KvCacheEvent[]): void => {
    for (const connection of this.subscribers.keys()) connection.send('kv', events);
  };

  /** Closes the connections of gateways that have sent no ping for 6 s; the gateways reconnect. */
  readonly closeIdleConnections = (): void => {
    const now = this.clock.now();
    for (const [connection, { lastPingAt }] of [...this.subscribers])
      if (now - lastPingAt > idleTimeoutMs) connection.close();
  };

  /** Returns the subscribed gateways, for the status page. */
  readonly status = (): GatewayStatus[] => {
    const now = this.clock.now();
    return [...this.subscribers].map(([connection, one]) => ({
      gateway: connection.peer?.name ?? '',
      http: connection.peer?.http ?? '',
      zone: connection.peer?.zone ?? '',
      logIndex: one.ackedLogIndex,
      ackAgeMs: Math.round(now - one.ackedAt),
    }));
  };
}
