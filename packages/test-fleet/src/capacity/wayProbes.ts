import { ok } from 'neverthrow';
import { logs, machine } from '@martenworks/core-types';
import type {
  BackEnds,
  Change,
  Clock,
  KeptNews,
  Part,
  ReadingNews,
  ReplicaCard,
  ShelfNews,
  WayBook,
} from '@martenworks/core-types';
import { Unpacker, frames } from '@martenworks/peer-transport';
import { CardReader, ShelfDesk, StatePublisher, WeightsDesk } from '@martenworks/control-plane';
import { ReplicaTracks, ShelfBook, WayPlacing } from '@martenworks/edge-proxy';
import type { WayQuestion } from '@martenworks/edge-proxy';
import { BookDoor, salts } from '@martenworks/route-table';
import { openCore, withPeers } from './measuredControlNode.js';
import { poolCount, rig } from './rig.js';
import { nodeCounts, replicaCounts, series, fleetSize, tenantCounts } from './fleetSize.js';
import type { Measurement } from './table.js';

const modelOf = (at: number): string => `model-${at % poolCount}`;

const bookOf = (customerCount: number): WayBook => ({
  ways: Array.from({ length: 40 }, (_, at) => ({
    name: `way-${at}`,
    host: `host-${at % 8}.example`,
    pathStart: `/v1/${at}/`,
    kind: 'stream' as const,
    horizonMs: 6_000,
    targetMs: 820,
    rank: at % 9,
    shares: [{ pool: modelOf(at), share: 1 }],
    shots: 3,
    isOpen: false,
    mayResume: true,
    gapMs: 56,
  })),
  pools: Array.from({ length: poolCount }, (_, at) => ({
    name: modelOf(at),
    connectionLimit: 170,
    engine: {
      slots: 32,
      cacheTokens: 150_000,
      tokenBytes: 163_840,
      linkMbps: 1_100_000,
      inFlight: 4,
      models: [modelOf(at)],
    },
  })),
  stores: [],
  customers: Array.from({ length: customerCount }, (_, at) => ({
    name: `tenant-${String(at).padStart(4, '0')}`,
    keyHashes: [at.toString(16).padStart(64, '0')],
    rank: at % 9,
    isIsolated: at % 100 === 0,
  })),
  limits: { headerBytes: 16_384, bodyBytes: 1_048_576, headerMs: 5_000, idleMs: 30_000 },
});

const cards = (count: number): ReplicaCard[] =>
  Array.from({ length: count }, (_, at) => ({
    id: `replica-${String(at).padStart(4, '0')}-1`,
    pool: modelOf(at),
    address: `10.1.${at >> 8}.${at & 255}:8000`,
    zone: `zone-${at % 13}`,
    slots: 32,
    isLeaving: false,
    weights: { [modelOf(at)]: 1 },
  }));

const backEnds = (more: Partial<BackEnds>): BackEnds => ({
  replicas: async () => ok([]),
  order: () => new Promise(() => {}),
  report: async () => ok({ weights: {}, isBusy: true }),
  keptNews: () => new Promise(() => {}),
  keptList: () => new Promise(() => {}),
  ...more,
});

const kept = (at: number, isKept = true): KeptNews => ({
  isKept,
  salt: `${modelOf(at)}@1`,
  part: rig.blockName(at),
  tokens: isKept ? 512 : 0,
});

const wayPush = (): Promise<Measurement[]> =>
  withPeers(async (peers) => {
    const pingUs = series('way-push/ping-cpu', 'core node: processor time a ping', 'us', 'fronts', fleetSize.nodes);
    const pingBytes = series('way-push/ping-bytes', 'a ping and its reply', 'bytes', 'fronts', fleetSize.nodes);
    const content = series(
      'way-push/content-cpu',
      'core node: processor time to push a book of 1,000 customers to all it serves',
      'ms',
      'fronts it serves',
      fleetSize.nodes / fleetSize.voters,
    );
    const bytes = series(
      'way-push/content-bytes',
      'one change to one front that it serves',
      'bytes',
      'customers',
      fleetSize.tenants,
    );
    const bare = series(
      'way-push/bare-cpu',
      'core node: processor time to tell the bare generation to all others',
      'ms',
      'fronts',
      fleetSize.nodes,
    );
    const bareBytes = series(
      'way-push/bare-bytes',
      'a bare generation to one front',
      'bytes',
      'fronts',
      fleetSize.nodes,
    );
    const reading = series(
      'way-push/reading-cpu',
      'core node: processor time to tell all it serves of one long prompt being read',
      'us',
      'fronts it serves',
      fleetSize.nodes / fleetSize.voters,
    );
    const readingBytes = series(
      'way-push/reading-bytes',
      'one such notice to one front',
      'bytes',
      'fronts it serves',
      fleetSize.nodes / fleetSize.voters,
    );
    const holder: { push: StatePublisher | null } = { push: null };
    const measure = async (
      fronts: number,
      customers: number,
      wantsContent: boolean,
      note: (ms: number, bytesEach: number) => void,
      notePing: (us: number, bytesEach: number) => void,
    ): Promise<void> => {
      const core = await openCore(10, [], {
        left: (connection) => holder.push?.drop(connection),
        told: (connection, topic, body) => {
          if (topic === 'subscribe')
            holder.push?.subscribe(connection, body as Parameters<StatePublisher['subscribe']>[1]);
          else if (topic === 'ack') holder.push?.acked(connection, body as Parameters<StatePublisher['acked']>[1]);
        },
        asked: async (connection, topic, body) =>
          topic === 'ping'
            ? (holder.push?.pong(connection, body as Parameters<StatePublisher['pong']>[1], 0) ?? null)
            : null,
      });
      const push = new StatePublisher(
        core.acceptor,
        machine.clock,
        () => 100,
        () => {},
      );
      holder.push = push;
      const state = core.acceptor.agreed();
      const held = { generation: state?.generation ?? 0, edition: 0 };
      await peers.ask({ verb: 'dial', address: core.address, from: 0, count: fronts });
      await peers.ask({ verb: 'tell', topic: 'subscribe', body: { ...held, wantsContent } });
      await rig.until(() => push.lines().length === fronts, 10_000);
      const body = { ...held, isReady: true };
      for (let repeat = 0; repeat < 4; repeat += 1) {
        const [began, sent, got] = [rig.cpuUs(), core.meter.sent, core.meter.got];
        await peers.ask({ verb: 'pings', count: 200, body });
        if (repeat > 0) notePing((rig.cpuUs() - began) / 200, (core.meter.sent - sent + core.meter.got - got) / 200);
      }
      const news: ReadingNews = {
        id: 'request-0000000000000001',
        replica: 'replica-0001-1',
        tokens: 13_300,
        salt: `${modelOf(1)}@1`,
        part: rig.blockName(1),
      };
      for (let repeat = 0; wantsContent && repeat < 4; repeat += 1) {
        const [began, sent] = [rig.cpuUs(), core.meter.sent];
        for (let one = 0; one < 20; one += 1) push.tellContent('reading', news);
        await rig.pauseMs(20);
        if (repeat === 0 || customers !== 1_000) continue;
        reading.add(fronts, (rig.cpuUs() - began) / 20);
        readingBytes.add(fronts, (core.meter.sent - sent) / 20 / fronts);
      }
      const book = bookOf(customers);
      for (let repeat = 0; repeat < 4; repeat += 1) {
        const generation = (core.acceptor.agreed()?.generation ?? 0) + 1;
        const change: Change = {
          id: `book-${repeat}`,
          digest: '0',
          body: { kind: 'ways', base: repeat, ways: { edition: repeat + 1, book, source: '' } },
        };
        const [began, sent] = [rig.cpuUs(), core.meter.sent];
        await core.acceptor.settle({ generation, change });
        if (wantsContent) await rig.until(() => push.lines().every((one) => one.acked >= generation), 20_000, 10);
        else await rig.pauseMs(20);
        if (repeat > 0) note((rig.cpuUs() - began) / 1_000, (core.meter.sent - sent) / fronts);
      }
      await peers.ask({ verb: 'hangUp' });
      await core.close();
    };
    const quiet = (): void => {};
    for (const fronts of nodeCounts) {
      await measure(
        fronts,
        1_000,
        false,
        (ms, bytesEach) => {
          bare.add(fronts, ms);
          bareBytes.add(fronts, bytesEach);
        },
        (us, bytesEach) => {
          pingUs.add(fronts, us);
          pingBytes.add(fronts, bytesEach);
        },
      );
    }
    for (const fronts of [10, 34, 67, 134]) await measure(fronts, 1_000, true, (ms) => content.add(fronts, ms), quiet);
    for (const customers of tenantCounts)
      await measure(10, customers, true, (_ms, bytesEach) => bytes.add(customers, bytesEach), quiet);
    return [pingUs, pingBytes, content, bytes, bare, bareBytes, reading, readingBytes].map((one) => one.measurement());
  });

const wayIndex = async (): Promise<Measurement[]> => {
  const follow = series(
    'way-index/follow-cpu',
    'core node: processor time of a second of asking each replica for its events, none coming',
    'ms',
    'replicas',
    fleetSize.replicas,
  );
  const event = series(
    'way-index/event-cpu',
    'core node: processor time of one event of a large part, read, kept and bundled',
    'us',
    'parts held',
    1_000_000,
  );
  const deskMemory = series(
    'way-index/core-memory',
    'core node: memory of the parts it keeps',
    'bytes',
    'parts held',
    1_000_000,
  );
  const bookMemory = series(
    'way-index/front-memory',
    'front: memory of the parts it was told',
    'bytes',
    'parts held',
    1_000_000,
  );
  const frontUs = series(
    'way-index/front-cpu',
    'front: processor time of one event (decode and take)',
    'us',
    'parts held',
    1_000_000,
  );
  const bytes = series(
    'way-index/bytes',
    'one event of a large part to one front',
    'bytes',
    'events in a bundle',
    1_000,
  );
  for (const replicas of replicaCounts) {
    const back = backEnds({ keptNews: async () => ok({ epoch: 'e', next: 0, isLost: false, news: [] }) });
    const desk = new ShelfDesk(
      back,
      machine.clock,
      machine.random,
      logs.silent(),
      () => {},
      () => {},
    );
    desk.align(new Set(cards(replicas).map((card) => card.address)), () => true);
    await rig.pauseMs(500);
    for (let repeat = 0; repeat < 3; repeat += 1) {
      const [began, at] = [rig.cpuUs(), performance.now()];
      await rig.pauseMs(500);
      follow.add(replicas, (rig.cpuUs() - began) / (performance.now() - at));
    }
    desk.stop();
  }
  const addresses = cards(50).map((card) => card.address);
  const pages = new Map<string, KeptNews[]>();
  let next = 0;
  const bundles: ShelfNews[][] = [];
  const back = backEnds({
    keptNews: async (address) => {
      const news = pages.get(address) ?? [];
      pages.delete(address);
      next += news.length;
      return ok({ epoch: 'e', next, isLost: false, news });
    },
  });
  const emptyDesk = rig.heap();
  const desk = new ShelfDesk(
    back,
    machine.clock,
    machine.random,
    logs.silent(),
    (bundle) => void bundles.push([...bundle]),
    () => {},
  );
  desk.align(new Set(addresses), () => true);
  let held = 0;
  const told: { readonly frame: Uint8Array; readonly events: number }[] = [];
  const takenBy = (target: number): void => {
    const before = rig.heap();
    const book = new ShelfBook(machine.clock);
    const unpacker = new Unpacker(
      (message) => book.take((message as { body: ShelfNews[] }).body),
      () => {},
    );
    for (const { frame, events } of told) {
      const began = rig.cpuUs();
      unpacker.take(frame);
      if (events > 1_000) frontUs.add(target, (rig.cpuUs() - began) / events);
    }
    bookMemory.add(target, rig.heap() - before);
    book.sizes();
  };
  for (const target of [10_000, 50_000, 100_000, 200_000]) {
    while (held < target) {
      const count = Math.min(10_000, target - held);
      for (const [at, address] of addresses.entries())
        pages.set(
          address,
          Array.from({ length: count / addresses.length }, (_, one) =>
            kept(held + at * (count / addresses.length) + one),
          ),
        );
      const began = rig.cpuUs();
      held += count;
      await rig.until(() => desk.sizes().reduce((sum, one) => sum + one.parts, 0) >= held, 5_000, 20);
      await rig.pauseMs(80);
      event.add(target, (rig.cpuUs() - began) / count);
      for (const bundle of bundles.splice(0))
        told.push({
          frame: frames.pack({ f: 'tell', topic: 'shelves', body: bundle }),
          events: bundle.reduce((sum, one) => sum + one.news.length, 0),
        });
    }
    deskMemory.add(target, rig.heap() - emptyDesk);
    takenBy(target);
  }
  desk.stop();
  for (const count of [1, 10, 100, 1_000])
    bytes.add(
      count,
      frames.pack({
        f: 'tell',
        topic: 'shelves',
        body: [
          {
            address: addresses[0],
            isWhole: false,
            isHeard: true,
            news: Array.from({ length: count }, (_, at) => kept(at)),
          },
        ],
      }).length / count,
    );
  return [follow, event, deskMemory, bookMemory, frontUs, bytes].map((one) => one.measurement());
};

const wayList = async (): Promise<Measurement[]> => {
  const reading = series(
    'way-list/reading-cpu',
    'core node: processor time of one reading of the list, nothing new (the call itself left out)',
    'ms',
    'replicas',
    fleetSize.replicas,
  );
  const bytes = series(
    'way-list/bytes',
    'the whole list to one front that starts',
    'bytes',
    'replicas',
    fleetSize.replicas,
  );
  const step = series(
    'way-weights/step-cpu',
    'holder of the rollout: processor time of one step (each 60 ms), all replicas behind',
    'ms',
    'replicas',
    fleetSize.replicas,
  );
  const idle = series(
    'way-weights/idle-cpu',
    'holder of the rollout: processor time of one step, none behind',
    'ms',
    'replicas',
    fleetSize.replicas,
  );
  const front = series(
    'way-list/front-cpu',
    'front: processor time to take one changed replica',
    'ms',
    'replicas',
    fleetSize.replicas,
  );
  for (const replicas of replicaCounts) {
    const list = cards(replicas);
    const atOnce: Clock = {
      ...machine.clock,
      after: (_ms, ring) => {
        setImmediate(ring);
        return { cancel: () => {} };
      },
    };
    let gave: ((list: readonly ReplicaCard[]) => void) | null = null;
    const reader = new CardReader(
      backEnds({ replicas: () => new Promise((give) => (gave = (list) => give(ok(list)))) }),
      atOnce,
      machine.random,
      logs.silent(),
      { everyMs: 0, perSecond: 1e9, readers: () => 1 },
      () => {},
    );
    const read = async (): Promise<void> => {
      await rig.until(() => gave !== null, 1_000, 0);
      const give = gave;
      gave = null;
      give?.(structuredClone(list));
      await new Promise<void>((wake) => setImmediate(wake));
    };
    await read();
    const clone = rig.timed(20, () => void structuredClone(list)) / 1_000;
    for (let repeat = 0; repeat < 4; repeat += 1) {
      const began = rig.cpuUs();
      for (let one = 0; one < 10; one += 1) await read();
      if (repeat > 0) reading.add(replicas, Math.max(0, (rig.cpuUs() - began) / 10_000 - clone));
    }
    reader.stop();
    bytes.add(
      replicas,
      frames.pack({ f: 'tell', topic: 'cards', body: { isWhole: true, put: list, gone: [] } }).length,
    );
    const desk = (version: number): WeightsDesk =>
      new WeightsDesk(
        backEnds({}),
        { ...machine.clock, after: () => ({ cancel: () => {} }) },
        logs.silent(),
        () => list,
        () => Array.from({ length: poolCount }, (_, at) => ({ pool: modelOf(at), model: modelOf(at), version })),
        () => 1,
        () => 'postmaster-1',
        () => {},
        () => {},
      );
    for (let repeat = 0; repeat < 4; repeat += 1) {
      const [behind, done] = [desk(2), desk(1)];
      behind.step();
      const [stepMs, idleMs] = [rig.timed(10, () => behind.step()) / 1_000, rig.timed(20, () => done.step()) / 1_000];
      const tracks = new ReplicaTracks(machine.clock);
      tracks.take({ isWhole: true, put: list, gone: [] });
      const frontMs =
        rig.timed(10, (at) =>
          tracks.take({ isWhole: false, put: [{ ...(list[at] as ReplicaCard), isLeaving: true }], gone: [] }),
        ) / 1_000;
      if (repeat === 0) continue;
      step.add(replicas, stepMs);
      idle.add(replicas, idleMs);
      front.add(replicas, frontMs);
    }
  }
  return [reading, bytes, front, step, idle].map((one) => one.measurement());
};

const wayPlace = async (): Promise<Measurement[]> => {
  const placing = series(
    'way-place/cpu',
    'front: processor time to place one prompt',
    'us',
    'replicas in the pool',
    fleetSize.replicas / poolCount,
  );
  const view = series(
    'way-place/view',
    'front: processor time to build the view of a new edition',
    'ms',
    'customers',
    fleetSize.tenants,
  );
  for (const replicas of [10, 25, 50, 100, 250]) {
    const list = cards(replicas * poolCount);
    const tracks = new ReplicaTracks(machine.clock);
    tracks.take({ isWhole: true, put: list, gone: [] });
    const shelves = new ShelfBook(machine.clock);
    const parts: Part[] = [
      { id: 'a'.repeat(24), tokens: 13_300 },
      { id: 'b'.repeat(24), tokens: 3_720 },
    ];
    const pool = list.filter((card) => card.pool === modelOf(0));
    for (const [at, card] of pool.entries())
      if (at % 3 === 0)
        shelves.take([
          {
            address: card.address,
            isWhole: false,
            isHeard: true,
            news: [{ isKept: true, salt: salts.of(modelOf(0), 1, null), part: 'a'.repeat(24), tokens: 13_300 }],
          },
        ]);
    const way = new WayPlacing(tracks, shelves, machine.clock, () => ({ version: 1, sinceMs: 10_000 }), 8_000);
    const shown = new BookDoor().view(1, bookOf(10));
    const question: WayQuestion = {
      pool: modelOf(0),
      order: { id: 'order', key: null, leftMs: 6_000, model: modelOf(0), tokensIn: 17_020, tokensOut: 247, parts },
      customer: null,
      avoided: new Set(),
    };
    for (let repeat = 0; repeat < 6; repeat += 1) {
      const us = rig.timed(50, () => void way.place(question, shown, 50));
      if (repeat > 0) placing.add(replicas, us);
    }
  }
  for (const customers of tenantCounts) {
    const book = bookOf(customers);
    const door = new BookDoor();
    for (let repeat = 0; repeat < 4; repeat += 1) {
      const ms = rig.timed(5, (at) => void door.view(at, book)) / 1_000;
      if (repeat > 0) view.add(customers, ms);
    }
  }
  return [placing, view].map((one) => one.measurement());
};

export const wayProbes: Record<string, () => Promise<Measurement[]>> = {
  'way-push': wayPush,
  'way-index': wayIndex,
  'way-list': wayList,
  'way-place': wayPlace,
};
