import { expect } from 'chai';
import { err, ok } from 'neverthrow';
import { stateMachine } from '@martenworks/core-types';
import type { Change, Route, RoutingTable } from '@martenworks/core-types';
import { CatchUp, acceptors, catchUpTopics, pageBytes } from '@martenworks/control-plane';
import type { Acceptor, Page } from '@martenworks/control-plane';
import type { PeerConnection } from '@martenworks/peer-transport';
import { SimWorld } from '@martenworks/test-fleet';
import type { SimMachine } from '@martenworks/test-fleet';

const finish = async <T>(world: SimWorld, work: Promise<T>): Promise<T> => {
  const held: { value: T }[] = [];
  void work.then((value) => held.push({ value }));
  await world.until('a call', () => held.length > 0, 120_000);
  return (held[0] as { value: T }).value;
};

const route = (at: number, configVersion: number): Route => ({
  name: `way-${at}`,
  host: 'example.org',
  pathPrefix: `/${(at * 7_919 + configVersion) % 1_000_003}/${(at * 104_729) % 999_983}/`,
  kind: 'repeatable',
  timeoutMs: 2_000,
  latencyTargetMs: 500,
  rank: 1,
  shares: [{ pool: 'main', share: 1 }],
  maxAttempts: 2,
  isPublic: false,
  isResumable: false,
  maxEventGapMs: null,
});

const routingChange = (configVersion: number, count: number): Change => {
  const routingTable: RoutingTable = {
    routes: Array.from({ length: count }, (_, at) => route(at, configVersion)),
    pools: [],
    stores: [],
    customers: null,
    limits: { headerBytes: 1, bodyBytes: 1, headerMs: 1, idleMs: 1 },
  };
  return {
    id: `ways/${configVersion}`,
    digest: String(configVersion),
    body: {
      kind: 'routing',
      base: configVersion - 1,
      routing: { configVersion, table: routingTable, source: JSON.stringify(routingTable) },
    },
  };
};

interface Traffic {
  bytes: number;
  pages: number;
  largest: number;
  open: number;
  mostOpen: number;
  offsets: number[];
}

interface Member {
  readonly machine: SimMachine;
  readonly acceptor: Acceptor;
}

/** A network of direct calls between members, which counts what crosses it. */
const stage = async (count: number) => {
  const world = new SimWorld(17);
  const members: Member[] = [];
  for (let at = 0; at < count; at += 1) {
    const machine = world.machine(`10.0.0.${at + 1}`);
    const { disk, clock, random, log } = machine.ports();
    members.push({
      machine,
      acceptor: (await finish(world, acceptors.open(disk, clock, random, log)))._unsafeUnwrap(),
    });
  }
  const founded = stateMachine.initialState(
    members.map(({ acceptor }, at) => ({ name: `m${at}`, address: `m${at}:1`, incarnation: acceptor.incarnation })),
  );
  for (const { acceptor } of members) await finish(world, acceptor.adopt(founded));
  const traffic: Traffic = { bytes: 0, pages: 0, largest: 0, open: 0, mostOpen: 0, offsets: [] };
  const rules = { breaks: (_source: number, _page: number): boolean => false, onPage: async (): Promise<void> => {} };
  const catchUps = members.map(({ acceptor, machine }) => {
    const { clock, log } = machine.ports();
    return new CatchUp(
      acceptor,
      () => peers.filter((peer) => peer.peer?.incarnation !== acceptor.incarnation),
      clock,
      log,
    );
  });
  const peers: PeerConnection[] = members.map(
    ({ acceptor }, at) =>
      ({
        peer: { incarnation: acceptor.incarnation, role: 'control' },
        call: async (topic: string, body: unknown) => {
          if (topic !== catchUpTopics.page)
            return ok(await catchUps[at]?.answer(peers[at] as PeerConnection, topic, body));
          traffic.open += 1;
          traffic.mostOpen = Math.max(traffic.mostOpen, traffic.open);
          traffic.pages += 1;
          const isBroken = rules.breaks(at, traffic.pages);
          await new Promise<void>((wake) => void world.schedule(null, 1, wake));
          traffic.open -= 1;
          if (isBroken) return err({ kind: 'peer', code: 'closed' });
          await rules.onPage();
          const page = (await catchUps[at]?.answer(peers[at] as PeerConnection, topic, body)) as Page | null;
          if (page !== null) {
            traffic.bytes += page.bytes.length;
            traffic.largest = Math.max(traffic.largest, page.bytes.length);
            traffic.offsets.push(page.offset);
          }
          return ok(page);
        },
      }) as unknown as PeerConnection,
  );
  const settle = async (at: number, logIndex: number, change: Change): Promise<void> =>
    void (await finish(world, (members[at] as Member).acceptor.commit({ logIndex, change })));
  return { world, members, catchUps: catchUps as [CatchUp, ...CatchUp[]], peers, traffic, rules, settle };
};

describe('a transfer of the agreed state', () => {
  it('given a member that missed 1, 12 or 300 changes of 2,000 routes, when it catches up, then it costs no more than the newest state, in pages of a bounded size, one on the way at a time', async () => {
    const bytes: number[] = [];
    for (const missed of [1, 12, 300]) {
      const { world, members, catchUps, traffic, settle } = await stage(2);
      for (let configVersion = 1; configVersion <= missed; configVersion += 1)
        await settle(1, configVersion, routingChange(configVersion, 2_000));
      await finish(world, Promise.all([catchUps[0].step(), catchUps[0].step(), catchUps[0].step()]));
      expect(members[0]?.acceptor.agreed()).to.deep.equal(members[1]?.acceptor.agreed());
      expect(traffic.largest).to.be.at.most(pageBytes);
      expect(traffic.mostOpen).to.equal(1);
      bytes.push(traffic.bytes);
    }
    expect(Math.max(...bytes)).to.be.lessThan((bytes[0] as number) * 1.2);
  });

  it('given a transfer that breaks at each of its pages in turn, when it is tried again at whichever source, then it goes on where it stopped and no page is sent twice', async () => {
    const { world, members, catchUps, traffic, rules, settle } = await stage(3);
    for (const at of [1, 2])
      for (let configVersion = 1; configVersion <= 3; configVersion += 1)
        await settle(at, configVersion, routingChange(configVersion, 12_000));
    rules.breaks = (_, page) => page % 2 === 0;
    for (let tries = 0; tries < 60 && members[0]?.acceptor.agreed()?.logIndex !== 3; tries += 1)
      await finish(world, catchUps[0].step());
    expect(members[0]?.acceptor.agreed()).to.deep.equal(members[1]?.acceptor.agreed());
    expect(traffic.offsets.length).to.be.greaterThan(3);
    expect(traffic.offsets).to.deep.equal(traffic.offsets.map((_, at) => at * pageBytes));
  });

  it('given a source that dies for good in the midst of a transfer, when another holds the same state, then the rest comes from that one', async () => {
    const { world, members, catchUps, traffic, rules, settle } = await stage(3);
    for (const at of [1, 2]) await settle(at, 1, routingChange(1, 12_000));
    const dead = new Set<number>();
    rules.breaks = (source, page) => {
      if (page === 3) dead.add(source);
      return dead.has(source);
    };
    for (let tries = 0; tries < 4; tries += 1) await finish(world, catchUps[0].step());
    expect(members[0]?.acceptor.agreed()?.logIndex).to.equal(1);
    expect(traffic.offsets).to.deep.equal(traffic.offsets.map((_, at) => at * pageBytes));
  });

  it('given a change with every second page, when a member catches up meanwhile, then the transfer that it began stays whole and the newest is reached', async () => {
    const { world, members, catchUps, rules, settle } = await stage(2);
    await settle(1, 1, routingChange(1, 4_000));
    let logIndex = 1;
    let pages = 0;
    rules.onPage = async () => {
      pages += 1;
      if (pages % 2 !== 0 || logIndex >= 20) return;
      logIndex += 1;
      await members[1]?.acceptor.commit({ logIndex, change: routingChange(logIndex, 4_000) });
    };
    for (let tries = 0; tries < 6; tries += 1) await finish(world, catchUps[0].step());
    expect(members[0]?.acceptor.agreed()?.logIndex).to.equal(20);
    expect(members[0]?.acceptor.agreed()).to.deep.equal(members[1]?.acceptor.agreed());
  });

  it('given a member whose disk is full, when it catches up, then nothing is held for settled, nothing is sent again meanwhile, and with room it takes the transfer it has', async () => {
    const { world, members, catchUps, traffic, settle } = await stage(2);
    await settle(1, 1, routingChange(1, 2_000));
    const disk = (members[0] as Member).machine.disk;
    disk.faults.isFull = true;
    await finish(world, catchUps[0].step());
    const sent = traffic.bytes;
    for (let tries = 0; tries < 5; tries += 1) await finish(world, catchUps[0].step());
    expect(members[0]?.acceptor.agreed()?.logIndex).to.equal(0);
    expect(traffic.bytes).to.equal(sent);
    disk.faults.isFull = false;
    await finish(world, catchUps[0].step());
    expect(members[0]?.acceptor.agreed()?.logIndex).to.equal(1);
    expect(traffic.bytes).to.equal(sent);
  });

  it('given a change that was accepted and then settled, when its log is read again, then it is kept once, compressed, and the state is the same', async () => {
    const { world, members, settle } = await stage(1);
    const [one] = members as [Member];
    const sizeOf = (): number =>
      [...one.machine.disk.files.values()].reduce((sum, held) => sum + held.synced.length, 0);
    const before = sizeOf();
    const change = routingChange(1, 2_000);
    await finish(world, one.acceptor.accept(1, [1, 'a'], change));
    const accepted = sizeOf() - before;
    expect(accepted).to.be.lessThan(JSON.stringify(change).length / 4);
    await settle(0, 1, change);
    expect(sizeOf() - before - accepted).to.be.lessThan(200);
    const { disk, clock, random, log } = one.machine.ports();
    const again = (await finish(world, acceptors.open(disk, clock, random, log)))._unsafeUnwrap();
    expect(again.agreed()).to.deep.equal(one.acceptor.agreed());
    expect(again.agreed()?.routing?.configVersion).to.equal(1);
  });
});
