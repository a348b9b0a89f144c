import { ok } from 'neverthrow';
import { Book } from '@martenworks/counter';
import { logs, machine } from '@martenworks/core-types';
import type {
  Carriage,
  Change,
  Claimant,
  ClaimBallot,
  KvNews,
  Member,
  Ports,
  ReplicaRecord,
} from '@martenworks/core-types';
import { Unpacker, peerConnections, frames } from '@martenworks/peer-transport';
import type { PeerConnection, Handlers } from '@martenworks/peer-transport';
import { Pigeonhole, place } from '@martenworks/prefix-index';
import { KvDesk, Proposer, claimTables, acceptors, leaseBooks, replicaTables } from '@martenworks/control-plane';
import type { Ballot, Acceptor, Position, Settled, Since, Vote } from '@martenworks/control-plane';
import { Duties, Roster, Watch, ring } from '@martenworks/cluster-membership';
import type { LeaseAsk, LeaseReply, RosterEntry } from '@martenworks/cluster-membership';
import { asMember, openCore, withPeers } from './measuredControlNode.js';
import { Meter, isolatedShare, poolCount, rig } from './rig.js';
import {
  blocksPerReplica,
  nodeCounts,
  replicaCounts,
  runningPerFront,
  series,
  fleetSize,
  tenantCounts,
} from './fleetSize.js';
import type { Measurement } from './table.js';
import { wayProbes } from './wayProbes.js';

const pings = (): Promise<Measurement[]> =>
  withPeers(async (peers) => {
    const coreUs = series('pings/core-cpu', 'core node: processor time a ping', 'us', 'fronts', fleetSize.nodes);
    const pongBytes = series('pings/pong-bytes', 'reply to a ping', 'bytes', 'fronts', fleetSize.nodes);
    const askBytes = series('pings/ask-bytes', 'a ping', 'bytes', 'fronts', fleetSize.nodes);
    const frontUs = series(
      'pings/front-cpu',
      'front: processor time a ping, its report and loads',
      'us',
      'fronts',
      fleetSize.nodes,
    );
    const heavyMs = series(
      'heavy/core-cpu',
      'core node: processor time for one heavy-prefill notice',
      'ms',
      'fronts',
      fleetSize.nodes,
    );
    const heavyBytes = series(
      'heavy/bytes',
      'sent by a core node for one heavy-prefill notice',
      'bytes',
      'fronts',
      fleetSize.nodes,
    );
    const byReplicas = series(
      'pings/pong-bytes-by-replicas',
      'reply to a ping, 100 fronts',
      'bytes',
      'replicas',
      fleetSize.replicas,
    );
    const measure = async (fronts: number, replicas: number, isHeavy: boolean): Promise<void> => {
      const core = await openCore(10, []);
      await peers.ask({ verb: 'dial', address: core.address, from: 0, count: fronts });
      await peers.ask({ verb: 'tell', topic: 'subscribe' });
      const order = { running: runningPerFront, replicas };
      await peers.ask({ verb: 'pings', count: fronts, ...order });
      for (let repeat = 0; repeat < 3; repeat += 1) {
        const count = 60;
        const began = rig.cpuUs();
        const told = await peers.ask({ verb: 'pings', count, ...order });
        const us = (rig.cpuUs() - began) / count;
        if (!isHeavy) {
          byReplicas.add(replicas, told.got as number);
          continue;
        }
        coreUs.add(fronts, us);
        pongBytes.add(fronts, told.got as number);
        askBytes.add(fronts, told.sent as number);
        frontUs.add(fronts, told.us as number);
        if (fronts > 100 && repeat === 2) continue;
        const heavyBegan = rig.cpuUs();
        const heavy = await peers.ask({ verb: 'heavy', ...order });
        heavyMs.add(fronts, (rig.cpuUs() - heavyBegan) / 1_000);
        heavyBytes.add(fronts, heavy.got as number);
      }
      await peers.ask({ verb: 'hangUp' });
      await core.close();
    };
    for (const fronts of nodeCounts) await measure(fronts, fleetSize.replicas, true);
    for (const replicas of replicaCounts) await measure(100, replicas, false);
    return [coreUs, frontUs, askBytes, pongBytes, byReplicas, heavyMs, heavyBytes].map((one) => one.measurement());
  });

const layoutChange = (tenantCount: number, at: number, base: number): Change => ({
  id: `push-${at}`,
  digest: at.toString(16).padStart(32, '0'),
  body: { kind: 'layout', layout: rig.layoutOf(tenantCount, 0, at), base },
});

const pushes = (): Promise<Measurement[]> =>
  withPeers(async (peers) => {
    const byFronts = series(
      'pushes/core-cpu',
      'core node: processor time to push one change, 1,000 tenants',
      'ms',
      'fronts',
      fleetSize.nodes,
    );
    const lateness = series(
      'pushes/all-acked',
      'one change until every front acked, 1,000 tenants, loopback',
      'ms',
      'fronts',
      fleetSize.nodes,
    );
    const byTenants = series(
      'pushes/core-cpu-by-tenants',
      'core node: processor time to push one change, 100 fronts',
      'ms',
      'tenants',
      fleetSize.tenants,
    );
    const bytes = series(
      'pushes/bytes',
      'one change to one front from one core node',
      'bytes',
      'tenants',
      fleetSize.tenants,
    );
    const checkpoint = series(
      'pushes/checkpoint-bytes',
      'whole agreed state to a front that starts, 4,096 change ids kept',
      'bytes',
      'tenants',
      fleetSize.tenants,
    );
    const since = series(
      'pushes/since-bytes',
      'changes sent at once to a core node that lags, 3,100 tenants',
      'bytes',
      'changes behind',
      71,
    );
    for (const behind of [1, 10, 30, 60])
      since.add(
        behind,
        frames.pack({
          f: 'reply',
          id: 1,
          body: {
            k: 'changes',
            settled: Array.from({ length: behind }, (_, at) => ({
              generation: at,
              change: layoutChange(fleetSize.tenants, at, at),
            })),
          },
        }).length,
      );
    let edition = 0;
    const measure = async (
      fronts: number,
      tenants: number,
      note: (ms: number, ackedMs: number, bytesEach: number) => void,
    ): Promise<void> => {
      const core = await openCore(tenants, []);
      await peers.ask({ verb: 'dial', address: core.address, from: 0, count: fronts });
      await peers.ask({ verb: 'tell', topic: 'subscribe' });
      await rig.until(() => core.push.acks().length === fronts, 10_000);
      for (let repeat = 0; repeat < 4; repeat += 1) {
        const state = core.acceptor.agreed();
        const generation = (state?.generation ?? 0) + 1;
        const settled: Settled = {
          generation,
          change: layoutChange(tenants, ++edition, state?.layoutGeneration ?? 0),
        };
        const [began, sent, at] = [rig.cpuUs(), core.meter.sent, performance.now()];
        await core.acceptor.settle(settled);
        await rig.until(() => core.push.acks().every((one) => one.generation === generation), 30_000, 10);
        if (repeat > 0) note((rig.cpuUs() - began) / 1_000, performance.now() - at, (core.meter.sent - sent) / fronts);
      }
      await peers.ask({ verb: 'hangUp' });
      await core.close();
    };
    for (const fronts of nodeCounts) {
      await measure(fronts, 1_000, (ms, ackedMs) => {
        byFronts.add(fronts, ms);
        lateness.add(fronts, ackedMs);
      });
    }
    for (const tenants of tenantCounts) {
      await measure(100, tenants, (ms, _acked, bytesEach) => {
        byTenants.add(tenants, ms);
        bytes.add(tenants, bytesEach);
      });
      checkpoint.add(
        tenants,
        frames.pack({
          f: 'tell',
          topic: 'checkpoint',
          body: rig.stateOf(tenants, 0, [asMember(1), asMember(2), asMember(3)]),
        }).length,
      );
    }
    return [byFronts, lateness, byTenants, bytes, checkpoint, since].map((one) => one.measurement());
  });

const ballots = async (): Promise<Measurement[]> => {
  const wall = series(
    'ballots/wall',
    'one change decided by three members on disk',
    'ms',
    'tenants',
    fleetSize.tenants,
  );
  const cpu = series('ballots/cpu', 'processor time of one member a change', 'ms', 'tenants', fleetSize.tenants);
  const wire = series(
    'ballots/bytes',
    'sent between the three members for one change',
    'bytes',
    'tenants',
    fleetSize.tenants,
  );
  for (const tenants of tenantCounts) {
    const meter = new Meter();
    const books: Acceptor[] = [];
    const addresses: string[] = [];
    const closers: (() => Promise<void>)[] = [];
    const members: Member[] = [];
    for (let at = 0; at < fleetSize.voters; at += 1) {
      const ports = rig.ports(meter);
      const acceptor = (await acceptors.open(ports.disk, ports.clock, ports.random, ports.log))._unsafeUnwrap();
      const address = await rig.freeAddress();
      const asked = async (_coach: PeerConnection, topic: string, body: unknown): Promise<unknown> => {
        const { slot, ballot, change } = (body ?? {}) as { slot: number; ballot: Ballot; change: Change };
        if (topic === 'prepare') return acceptor.prepare(slot, ballot);
        if (topic === 'accept') return acceptor.accept(slot, ballot, change);
        return acceptor.since(body as number);
      };
      const handlers: Handlers = {
        joined: () => {},
        left: () => {},
        told: (_coach, topic, body) => void (topic === 'settled' && acceptor.settle(body as Settled)),
        asked,
      };
      const listener = (
        await peerConnections.listen(
          ports.net,
          ports.clock,
          ports.log,
          () => rig.helloOf('postmaster', at, address),
          address,
          handlers,
        )
      )._unsafeUnwrap();
      books.push(acceptor);
      addresses.push(address);
      members.push({ name: `postmaster-${at}`, address, incarnation: acceptor.incarnation });
      closers.push(async () => {
        await listener.close();
        await acceptor.close();
      });
    }
    for (const book of books) await book.adopt(rig.stateOf(tenants, 0, members));
    const own = books[0] as Acceptor;
    const ports = rig.ports(meter);
    const quiet: Handlers = { joined: () => {}, left: () => {}, told: () => {}, asked: async () => null };
    const lines = new Map<string, PeerConnection>();
    for (const member of members.slice(1))
      lines.set(
        member.incarnation,
        (
          await peerConnections.dial(
            ports.net,
            ports.clock,
            ports.log,
            rig.helloOf('postmaster', 0, addresses[0] as string),
            member.address,
            quiet,
          )
        )._unsafeUnwrap(),
      );
    const ask = async (member: Member, topic: string, body: unknown): Promise<unknown> =>
      (await (lines.get(member.incarnation) as PeerConnection).ask(topic, body, 5_000)).unwrapOr(null);
    const isOwn = (member: Member): boolean => member.incarnation === own.incarnation;
    const proposer = new Proposer(
      own,
      {
        prepare: (member, slot, ballot) =>
          isOwn(member)
            ? own.prepare(slot, ballot)
            : (ask(member, 'prepare', { slot, ballot }) as Promise<Vote | null>),
        accept: (member, slot, ballot, change) =>
          isOwn(member)
            ? own.accept(slot, ballot, change)
            : (ask(member, 'accept', { slot, ballot, change }) as Promise<Vote | null>),
        position: (member) => ask(member, 'position', null) as Promise<Position | null>,
        settle: (settled) => {
          for (const connection of lines.values()) connection.tell('settled', settled);
        },
        since: (member, generation) =>
          isOwn(member)
            ? Promise.resolve(own.since(generation))
            : (ask(member, 'since', generation) as Promise<Since | null>),
        supply: async () => {},
      },
      ports.clock,
      ports.random,
      ports.log,
    );
    const changes = 4;
    for (let repeat = 0; repeat < 4; repeat += 1) {
      const [began, at, sent] = [rig.cpuUs(), performance.now(), meter.sent];
      for (let one = 0; one < changes; one += 1) {
        const edition = repeat * changes + one + 1;
        const id = `push-${edition}`;
        const outcome = await proposer.propose(
          (state) => ok(layoutChange(tenants, edition, state.layoutGeneration)),
          id,
          edition.toString(16).padStart(32, '0'),
          5_000,
        );
        if (outcome.isErr()) throw new Error(`a ballot failed: ${JSON.stringify(outcome.error)}`);
      }
      if (repeat === 0) continue;
      wall.add(tenants, (performance.now() - at) / changes);
      await rig.until(() => books.every((book) => book.agreed()?.generation === own.agreed()?.generation), 5_000);
      cpu.add(tenants, (rig.cpuUs() - began) / 1_000 / changes / fleetSize.voters);
      wire.add(tenants, (meter.sent - sent) / changes);
    }
    for (const connection of lines.values()) connection.close();
    for (const close of closers) await close();
  }
  return [wall, cpu, wire].map((one) => one.measurement());
};

const claims = (): Promise<Measurement[]> =>
  withPeers(async (peers) => {
    const cpu = series(
      'claims/core-cpu',
      'core node: processor time a claim (two rounds, kept on disk)',
      'us',
      'claims at once',
      fleetSize.requests,
    );
    const wall = series(
      'claims/rate',
      'claims a second that one core node takes',
      'a second',
      'claims at once',
      fleetSize.requests,
    );
    const bytes = series(
      'claims/bytes',
      'one claim between a front and a core node, both ways',
      'bytes',
      'claims at once',
      fleetSize.requests,
    );
    const memory = series(
      'claims/memory',
      'core node: memory of claims',
      'bytes',
      'claims kept',
      fleetSize.requests * 600,
    );
    let from = 0;
    for (const width of [10, 50, 200, 500, 1_500]) {
      const meter = new Meter();
      const ports = rig.ports(meter);
      const table = (await claimTables.open(ports.disk, ports.clock, ports.log, 3_600_000))._unsafeUnwrap();
      const asked = async (_coach: PeerConnection, topic: string, body: unknown): Promise<unknown> => {
        const { key, turn, ballot, claimant } = body as {
          key: string;
          turn: number;
          ballot: ClaimBallot;
          claimant: Claimant;
        };
        return topic === 'claimPrepare' ? table.prepare(key, turn, ballot) : table.accept(key, turn, ballot, claimant);
      };
      const core = await openCore(10, [], { asked });
      await peers.ask({ verb: 'dial', address: core.address, from: 0, count: 8 });
      const order = { verb: 'claims', width };
      await peers.ask({ ...order, count: width * 2, from });
      from += width * 2;
      for (let repeat = 0; repeat < 3; repeat += 1) {
        const count = Math.max(100, Math.min(3_000, width * 6));
        const [began, at, sent, got] = [rig.cpuUs(), performance.now(), core.meter.sent, core.meter.got];
        await peers.ask({ ...order, count, from });
        from += count;
        cpu.add(width, (rig.cpuUs() - began) / count);
        wall.add(width, (count / (performance.now() - at)) * 1_000);
        bytes.add(width, (core.meter.sent - sent + core.meter.got - got) / count);
      }
      await peers.ask({ verb: 'hangUp' });
      await core.close();
      await table.close();
    }
    const clock = machine.clock;
    const table = (await claimTables.open(rig.disk(), clock, logs.silent(), 3_600_000))._unsafeUnwrap();
    const empty = rig.heap();
    let kept = 0;
    for (const target of [10_000, 30_000, 60_000, 100_000]) {
      const more = Array.from({ length: target - kept }, (_, at) => ({
        key: `tenant-${at % 3_100}/${kept + at}-idempotency-key`,
        at: kept + at,
      }));
      for (let begin = 0; begin < more.length; begin += 5_000) {
        await Promise.all(
          more.slice(begin, begin + 5_000).map(({ key, at }) => {
            const claimant = {
              id: `${at}`.padStart(32, '0'),
              counter: `${at % 400}`.padStart(16, '0'),
              address: `10.0.0.${at % 256}:7100`,
              digest: `${at}`.padStart(32, 'd'),
            };
            return table.accept(key, 0, [1, claimant.id], claimant);
          }),
        );
      }
      kept = target;
      memory.add(target, rig.heap() - empty);
    }
    await table.close();
    return [cpu, wall, bytes, memory].map((one) => one.measurement());
  });

const layout = async (): Promise<Measurement[]> => {
  const view = series(
    'layout/view',
    'front: apply one change and build its view, 1,000 replicas, none isolated',
    'ms',
    'tenants',
    fleetSize.tenants,
  );
  const viewIsolated = series(
    'layout/view-isolated',
    'the same with 1 in 100 tenants isolated',
    'ms',
    'tenants',
    fleetSize.tenants,
  );
  const align = series(
    'layout/replica-news',
    'front: take one replica record, 3,100 tenants, 31 isolated',
    'ms',
    'replicas',
    fleetSize.replicas,
  );
  const memory = series('layout/memory', 'front: memory of state and view', 'bytes', 'tenants', fleetSize.tenants);
  const kept: Book[] = [];
  for (const tenants of tenantCounts) {
    for (const isolated of [0, Math.round(tenants * isolatedShare)]) {
      for (let repeat = 0; repeat < 3; repeat += 1) {
        const empty = rig.heap();
        const book = new Book(machine.clock, () => {});
        const state = structuredClone(rig.stateOf(tenants, isolated, []));
        book.takeCheckpoint(state);
        kept.push(book);
        if (isolated === 0) memory.add(tenants, rig.heap() - empty);
        book.takeReplicas(rig.records(fleetSize.replicas));
        const changes = Array.from(
          { length: 3 },
          (_, at): Change => ({
            id: `view-${at}`,
            digest: '0',
            body: { kind: 'layout', layout: rig.layoutOf(tenants, isolated, at), base: 5_000 + at },
          }),
        );
        const ms = rig.timed(3, (at) => void book.takeChange(5_001 + at, changes[at] as Change)) / 1_000;
        (isolated === 0 ? view : viewIsolated).add(tenants, ms);
      }
    }
  }
  for (const replicas of replicaCounts) {
    const book = new Book(machine.clock, () => {});
    book.takeCheckpoint(rig.stateOf(fleetSize.tenants, 31, []));
    const records = rig.records(replicas);
    book.takeReplicas(records);
    for (let repeat = 0; repeat < 4; repeat += 1) {
      const ms =
        rig.timed(4, (at) => book.takeReplicas([{ ...(records[at] as ReplicaRecord), incarnation: 2 + repeat }])) /
        1_000;
      if (repeat > 0) align.add(replicas, ms);
    }
  }
  return [view, viewIsolated, align, memory].map((one) => one.measurement());
};

const index = async (): Promise<Measurement[]> => {
  const memory = series('index/memory', 'one whole index: memory', 'bytes', 'blocks', fleetSize.blocks);
  const take = series('index/take', 'processor time of one event of one block', 'us', 'blocks', fleetSize.blocks);
  const overWire = series(
    'index/memory-from-frames',
    'one whole index filled from frames of 20 events: memory',
    'bytes',
    'blocks',
    fleetSize.blocks,
  );
  const shelf = series(
    'index/shelf-bytes',
    'shelves of a whole index on the wire',
    'bytes',
    'blocks',
    fleetSize.blocks,
  );
  const shelfMs = series(
    'index/shelf-cpu',
    'core node: processor time to pack the shelves of a whole index, in one turn of its event loop',
    'ms',
    'blocks',
    fleetSize.blocks,
  );
  const placing = series(
    'index/place',
    'placing one prompt of 266 blocks in one pool',
    'us',
    'replicas in the pool',
    fleetSize.replicas / poolCount,
  );
  const beforeFrames = rig.heap();
  const framed = new Pigeonhole(3_600_000);
  let toldCount = 0;
  for (const target of [10_000, 50_000, 100_000, 200_000, 400_000]) {
    const records = rig.records(Math.ceil(target / blocksPerReplica));
    framed.reconcile(records, () => 0);
    const unpacker = new Unpacker(
      (message) =>
        (message as { body: KvNews[] }).body.forEach((one) => {
          framed.take(one, 0);
        }),
      () => {},
    );
    while (toldCount < target) {
      const record = records[Math.floor(toldCount / blocksPerReplica)] as ReplicaRecord;
      const first = framed.seqOf(record.name, 1) + 1;
      const body = Array.from({ length: 20 }, (_, at) =>
        rig.stored(record.name, first + at, [rig.blockName(toldCount + at)]),
      );
      unpacker.take(frames.pack({ f: 'tell', topic: 'kv', body }));
      toldCount += 20;
    }
    overWire.add(target, rig.heap() - beforeFrames);
  }
  const empty = rig.heap();
  const hole = new Pigeonhole(3_600_000);
  let held = 0;
  let name = 0;
  for (const target of [10_000, 100_000, 500_000, 1_000_000, 2_000_000, 4_000_000]) {
    hole.reconcile(rig.records(Math.ceil(target / blocksPerReplica)), () => 0);
    const seqs = new Map<string, number>();
    const shelves = rig.records(Math.ceil(target / blocksPerReplica)).map((record) => record.name);
    for (; held < target; held += 1) {
      const replica = shelves[Math.floor(held / blocksPerReplica)] as string;
      const seq = (seqs.get(replica) ?? hole.seqOf(replica, 1)) + 1;
      seqs.set(replica, seq);
      hole.take(rig.stored(replica, seq, [Buffer.from(rig.blockName(++name)).toString('latin1')]), 0);
    }
    memory.add(target, rig.heap() - empty);
    for (let repeat = 0; repeat < 3; repeat += 1) {
      const news: KvNews[] = [];
      const local = new Map<string, number>();
      for (let at = 0; at < 20_000; at += 2) {
        const replica = shelves[(at * 7) % shelves.length] as string;
        const seq = local.get(replica) ?? hole.seqOf(replica, 1);
        const blocks = [rig.blockName(900_000_000 + at)];
        news.push(rig.stored(replica, seq + 1, blocks), { ...rig.stored(replica, seq + 2, blocks), kind: 'removed' });
        local.set(replica, seq + 2);
      }
      take.add(
        target,
        rig.timed(news.length, (at) => hole.take(news[at] as KvNews, 1)),
      );
    }
    for (let repeat = 0; target <= 1_000_000 && repeat < 3; repeat += 1)
      shelfMs.add(
        target,
        rig.timed(1, () =>
          hole.checkpoint(1).forEach((one) => void frames.pack({ f: 'tell', topic: 'shelf', body: one })),
        ) / 1_000,
      );
    if (target <= 500_000)
      shelf.add(
        target,
        hole.checkpoint(1).reduce((sum, one) => sum + frames.pack({ f: 'tell', topic: 'shelf', body: one }).length, 0),
      );
  }
  const chain = Array.from({ length: 266 }, (_, at) => rig.blockName(700_000_000 + at));
  for (const replicas of [10, 25, 50, 100, 250]) {
    const records = rig.records(replicas * poolCount).filter((record) => record.pool === 'model-0');
    const small = new Pigeonhole(3_600_000);
    small.reconcile(records, () => 0);
    for (const [at, record] of records.entries())
      small.take(rig.stored(record.name, 1, chain.slice(0, at % 3 === 0 ? 208 : 0)), 0);
    const pool = rig.layoutOf(1, 0).pools['model-0'];
    if (pool === undefined) continue;
    const candidates = records.map((record, at) => ({ record, running: at % 20, pendingTokens: (at * 97) % 2_000 }));
    const question = {
      pool,
      blocks: chain,
      promptTokens: 17_020,
      isolatedTenant: null,
      candidates,
      holders: records,
      now: 1,
      zone: '',
      useIndex: true,
      tieBreak: 0.5,
      pullExcessMs: () => 0,
    };
    for (let repeat = 0; repeat < 4; repeat += 1) {
      const us = rig.timed(100, () => void place(small, question));
      if (repeat > 0) placing.add(replicas, us);
    }
  }
  return [memory, overWire, take, shelf, shelfMs, placing].map((one) => one.measurement());
};

const joins = (): Promise<Measurement[]> =>
  withPeers(async (peers) => {
    const got = series(
      'joins/arrived',
      'of the index that a core node sends a front that starts, what arrives',
      'share',
      'blocks',
      1_120_000,
    );
    const stays = series(
      'joins/stays',
      'a front that starts and is sent the index keeps its connection (1) or is cut off (0)',
      'share',
      'blocks',
      1_120_000,
    );
    const hole = new Pigeonhole(3_600_000);
    let held = 0;
    for (const target of [28_000, 280_000, 560_000, 840_000, 1_120_000]) {
      const records = rig.records(Math.ceil(target / blocksPerReplica));
      hole.reconcile(records, () => 0);
      for (const record of records) {
        if (hole.seqOf(record.name, 1) > 0) continue;
        hole.take(
          rig.stored(
            record.name,
            1,
            Array.from({ length: blocksPerReplica }, (_, at) => rig.blockName(held + at)),
          ),
          0,
        );
        held += blocksPerReplica;
      }
      const bytes = hole
        .checkpoint(1)
        .reduce((sum, one) => sum + frames.pack({ f: 'tell', topic: 'shelf', body: one }).length, 0);
      for (let repeat = 0; repeat < 2; repeat += 1) {
        const core = await openCore(10, records, {}, () => hole.checkpoint(1));
        await peers.ask({ verb: 'dial', address: core.address, from: 0, count: 1 });
        const before = await peers.ask({ verb: 'gauge' });
        await peers.ask({ verb: 'tell', topic: 'subscribe' });
        for (let wait = 0, last = -1; wait < 40; wait += 1) {
          await rig.pauseMs(100);
          const now = await peers.ask({ verb: 'gauge' });
          if (now.got === last && wait > 1) break;
          last = now.got as number;
        }
        const after = await peers.ask({ verb: 'gauge' });
        got.add(target, ((after.got as number) - (before.got as number)) / bytes);
        stays.add(target, (after.left as number) > (before.left as number) ? 0 : 1);
        await peers.ask({ verb: 'hangUp' });
        await core.close();
      }
    }
    return [got, stays].map((one) => one.measurement());
  });

const sse = (news: KvNews): string =>
  `data: ${JSON.stringify({ incarnation: news.incarnation, seq: news.seq, kind: news.kind, tenant: news.tenant, blocks: news.blocks })}\n\n`;

interface Feed {
  readonly carriage: Carriage;
  readonly give: (replica: number, bytes: Uint8Array) => void;
}

const feedOf = (): Feed => {
  const queues = new Map<string, { parts: Uint8Array[]; wake: () => void }>();
  const queueOf = (host: string) => {
    const held = queues.get(host) ?? { parts: [], wake: () => {} };
    queues.set(host, held);
    return held;
  };
  const records = rig.records(fleetSize.replicas);
  return {
    give: (replica, bytes) => {
      const queue = queueOf((records[replica] as ReplicaRecord).address);
      queue.parts.push(bytes);
      queue.wake();
    },
    carriage: {
      close: async () => {},
      carry: async ({ url, signal }) => {
        const queue = queueOf(new URL(url).host);
        signal.addEventListener('abort', () => queue.wake(), { once: true });
        const body = (async function* () {
          while (!signal.aborted) {
            while (queue.parts.length > 0) yield queue.parts.shift() as Uint8Array;
            await new Promise<void>((wake) => (queue.wake = wake));
          }
        })();
        return ok({ status: 200, headers: () => [], header: () => null, body });
      },
    },
  };
};

const relays = (): Promise<Measurement[]> =>
  withPeers(async (peers) => {
    const perFront = series(
      'relays/core-cpu',
      'core node: processor time an event, read, kept and told to all fronts',
      'us',
      'fronts',
      fleetSize.nodes,
    );
    const bytes = series('relays/bytes', 'one event to one front', 'bytes', 'blocks an event', 1);
    const bulk = series(
      'relays/core-cpu-full',
      'the same with 400 events in each bundle',
      'us',
      'fronts',
      fleetSize.nodes,
    );
    const front = series(
      'relays/front-busy',
      'front: cores busy with events (decode and take)',
      'cores',
      'events a second',
      fleetSize.events,
    );
    const followerBusy = series(
      'relays/follower-busy',
      'follower that tells nobody: cores busy (read, parse, keep)',
      'cores',
      'events a second',
      fleetSize.events,
    );
    const share = series(
      'relays/core-busy',
      'core node with 3 fronts: share of its thread while it lasts',
      'share',
      'events a second',
      fleetSize.events,
    );
    const delivered = series(
      'relays/delivered',
      'events told within the window, of those offered',
      'share',
      'events a second',
      fleetSize.events,
    );
    const replicas = 50;
    const records = rig.records(replicas);
    const play = async (
      fronts: number,
      rate: number,
      lengthMs: number,
      blocksEach: number,
      isReal = false,
    ): Promise<{ us: number; bytes: number; busy: number; delivered: number; frontUs: number }> => {
      const feed = feedOf();
      const core = await openCore(10, records);
      const meter = new Meter();
      const ports: Ports = { ...rig.ports(meter), carriage: feed.carriage };
      const desk = new KvDesk(
        ports,
        (news) => core.push.tellKv(news),
        () => {},
        () => 1,
      );
      if (fronts > 0) await peers.ask({ verb: 'dial', address: core.address, from: 0, count: fronts, real: isReal });
      if (fronts > 0) await peers.ask({ verb: 'tell', topic: 'subscribe' });
      desk.align(records);
      await rig.pauseMs(50);
      const offered = Math.round((rate * lengthMs) / 1_000);
      const perTick = Math.max(1, Math.round(rate / 100));
      const ticks = Math.ceil(offered / perTick);
      const batches: Uint8Array[][] = [];
      let name = 0;
      const seqs = new Array<number>(replicas).fill(0);
      for (let tick = 0; tick < ticks; tick += 1) {
        const texts = new Array<string>(replicas).fill('');
        for (let at = 0; at < perTick; at += 1) {
          const replica = (tick * perTick + at) % replicas;
          const seq = (seqs[replica] ?? 0) + 1;
          seqs[replica] = seq;
          texts[replica] += sse(
            rig.stored(
              (records[replica] as ReplicaRecord).name,
              seq,
              Array.from({ length: blocksEach }, () => rig.blockName(++name)),
            ),
          );
        }
        batches.push(texts.map((text) => Buffer.from(text)));
      }
      const before = fronts > 0 ? await peers.ask({ verb: 'gauge' }) : {};
      const [began, at, sent] = [rig.cpuUs(), performance.now(), core.meter.sent];
      for (const [tick, batch] of batches.entries()) {
        for (const [replica, part] of batch.entries()) if (part.length > 0) feed.give(replica, part);
        const behind = at + (tick + 1) * 10 - performance.now();
        await (behind > 0 ? rig.pauseMs(behind) : new Promise<void>((wake) => setImmediate(wake)));
      }
      const told = ticks * perTick;
      const heard = (): number => desk.sizes().reduce((sum, one) => sum + one.seq, 0);
      const inWindow = heard() / Math.max(told, (rate * (performance.now() - at)) / 1_000);
      await rig.until(() => heard() >= told, 20_000);
      await rig.pauseMs(60);
      const busy = (rig.cpuUs() - began) / 1_000 / (performance.now() - at);
      const us = (rig.cpuUs() - began) / told;
      const sentEach = fronts > 0 ? (core.meter.sent - sent) / told / fronts : 0;
      const after = fronts > 0 ? await peers.ask({ verb: 'gauge' }) : {};
      const frontUs = ((after.us ?? 0) - (before.us ?? 0)) / told / Math.max(1, fronts);
      desk.stop();
      if (fronts > 0) await peers.ask({ verb: 'hangUp' });
      await core.close();
      return { us, bytes: sentEach, busy, delivered: inWindow, frontUs };
    };
    for (let repeat = 0; repeat < 3; repeat += 1) {
      for (const fronts of nodeCounts) perFront.add(fronts, (await play(fronts, 1_000, 300, 1)).us);
      for (const fronts of [5, 10, 20, 40]) bulk.add(fronts, (await play(fronts, 20_000, 200, 1)).us);
      for (const blocksEach of [1, 4, 16, 64])
        if (repeat === 0) bytes.add(blocksEach, (await play(3, 1_000, 200, blocksEach)).bytes);
      for (const rate of [2_000, 10_000, 30_000, 60_000, 120_000]) {
        const three = await play(3, rate, 300, 1);
        share.add(rate, three.busy);
        delivered.add(rate, three.delivered);
        const alone = await play(0, rate, 300, 1);
        followerBusy.add(rate, (alone.us * rate) / 1e6);
        front.add(rate, ((await play(1, rate, 300, 1, true)).frontUs * rate) / 1e6);
      }
    }
    return [perFront, bulk, bytes, followerBusy, share, delivered, front].map((one) => one.measurement());
  });

const gossip = (): Promise<Measurement[]> =>
  withPeers(async (peers) => {
    const beat = series(
      'watch/beat-cpu',
      'any node: processor time of one beat (twice a second)',
      'ms',
      'nodes',
      fleetSize.nodes,
    );
    const lines = series(
      'watch/lines-cpu',
      'any node: processor time of one look at its lines (once a second, and at each change)',
      'ms',
      'nodes',
      fleetSize.nodes,
    );
    const bytes = series('gossip/bytes', 'one roster exchange, both ways', 'bytes', 'nodes', fleetSize.nodes);
    const cpu = series(
      'gossip/core-cpu',
      'core node: processor time a roster exchange',
      'us',
      'nodes',
      fleetSize.nodes,
    );
    const known = series(
      'gossip/known',
      'nodes that a newcomer knows after one exchange',
      'nodes',
      'nodes',
      fleetSize.nodes,
    );
    const memory = series('gossip/memory', 'any node: memory of its roster', 'bytes', 'nodes', fleetSize.nodes);
    const clock = machine.clock;
    const kept: Roster[] = [];
    for (const nodes of nodeCounts) {
      const empty = rig.heap();
      const own = rig.helloOf('counter', 0, '10.0.0.0:7100');
      const roster = new Roster(clock, () => own);
      const hellos = Array.from({ length: nodes - 1 }, (_, at) =>
        structuredClone(rig.helloOf('counter', at + 1, `10.0.${(at + 1) >> 8}.${(at + 1) & 255}:7100`)),
      );
      for (const hello of hellos) roster.heard(hello);
      kept.push(roster);
      memory.add(nodes, rig.heap() - empty);
      const ringNodes = () => roster.entries().map(({ hello }) => ({ name: hello.name, zone: hello.zone }));
      const watch = new Watch(clock, () => ({ name: own.name, zone: own.zone }), ringNodes);
      for (let repeat = 0; repeat < 6; repeat += 1) {
        const beatMs = rig.timed(nodes > 100 ? 2 : 10, () => {
          watch.watchers();
          watch.suspects();
        });
        const linesMs = rig.timed(20, () => void ring.watchersOf(own.name, ringNodes()));
        if (repeat === 0) continue;
        beat.add(nodes, beatMs / 1_000);
        lines.add(nodes, linesMs / 1_000);
      }
      const newcomer = new Roster(clock, () => rig.helloOf('counter', 9_999, '10.9.9.9:7100'));
      newcomer.merge(roster.entries());
      known.add(nodes, newcomer.entries().length);
      const core = await openCore(10, [], {
        asked: async (_coach, topic, body) => {
          if (topic !== 'roster') return null;
          roster.merge(body as RosterEntry[]);
          return roster.entries();
        },
      });
      await peers.ask({ verb: 'dial', address: core.address, from: 500, count: 1 });
      const entries = roster.entries();
      await peers.ask({ verb: 'asks', topic: 'roster', body: entries, count: 5 });
      for (let repeat = 0; repeat < 3; repeat += 1) {
        const [began, moved] = [rig.cpuUs(), core.meter.got + core.meter.sent];
        await peers.ask({ verb: 'asks', topic: 'roster', body: entries, count: 40 });
        cpu.add(nodes, (rig.cpuUs() - began) / 40);
        bytes.add(nodes, (core.meter.got + core.meter.sent - moved) / 40);
      }
      await peers.ask({ verb: 'hangUp' });
      await core.close();
    }
    return [beat, lines, bytes, cpu, known, memory].map((one) => one.measurement());
  });

const leases = async (): Promise<Measurement[]> => {
  const cpu = series(
    'leases/cpu',
    'three core nodes together: processor time of a round of renewals (each 0.4 s)',
    'ms',
    'replicas',
    fleetSize.replicas,
  );
  const bytes = series(
    'leases/bytes',
    'three core nodes together: bytes of a round of renewals',
    'bytes',
    'replicas',
    fleetSize.replicas,
  );
  const settle = series(
    'leases/settle',
    'all duties taken up after a cold start',
    'ms',
    'replicas',
    fleetSize.replicas,
  );
  for (const replicas of replicaCounts) {
    const meter = new Meter();
    const names = Array.from({ length: fleetSize.voters }, (_, at) => rig.helloOf('postmaster', at, '').incarnation);
    const books = await Promise.all(
      names.map(async () => (await leaseBooks.open(rig.disk(), machine.clock, logs.silent()))._unsafeUnwrap()),
    );
    const net = rig.metered(machine.net(null), meter);
    const addresses = await Promise.all(names.map(() => rig.freeAddress()));
    const quiet = { joined: () => {}, left: () => {}, told: () => {} };
    const listeners = await Promise.all(
      addresses.map(async (address, at) => {
        const asked = async (_coach: PeerConnection, _topic: string, body: unknown): Promise<unknown> =>
          books[at]?.book.grant(body as LeaseAsk);
        return (
          await peerConnections.listen(
            net,
            machine.clock,
            logs.silent(),
            () => rig.helloOf('postmaster', at, address),
            address,
            { ...quiet, asked },
          )
        )._unsafeUnwrap();
      }),
    );
    const wanted = rig.records(replicas).map((record) => `kv/${record.name}`);
    const held: Duties[] = [];
    const coachesHeld: PeerConnection[] = [];
    for (const [at, name] of names.entries()) {
      const lines: PeerConnection[] = [];
      for (const [other, address] of addresses.entries()) {
        if (other === at) continue;
        lines.push(
          (
            await peerConnections.dial(net, machine.clock, logs.silent(), rig.helloOf('postmaster', at, ''), address, {
              ...quiet,
              asked: async () => null,
            })
          )._unsafeUnwrap(),
        );
      }
      coachesHeld.push(...lines);
      const askAll = async (ask: LeaseAsk): Promise<LeaseReply[]> => {
        const own = books[at]?.book.grant(ask);
        const others = await Promise.all(
          lines.map(async (connection) => (await connection.ask('leaseAsk', ask, 5_000)).unwrapOr(null)),
        );
        return [await own, ...others].filter((reply) => reply !== undefined && reply !== null) as LeaseReply[];
      };
      held.push(
        new Duties(
          machine.clock,
          () => name,
          () => names,
          () => wanted,
          askAll,
          () => {},
          () => 2,
          () => {},
        ),
      );
    }
    const began = performance.now();
    const holding = (): number => held.reduce((sum, duties) => sum + duties.lines().length, 0);
    while (holding() < replicas && performance.now() - began < 8_000) {
      await Promise.all(held.map((duties) => duties.tick()));
      await rig.pauseMs(50);
    }
    settle.add(replicas, performance.now() - began);
    for (let repeat = 0; repeat < 4; repeat += 1) {
      const [cpuBegan, sent] = [rig.cpuUs(), meter.sent];
      await Promise.all(held.map((duties) => duties.tick()));
      if (repeat === 0) continue;
      cpu.add(replicas, (rig.cpuUs() - cpuBegan) / 1_000);
      bytes.add(replicas, meter.sent - sent);
    }
    for (const connection of coachesHeld) connection.close();
    for (const listener of listeners) await listener.close();
    for (const book of books) await book.close();
  }
  return [cpu, bytes, settle].map((one) => one.measurement());
};

const replicaLists = (): Promise<Measurement[]> =>
  withPeers(async (peers) => {
    const wall = series(
      'replicas/first-list',
      'core node: a first list of replicas kept on disk',
      'ms',
      'replicas',
      fleetSize.replicas,
    );
    const cpu = series(
      'replicas/list-cpu',
      'core node: processor time of a list without news',
      'ms',
      'replicas',
      fleetSize.replicas,
    );
    const bytes = series(
      'replicas/bytes',
      'the list of replicas to one front',
      'bytes',
      'replicas',
      fleetSize.replicas,
    );
    const news = series(
      'replicas/news-cpu',
      'core node: processor time to tell all fronts one record',
      'us',
      'fronts',
      fleetSize.nodes,
    );
    for (const replicas of replicaCounts) {
      for (let repeat = 0; repeat < 3; repeat += 1) {
        const table = (await replicaTables.open(rig.disk(), logs.silent()))._unsafeUnwrap();
        const records = rig.records(replicas);
        const at = performance.now();
        await table.take(records);
        wall.add(replicas, performance.now() - at);
        const began = rig.cpuUs();
        for (let look = 0; look < 10; look += 1) await table.take(records);
        cpu.add(replicas, (rig.cpuUs() - began) / 10_000);
        bytes.add(replicas, frames.pack({ f: 'tell', topic: 'replicas', body: records }).length);
        await table.close();
      }
    }
    for (const fronts of nodeCounts) {
      const core = await openCore(10, []);
      await peers.ask({ verb: 'dial', address: core.address, from: 0, count: fronts });
      await peers.ask({ verb: 'tell', topic: 'subscribe' });
      await rig.until(() => core.push.acks().length === fronts, 10_000);
      const record = rig.records(1);
      for (let repeat = 0; repeat < 4; repeat += 1) {
        const began = rig.cpuUs();
        for (let one = 0; one < 20; one += 1) core.push.tellReplicas(record);
        await rig.pauseMs(30);
        if (repeat > 0) news.add(fronts, (rig.cpuUs() - began) / 20);
      }
      await peers.ask({ verb: 'hangUp' });
      await core.close();
    }
    return [wall, cpu, bytes, news].map((one) => one.measurement());
  });

export const probes: Record<string, () => Promise<Measurement[]>> = {
  ...wayProbes,
  pings,
  pushes,
  ballots,
  claims,
  layout,
  index,
  joins,
  relays,
  gossip,
  leases,
  replicas: replicaLists,
};
