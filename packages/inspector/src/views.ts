/** Tables of the status of the whole fleet. */
import { rowsOf } from './statusReader.js';
import type { FleetStatus, Row } from './statusReader.js';

const table = (value: unknown): [string, Row][] => Object.entries((value ?? {}) as Record<string, Row>);

/** The names of the nodes that cannot be reached. */
export const unreachable = (fleet: FleetStatus): string[] =>
  [...fleet.controlNodes, ...fleet.gateways].filter(([, status]) => status === null).map(([name]) => name);

/** The names and status of the nodes that responded. */
export const reachable = (nodes: ReadonlyMap<string, Row | null>): [string, Row][] =>
  [...nodes].flatMap(([name, status]) => (status === null ? [] : [[name, status] as [string, Row]]));

/** The status of the control node with the newest state. */
const newest = (fleet: FleetStatus): Row =>
  reachable(fleet.controlNodes)
    .map(([, status]) => status)
    .sort((a, b) => Number(b.generation ?? -1) - Number(a.generation ?? -1))[0] ?? {};

const nodes = (fleet: FleetStatus): Row[] => [
  ...[...fleet.controlNodes].map(([name, status]) => ({
    node: name,
    role: 'gateway-control',
    zone: status?.zone ?? '',
    state: status === null ? 'unreachable' : status.voter === true ? 'voter' : 'no vote',
    generation: status?.generation ?? null,
    detail: status === null ? '' : `reaches ${String(status.reachable)} members`,
  })),
  ...[...fleet.gateways].map(([name, status]) => ({
    node: name,
    role: 'gateway',
    zone: status?.zone ?? '',
    state: status === null ? 'unreachable' : status.fresh === true ? 'fresh' : 'not fresh',
    generation: status?.generation ?? null,
    detail: status === null ? '' : `${String(status.live)} live, ${String(status.voices)} voices`,
  })),
];

const acks = (fleet: FleetStatus): Row[] =>
  reachable(fleet.controlNodes).flatMap(([name, status]) =>
    rowsOf(status.counters).map((ack) => ({
      controlNode: name,
      holds: status.generation,
      counter: ack.gateway,
      acked: ack.logIndex,
      ackAgeMs: ack.ackAgeMs,
    })),
  );

const replicas = (fleet: FleetStatus): Row[] =>
  rowsOf(newest(fleet).replicas).map((record) => {
    const views = reachable(fleet.gateways).flatMap(([, status]) =>
      rowsOf(status.replicas).filter((one) => one.replica === record.name),
    );
    return {
      replica: record.name,
      pool: record.pool,
      state: record.state,
      incarnation: record.incarnation,
      born: record.born,
      sides: rowsOf(record.sides).map(String).join(' '),
      address: record.address,
      running: views.reduce((sum, one) => sum + Number(one.running), 0),
      suspectedBy: views.filter((one) => one.isSuspect === true).length,
    };
  });

const index = (fleet: FleetStatus): Row[] =>
  rowsOf(newest(fleet).index).map((stored) => {
    const seqs = reachable(fleet.gateways).flatMap(([, status]) =>
      rowsOf(status.index)
        .filter((one) => one.replica === stored.replica)
        .map((one) => Number(one.seq)),
    );
    return {
      replica: stored.replica,
      incarnation: stored.incarnation,
      seq: stored.seq,
      blocks: stored.blocks,
      whole: stored.isWhole,
      scopes: rowsOf(stored.scopes)
        .map((scope) => (String(scope) === '' ? 'shared' : String(scope)))
        .join(' '),
      countersBehind: seqs.filter((seq) => seq < Number(stored.seq)).length,
    };
  });

const queues = (fleet: FleetStatus): Row[] =>
  reachable(fleet.gateways).flatMap(([name, status]) =>
    table(status.queues).map(([pool, queue]) => ({
      counter: name,
      pool,
      waiting: queue.waiting,
      byTier: Object.entries((queue.byTier ?? {}) as Record<string, number>)
        .filter(([, count]) => count > 0)
        .map(([tier, count]) => `${tier}=${count}`)
        .join(' '),
    })),
  );

const budgets = (fleet: FleetStatus): Row[] =>
  reachable(fleet.gateways).flatMap(([name, status]) =>
    Object.entries((status.budgets ?? {}) as Record<string, number>).map(([pool, left]) => ({
      counter: name,
      pool,
      extraShotsLeft: Math.round(left * 100) / 100,
    })),
  );

const members = (fleet: FleetStatus): Row[] =>
  reachable(fleet.controlNodes).flatMap(([name, status]) =>
    rowsOf(status.members).map((member) => ({ seenBy: name, ...member })),
  );

const leases = (fleet: FleetStatus): Row[] =>
  reachable(fleet.controlNodes).flatMap(([name, status]) =>
    rowsOf(status.leases).map((lease) => ({
      duty: lease.duty,
      holder: name,
      fence: lease.fence,
      leftMs: lease.leftMs,
    })),
  );

const watchers = (fleet: FleetStatus): Row[] =>
  reachable(fleet.controlNodes).flatMap(([name, status]) =>
    rowsOf(status.watch).map((line) => ({
      toldBy: name,
      node: line.node,
      suspectedBy: rowsOf(line.suspectedBy).join(' '),
      down: line.isDown,
    })),
  );

/** Creates the rows of a table from the status of the fleet. */
export type View = (fleet: FleetStatus) => Row[];

/** The queries whose results are tables of the fleet's status. */
export const views: ReadonlyMap<string, View> = new Map(
  Object.entries({
    nodes,
    acks,
    replicas,
    index,
    queues,
    budgets,
    members,
    leases,
    watchers,
  }),
);
