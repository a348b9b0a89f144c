import { readFileSync } from 'node:fs';
import type { Ask, Row, Seen, Told } from './reader.js';
import { look } from './reader.js';

export interface Outcome {
  readonly rows: readonly Row[];
  readonly code: number;
  readonly note: string | null;
}

export const codes = { fine: 0, partly: 1, usage: 2, unreachable: 3, refused: 4 } as const;

const list = (value: unknown): Row[] => (Array.isArray(value) ? (value as Row[]) : []);
const table = (value: unknown): [string, Row][] => Object.entries((value ?? {}) as Record<string, Row>);
const down = (seen: Seen): string[] =>
  [...seen.controlNodes, ...seen.gateways].filter(([, status]) => status === null).map(([name]) => name);

const live = (nodes: ReadonlyMap<string, Row | null>): [string, Row][] =>
  [...nodes].flatMap(([name, status]) => (status === null ? [] : [[name, status] as [string, Row]]));

const newest = (seen: Seen): Row =>
  live(seen.controlNodes)
    .map(([, status]) => status)
    .sort((a, b) => Number(b.generation ?? -1) - Number(a.generation ?? -1))[0] ?? {};

const nodes = (seen: Seen): Row[] => [
  ...[...seen.controlNodes].map(([name, status]) => ({
    node: name,
    role: 'gateway-control',
    zone: status?.zone ?? '',
    state: status === null ? 'unreachable' : status.voter === true ? 'voter' : 'no vote',
    generation: status?.generation ?? null,
    detail: status === null ? '' : `reaches ${String(status.reachable)} members`,
  })),
  ...[...seen.gateways].map(([name, status]) => ({
    node: name,
    role: 'gateway',
    zone: status?.zone ?? '',
    state: status === null ? 'unreachable' : status.fresh === true ? 'fresh' : 'not fresh',
    generation: status?.generation ?? null,
    detail: status === null ? '' : `${String(status.live)} live, ${String(status.voices)} voices`,
  })),
];

const acks = (seen: Seen): Row[] =>
  live(seen.controlNodes).flatMap(([name, status]) =>
    list(status.counters).map((ack) => ({
      controlNode: name,
      holds: status.generation,
      counter: ack.gateway,
      acked: ack.logIndex,
      ackAgeMs: ack.ackAgeMs,
    })),
  );

const replicas = (seen: Seen): Row[] =>
  list(newest(seen).replicas).map((record) => {
    const views = live(seen.gateways).flatMap(([, status]) =>
      list(status.replicas).filter((one) => one.replica === record.name),
    );
    return {
      replica: record.name,
      pool: record.pool,
      state: record.state,
      incarnation: record.incarnation,
      born: record.born,
      sides: list(record.sides).map(String).join(' '),
      address: record.address,
      running: views.reduce((sum, one) => sum + Number(one.running), 0),
      suspectedBy: views.filter((one) => one.isSuspect === true).length,
    };
  });

const index = (seen: Seen): Row[] =>
  list(newest(seen).index).map((stored) => {
    const seqs = live(seen.gateways).flatMap(([, status]) =>
      list(status.index)
        .filter((one) => one.replica === stored.replica)
        .map((one) => Number(one.seq)),
    );
    return {
      replica: stored.replica,
      incarnation: stored.incarnation,
      seq: stored.seq,
      blocks: stored.blocks,
      whole: stored.isWhole,
      scopes: list(stored.scopes)
        .map((scope) => (String(scope) === '' ? 'shared' : String(scope)))
        .join(' '),
      countersBehind: seqs.filter((seq) => seq < Number(stored.seq)).length,
    };
  });

const queues = (seen: Seen): Row[] =>
  live(seen.gateways).flatMap(([name, status]) =>
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

const budgets = (seen: Seen): Row[] =>
  live(seen.gateways).flatMap(([name, status]) =>
    Object.entries((status.budgets ?? {}) as Record<string, number>).map(([pool, left]) => ({
      counter: name,
      pool,
      extraShotsLeft: Math.round(left * 100) / 100,
    })),
  );

const members = (seen: Seen): Row[] =>
  live(seen.controlNodes).flatMap(([name, status]) =>
    list(status.members).map((member) => ({ seenBy: name, ...member })),
  );

const leases = (seen: Seen): Row[] =>
  live(seen.controlNodes).flatMap(([name, status]) =>
    list(status.leases).map((lease) => ({
      duty: lease.duty,
      holder: name,
      fence: lease.fence,
      leftMs: lease.leftMs,
    })),
  );

const watchers = (seen: Seen): Row[] =>
  live(seen.controlNodes).flatMap(([name, status]) =>
    list(status.watch).map((line) => ({
      toldBy: name,
      node: line.node,
      suspectedBy: list(line.suspectedBy).join(' '),
      down: line.isDown,
    })),
  );

const views: Record<string, (seen: Seen) => Row[]> = {
  nodes,
  acks,
  replicas,
  index,
  queues,
  budgets,
  members,
  leases,
  watchers,
};

export const help = `queries:
  nodes                        every node: role, zone, state, generation
  acks                         what each counter acknowledged to each control node
  members                      who votes, as each control node holds it
  replicas                     every replica: state, incarnation, running, suspicion
  index                        what is known to be kept, by replica
  leases                       who does which duty, under which number
  watchers                     whom watchers miss
  queues | budgets             waiting requests by pool and tier | extra shots left
  layout                       the layout in force
  change ID                    what became of a change
  why LANE TENANT FILE|TEXT    how a request would be placed, and why
  plan FILE                    what a JSON Patch would change and touch
  apply FILE PLAN-ID           applies that plan, on the base it was made for
`;

const replyOf = (told: Told | null): Outcome => {
  if (told === null) return { rows: [], code: codes.unreachable, note: 'no control node answers' };
  return { rows: [told.body], code: told.status < 300 ? codes.fine : codes.refused, note: null };
};

const textOf = (given: string): string => {
  try {
    return readFileSync(given, 'utf8');
  } catch {
    return given;
  }
};

const opsOf = (path: string): unknown => {
  try {
    return JSON.parse(readFileSync(path, 'utf8')) as unknown;
  } catch {
    return null;
  }
};

const patchHeaders = { 'content-type': 'application/json-patch+json' };

export const query = async (ask: Ask, addresses: readonly string[], words: readonly string[]): Promise<Outcome> => {
  const [name = 'nodes', ...rest] = words;
  const first = async (path: string, more?: Parameters<Ask>[2]): Promise<Told | null> => {
    for (const address of addresses) {
      const told = await ask(address, path, more);
      if (told !== null) return told;
    }
    return null;
  };
  const view = views[name];
  if (view !== undefined) {
    const seen = await look(ask, addresses);
    if (seen === null) return { rows: [], code: codes.unreachable, note: 'no control node answers' };
    const absent = down(seen);
    return {
      rows: view(seen),
      code: absent.length === 0 ? codes.fine : codes.partly,
      note: absent.length === 0 ? null : `not reached: ${absent.join(', ')}`,
    };
  }
  switch (name) {
    case 'layout':
      return replyOf(await first('/operator/layout'));
    case 'change':
      if (rest[0] === undefined) break;
      return replyOf(await first(`/operator/changes/${encodeURIComponent(rest[0])}`));
    case 'why': {
      const [lane, tenant, ...prompt] = rest;
      if (lane === undefined || tenant === undefined || prompt.length === 0) break;
      const seen = await look(ask, addresses);
      const gateway = seen === null ? undefined : live(seen.gateways)[0];
      if (gateway === undefined) return { rows: [], code: codes.unreachable, note: 'no counter answers' };
      const told = await ask(String(gateway[1].http), '/why', {
        method: 'POST',
        body: { lane, tenant, prompt: textOf(prompt.join(' ')) },
      });
      if (told?.status !== 200) return { rows: told === null ? [] : [told.body], code: codes.refused, note: null };
      return { rows: list(told.body.candidates), code: codes.fine, note: `as ${gateway[0]} sees it` };
    }
    case 'plan': {
      const ops = rest[0] === undefined ? null : opsOf(rest[0]);
      if (ops === null) return { rows: [], code: codes.usage, note: 'plan FILE: a JSON Patch' };
      const told = await first('/operator/plans', { method: 'POST', body: ops, headers: patchHeaders });
      if (told?.status !== 200) return replyOf(told);
      const note = `plan ${String(told.body.planId)} on generation ${String(told.body.base)}; touches ${JSON.stringify(told.body.touches)}`;
      return { rows: list(told.body.changes), code: codes.fine, note };
    }
    case 'apply': {
      const ops = rest[0] === undefined ? null : opsOf(rest[0]);
      if (ops === null || rest[1] === undefined) return { rows: [], code: codes.usage, note: 'apply FILE PLAN-ID' };
      const plan = await first('/operator/plans', { method: 'POST', body: ops, headers: patchHeaders });
      if (plan?.status !== 200) return replyOf(plan);
      if (plan.body.planId !== rest[1])
        return {
          rows: [plan.body],
          code: codes.refused,
          note: 'that plan was made for another base or another change; this is the plan now',
        };
      return replyOf(
        await first('/operator/layout', {
          method: 'PATCH',
          body: ops,
          headers: {
            ...patchHeaders,
            'if-match': `"${String(plan.body.base)}"`,
            'plan-id': rest[1],
            'change-id': `plan-${rest[1]}`,
          },
        }),
      );
    }
  }
  return { rows: [], code: codes.usage, note: help };
};
