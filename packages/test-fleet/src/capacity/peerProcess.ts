import { logs, machine } from '@martenworks/core-types';
import type { KvNews, Loads, Pong, ReplicaRecord, StateMessage } from '@martenworks/core-types';
import { Book, Tracks } from '@martenworks/counter';
import { peerConnections } from '@martenworks/peer-transport';
import type { PeerConnection } from '@martenworks/peer-transport';
import type { ShelfCheckpoint } from '@martenworks/prefix-index';
import { Meter, rig } from './rig.js';
import type { PeerCommand } from './rig.js';

const meter = new Meter();
const net = rig.metered(machine.net(null), meter);
const book = new Book(machine.clock, () => {});
const tracks = new Tracks(machine.clock);
const held: PeerConnection[] = [];
const told: Record<string, number> = { changes: 0, loads: 0, kv: 0, kvBatches: 0, shelves: 0, left: 0, replicas: 0 };
let isReal = false;

const note = (what: string, by = 1): void => {
  told[what] = (told[what] ?? 0) + by;
};

const dial = async (address: string, at: number, role: 'counter' | 'postmaster'): Promise<void> => {
  const dialed = await peerConnections.dial(
    net,
    machine.clock,
    logs.silent(),
    rig.helloOf(role, at, '127.0.0.1:1'),
    address,
    {
      joined: () => {},
      left: () => note('left'),
      asked: async () => null,
      told: (connection, topic, body) => {
        if (topic === 'change' || topic === 'checkpoint') {
          note('changes');
          connection.tell('ack', (body as { generation: number }).generation);
        } else if (topic === 'state') {
          const { generation, edition } = body as StateMessage;
          note('changes');
          connection.tell('ack', { generation, edition });
        } else if (topic === 'loads') note('loads');
        else if (topic === 'replicas') {
          note('replicas');
          if (isReal) book.takeReplicas(body as ReplicaRecord[]);
        } else if (topic === 'shelf') {
          note('shelves');
          if (isReal) book.takeShelf(body as ShelfCheckpoint);
        } else if (topic === 'kv') {
          note('kvBatches');
          note('kv', (body as KvNews[]).length);
          if (isReal) book.takeKv(body as KvNews[]);
        }
      },
    },
  );
  if (dialed.isOk()) held.push(dialed.value);
};

const report = (
  at: number,
  running: number,
  replicaCount: number,
): { replicas: Loads; pools: Record<string, [number, number]> } => ({
  replicas: Object.fromEntries(
    Array.from({ length: running }, (_, one) => [
      `replica-${String((at * 131 + one * 37) % replicaCount).padStart(4, '0')}`,
      [1, 512],
    ]),
  ),
  pools: Object.fromEntries(Array.from({ length: 10 }, (_, pool) => [`model-${pool}`, [0, Math.round(running / 10)]])),
});

const many = async (count: number, width: number, work: (at: number) => Promise<unknown>): Promise<void> => {
  let next = 0;
  await Promise.all(
    Array.from({ length: Math.min(width, count) }, async () => {
      while (next < count) await work(next++);
    }),
  );
};

const obey = async (order: PeerCommand): Promise<Record<string, number>> => {
  const number = (name: string): number => Number(order[name] ?? 0);
  if (order.verb === 'dial') {
    isReal = order.real === true;
    await many(number('count'), 40, (at) =>
      dial(String(order.address), number('from') + at, order.role === 'postmaster' ? 'postmaster' : 'counter'),
    );
    return { held: held.length };
  }
  if (order.verb === 'tell') {
    for (const connection of held) connection.tell(String(order.topic), order.body ?? null);
    return {};
  }
  if (order.verb === 'pings') {
    const asks = held.map(
      (connection, at) => [connection, order.body ?? report(at, number('running'), number('replicas'))] as const,
    );
    const [began, got, sent] = [rig.cpuUs(), meter.got, meter.sent];
    const pings = number('count');
    await many(pings, 20, async (at) => {
      const [connection, body] = asks[at % asks.length] as (typeof asks)[number];
      const pong = await connection.ask('ping', body, 30_000);
      if (pong.isOk() && order.body === undefined) tracks.toldOthers((pong.value as Pong).loads);
    });
    return { us: (rig.cpuUs() - began) / pings, got: (meter.got - got) / pings, sent: (meter.sent - sent) / pings };
  }
  if (order.verb === 'heavy') {
    const before = [told.loads ?? 0, meter.got] as const;
    held[0]?.tell('heavyNews', report(0, number('running'), number('replicas')));
    await rig.until(() => (told.loads ?? 0) - before[0] >= held.length - 1, 20_000);
    return { got: meter.got - before[1] };
  }
  if (order.verb === 'claims') {
    const claimant = (key: string) => ({
      id: `id-${key}`,
      counter: 'incarnation-00001',
      address: '10.0.0.1:7100',
      digest: key.padStart(32, '0'),
    });
    await many(number('count'), number('width'), async (at) => {
      const connection = held[at % held.length] as PeerConnection;
      const key = `tenant-0001/${number('from') + at}`;
      await connection.ask('claimPrepare', { key, turn: 0, ballot: [1, `id-${key}`] }, 30_000);
      await connection.ask('claimAccept', { key, turn: 0, ballot: [1, `id-${key}`], claimant: claimant(key) }, 30_000);
    });
    return {};
  }
  if (order.verb === 'asks') {
    await many(number('count'), 1, () =>
      (held[0] as PeerConnection).ask(String(order.topic), order.body ?? null, 30_000),
    );
    return {};
  }
  if (order.verb === 'gauge') return { ...told, got: meter.got, sent: meter.sent, us: rig.cpuUs() };
  if (order.verb === 'hangUp') {
    for (const connection of held.splice(0)) connection.close();
    for (const name of Object.keys(told)) told[name] = 0;
    return {};
  }
  return {};
};

process.on('message', (order: PeerCommand) => void obey(order).then((answer) => process.send?.(answer)));
process.on('disconnect', () => process.exit(0));
