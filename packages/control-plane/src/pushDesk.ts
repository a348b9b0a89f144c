import type { Clock, KvNews, Contention, LoadReport, Loads, Pong, ReplicaRecord } from '@martenworks/core-types';
import type { PeerConnection } from '@martenworks/peer-transport';
import type { ShelfCheckpoint } from '@martenworks/prefix-index';
import type { Acceptor, Settled } from './acceptor.js';

const reportAgeMs = 2_000;
const silentMs = 6_000;

interface Subscriber {
  sent: number;
  acked: number;
  ackedAt: number;
  heardAt: number;
  report: LoadReport;
}

export interface AckLine {
  readonly counter: string;
  readonly http: string;
  readonly zone: string;
  readonly generation: number;
  readonly ackAgeMs: number;
}

export class PushDesk {
  private readonly subscribers = new Map<PeerConnection, Subscriber>();

  constructor(
    private readonly acceptor: Acceptor,
    private readonly clock: Clock,
    private readonly records: () => readonly ReplicaRecord[],
    private readonly shelves: () => readonly ShelfCheckpoint[],
  ) {
    acceptor.watch(this.bring);
  }

  readonly subscribe = (connection: PeerConnection, generation: number): void => {
    this.subscribers.set(connection, {
      sent: generation,
      acked: generation,
      ackedAt: this.clock.now(),
      heardAt: this.clock.now(),
      report: { replicas: {}, pools: {} },
    });
    connection.tell('replicas', this.records());
    for (const shelf of this.shelves()) connection.tell('shelf', shelf);
    this.bringTo(connection);
  };

  readonly drop = (connection: PeerConnection): void => void this.subscribers.delete(connection);

  private readonly bring = (settled: Settled | null): void => {
    if (settled === null)
      for (const subscriber of this.subscribers.values()) subscriber.sent = Math.min(subscriber.sent, -1);
    for (const connection of this.subscribers.keys()) this.bringTo(connection);
  };

  private readonly bringTo = (connection: PeerConnection): void => {
    const subscriber = this.subscribers.get(connection);
    if (subscriber === undefined) return;
    const since = this.acceptor.since(subscriber.sent);
    if (since.k === 'nothing') return;
    if (since.k === 'checkpoint') {
      connection.tell('checkpoint', since.agreed);
      subscriber.sent = since.agreed.generation;
      return;
    }
    for (const settled of since.settled) {
      connection.tell('change', settled);
      subscriber.sent = settled.generation;
    }
  };

  readonly acked = (connection: PeerConnection, generation: number): void => {
    const subscriber = this.subscribers.get(connection);
    if (subscriber === undefined) return;
    subscriber.acked = generation;
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

  readonly heavyNews = (connection: PeerConnection, report: LoadReport): void => {
    this.report(connection, report);
    for (const other of this.subscribers.keys()) if (other !== connection) other.tell('loads', this.loadsFor(other));
  };

  readonly pong = (connection: PeerConnection, report: LoadReport): Pong => {
    this.report(connection, report);
    return {
      generation: this.acceptor.agreed()?.generation ?? -1,
      acceptedSlot: this.acceptor.acceptedSlot(),
      incarnation: this.acceptor.incarnation,
      loads: this.loadsFor(connection),
      contention: this.contentionFor(connection),
      counters: this.subscribers.size,
    };
  };

  readonly tellReplicas = (records: readonly ReplicaRecord[]): void => {
    for (const connection of this.subscribers.keys()) connection.tell('replicas', records);
  };

  readonly tellShelves = (shelves: readonly ShelfCheckpoint[]): void => {
    for (const connection of this.subscribers.keys()) for (const shelf of shelves) connection.tell('shelf', shelf);
  };

  readonly tellKv = (news: readonly KvNews[]): void => {
    for (const connection of this.subscribers.keys()) connection.tell('kv', news);
  };

  readonly dropSilent = (): void => {
    const now = this.clock.now();
    for (const [connection, { heardAt }] of [...this.subscribers]) if (now - heardAt > silentMs) connection.close();
  };

  readonly acks = (): AckLine[] => {
    const now = this.clock.now();
    return [...this.subscribers].map(([connection, one]) => ({
      counter: connection.neighbour?.name ?? '',
      http: connection.neighbour?.http ?? '',
      zone: connection.neighbour?.zone ?? '',
      generation: one.acked,
      ackAgeMs: Math.round(now - one.ackedAt),
    }));
  };
}
