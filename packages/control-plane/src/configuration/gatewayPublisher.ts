/** Sends gateways the committed state, replica records, prefix index updates and each other's load. */
import type { Clock, KvCacheEvent, Contention, LoadReport, Loads, Pong, ReplicaRecord } from '@martenworks/core-types';
import type { PeerConnection } from '@martenworks/peer-transport';
import type { PrefixIndexSnapshot } from '@martenworks/prefix-index';
import type { Acceptor } from '../consensus/acceptor.js';
import type { CommittedChange } from '../consensus/ballots.js';

const reportAgeMs = 2_000;
const silentMs = 6_000;

interface Subscriber {
  sent: number;
  acked: number;
  ackedAt: number;
  heardAt: number;
  report: LoadReport;
}

/** One subscribed gateway: the last log index it acknowledged, and how many milliseconds ago it did. */
export interface GatewayStatus {
  readonly gateway: string;
  readonly http: string;
  readonly zone: string;
  readonly logIndex: number;
  readonly ackAgeMs: number;
}

/**
 * The gateways subscribed to this node. Each gets every committed change once, in order, or a whole state after a gap.
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
   * Begins to send to a gateway that has the state of `logIndex`, -1 for none; starts with all replica records and
   * snapshots.
   */
  readonly subscribe = (connection: PeerConnection, logIndex: number): void => {
    this.subscribers.set(connection, {
      sent: logIndex,
      acked: logIndex,
      ackedAt: this.clock.now(),
      heardAt: this.clock.now(),
      report: { replicas: {}, pools: {} },
    });
    connection.send('replicas', this.records());
    for (const snapshot of this.snapshots()) connection.send('indexSnapshot', snapshot);
    this.update(connection);
  };

  /** Forgets a gateway whose connection has closed. */
  readonly drop = (connection: PeerConnection): void => void this.subscribers.delete(connection);

  private readonly updateAll = (committed: CommittedChange | null): void => {
    if (committed === null)
      for (const subscriber of this.subscribers.values()) subscriber.sent = Math.min(subscriber.sent, -1);
    for (const connection of this.subscribers.keys()) this.update(connection);
  };

  private readonly update = (connection: PeerConnection): void => {
    const subscriber = this.subscribers.get(connection);
    if (subscriber === undefined) return;
    const since = this.acceptor.since(subscriber.sent);
    if (since.kind === 'nothing') return;
    if (since.kind === 'checkpoint') {
      connection.send('checkpoint', since.agreed);
      subscriber.sent = since.agreed.logIndex;
      return;
    }
    for (const committed of since.committed) {
      connection.send('change', committed);
      subscriber.sent = committed.logIndex;
    }
  };

  /** A gateway has applied the state of `logIndex`. */
  readonly acked = (connection: PeerConnection, logIndex: number): void => {
    const subscriber = this.subscribers.get(connection);
    if (subscriber === undefined) return;
    subscriber.acked = logIndex;
    subscriber.ackedAt = this.clock.now();
  };

  private readonly report = (connection: PeerConnection, report: LoadReport): void => {
    const subscriber = this.subscribers.get(connection);
    if (subscriber !== undefined) Object.assign(subscriber, { report, heardAt: this.clock.now() });
  };

  private readonly others = (connection: PeerConnection): LoadReport[] => {
    const now = this.clock.now();
    return [...this.subscribers].flatMap(([other, { report, heardAt }]) =>
      other === connection || now - heardAt > reportAgeMs ? [] : [report],
    );
  };

  private readonly loadsFor = (connection: PeerConnection): Loads => {
    const loads: Record<string, [number, number]> = {};
    for (const { replicas } of this.others(connection)) {
      for (const [replica, [running, tokens]] of Object.entries(replicas)) {
        const held = loads[replica] ?? [0, 0];
        loads[replica] = held;
        held[0] += running;
        held[1] += tokens;
      }
    }
    return loads;
  };

  private readonly contentionFor = (connection: PeerConnection): Contention => {
    const contention: Record<string, [number, number]> = {};
    for (const { pools } of this.others(connection)) {
      for (const [pool, [waiting, running]] of Object.entries(pools)) {
        const held = contention[pool] ?? [0, 0];
        contention[pool] = held;
        if (waiting > 0) held[0] += 1;
        else held[1] += running;
      }
    }
    return contention;
  };

  /**
   * A gateway's load has changed by a long prompt: the others are told at once, without waiting for their next ping.
   */
  readonly longPrompts = (connection: PeerConnection, report: LoadReport): void => {
    this.report(connection, report);
    for (const other of this.subscribers.keys()) if (other !== connection) other.send('loads', this.loadsFor(other));
  };

  /**
   * The reply to a gateway's ping: this node's position, and the load of the other gateways reported in the last 2 s.
   */
  readonly pong = (connection: PeerConnection, report: LoadReport): Pong => {
    this.report(connection, report);
    return {
      logIndex: this.acceptor.agreed()?.logIndex ?? -1,
      acceptedSlot: this.acceptor.acceptedSlot(),
      incarnation: this.acceptor.incarnation,
      loads: this.loadsFor(connection),
      contention: this.contentionFor(connection),
      gateways: this.subscribers.size,
    };
  };

  /** Sends changed replica records to all gateways. */
  readonly tellReplicas = (records: readonly ReplicaRecord[]): void => {
    for (const connection of this.subscribers.keys()) connection.send('replicas', records);
  };

  /** Sends whole prefix indexes of replicas to all gateways. */
  readonly tellSnapshots = (snapshots: readonly PrefixIndexSnapshot[]): void => {
    for (const connection of this.subscribers.keys())
      for (const snapshot of snapshots) connection.send('indexSnapshot', snapshot);
  };

  /** Sends cache events to all gateways. */
  readonly tellKv = (update: readonly KvCacheEvent[]): void => {
    for (const connection of this.subscribers.keys()) connection.send('kv', update);
  };

  /** Closes the connections of gateways that have sent no ping for 6 s; they dial again. */
  readonly dropSilent = (): void => {
    const now = this.clock.now();
    for (const [connection, { heardAt }] of [...this.subscribers]) if (now - heardAt > silentMs) connection.close();
  };

  /** The subscribed gateways, for the status page. */
  readonly acks = (): GatewayStatus[] => {
    const now = this.clock.now();
    return [...this.subscribers].map(([connection, one]) => ({
      gateway: connection.peer?.name ?? '',
      http: connection.peer?.http ?? '',
      zone: connection.peer?.zone ?? '',
      logIndex: one.acked,
      ackAgeMs: Math.round(now - one.ackedAt),
    }));
  };
}
