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
  const results: { value: T }[] = [];
  void work.then((value) => results.push({ value }));
  await world.until('the call to complete', () => results.length > 0, 120_000);
  return (results[0] as { value: T }).value;
};

const route = (index: number, configVersion: number): Route => ({
  name: `way-${index}`,
  host: 'example.org',
  pathPrefix: `/${(index * 7_919 + configVersion) % 1_000_003}/${(index * 104_729) % 999_983}/`,
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
  largestPage: number;
  openRequests: number;
  maxOpen: number;
  offsets: number[];
}

interface TestMember {
  readonly machine: SimMachine;
  readonly acceptor: Acceptor;
}

/** Members that call each other directly; the traffic between them is counted, and pages can be made to fail. */
const createMembers = async (count: number) => {
  const world = new SimWorld(17);
  const members: TestMember[] = [];
  for (let at = 0; at < count; at += 1) {
    const machine = world.machine(`10.0.0.${at + 1}`);
    const { disk, clock, random, log } = machine.ports();
    members.push({
      machine,
      acceptor: (await finish(world, acceptors.open(disk, clock, random, log)))._unsafeUnwrap(),
    });
  }
  const initialState = stateMachine.initialState(
    members.map(({ acceptor }, at) => ({ name: `m${at}`, address: `m${at}:1`, incarnation: acceptor.incarnation })),
  );
  for (const { acceptor } of members) await finish(world, acceptor.adopt(initialState));
  const traffic: Traffic = { bytes: 0, pages: 0, largestPage: 0, openRequests: 0, maxOpen: 0, offsets: [] };
  const rules = { fails: (_source: number, _page: number): boolean => false, onPage: async (): Promise<void> => {} };
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
            return ok(await catchUps[at]?.handleRequest(peers[at] as PeerConnection, topic, body));
          traffic.openRequests += 1;
          traffic.maxOpen = Math.max(traffic.maxOpen, traffic.openRequests);
          traffic.pages += 1;
          const isFailed = rules.fails(at, traffic.pages);
          await new Promise<void>((wake) => void world.schedule(null, 1, wake));
          traffic.openRequests -= 1;
          if (isFailed) return err({ kind: 'peer', code: 'closed' });
          await rules.onPage();
          const page = (await catchUps[at]?.handleRequest(peers[at] as PeerConnection, topic, body)) as Page | null;
          if (page !== null) {
            traffic.bytes += page.bytes.length;
            traffic.largestPage = Math.max(traffic.largestPage, page.bytes.length);
            traffic.offsets.push(page.offset);
          }
          return ok(page);
        },
      }) as unknown as PeerConnection,
  );
  const commit = async (at: number, logIndex: number, change: Change): Promise<void> =>
    void (await finish(world, (members[at] as TestMember).acceptor.commit({ logIndex, change })));
  return { world, members, catchUps: catchUps as [CatchUp, ...CatchUp[]], peers, traffic, rules, commit };
};

describe('catch-up by state transfer', () => {
  it('given a member that missed 1, 12 or 300 changes of 2,000 routes, when it catches up, then it receives about as many bytes as the newest state alone has, in pages of bounded size, with one request in flight at a time', async () => {
    const bytes: number[] = [];
    for (const missed of [1, 12, 300]) {
      const { world, members, catchUps, traffic, commit } = await createMembers(2);
      for (let configVersion = 1; configVersion <= missed; configVersion += 1)
        await commit(1, configVersion, routingChange(configVersion, 2_000));
      await finish(
        world,
        Promise.all([catchUps[0].fromNewestPeer(), catchUps[0].fromNewestPeer(), catchUps[0].fromNewestPeer()]),
      );
      expect(members[0]?.acceptor.committedState()).to.deep.equal(members[1]?.acceptor.committedState());
      expect(traffic.largestPage).to.be.at.most(pageBytes);
      expect(traffic.maxOpen).to.equal(1);
      bytes.push(traffic.bytes);
    }
    expect(Math.max(...bytes)).to.be.lessThan((bytes[0] as number) * 1.2);
  });

  it('given a transfer in which every second request fails, when it is retried with any source, then it resumes where it stopped and no page is sent twice', async () => {
    const { world, members, catchUps, traffic, rules, commit } = await createMembers(3);
    for (const at of [1, 2])
      for (let configVersion = 1; configVersion <= 3; configVersion += 1)
        await commit(at, configVersion, routingChange(configVersion, 12_000));
    rules.fails = (_, page) => page % 2 === 0;
    for (let tries = 0; tries < 60 && members[0]?.acceptor.committedState()?.logIndex !== 3; tries += 1)
      await finish(world, catchUps[0].fromNewestPeer());
    expect(members[0]?.acceptor.committedState()).to.deep.equal(members[1]?.acceptor.committedState());
    expect(traffic.offsets.length).to.be.greaterThan(3);
    expect(traffic.offsets).to.deep.equal(traffic.offsets.map((_, at) => at * pageBytes));
  });

  it('given a source that fails permanently during a transfer, when another source has the same state, then the remaining pages come from that source', async () => {
    const { world, members, catchUps, traffic, rules, commit } = await createMembers(3);
    for (const at of [1, 2]) await commit(at, 1, routingChange(1, 12_000));
    const dead = new Set<number>();
    rules.fails = (source, page) => {
      if (page === 3) dead.add(source);
      return dead.has(source);
    };
    for (let tries = 0; tries < 4; tries += 1) await finish(world, catchUps[0].fromNewestPeer());
    expect(members[0]?.acceptor.committedState()?.logIndex).to.equal(1);
    expect(traffic.offsets).to.deep.equal(traffic.offsets.map((_, at) => at * pageBytes));
  });

  it('given a change committed after every second page, when a member catches up meanwhile, then its transfer completes and it reaches the newest state', async () => {
    const { world, members, catchUps, rules, commit } = await createMembers(2);
    await commit(1, 1, routingChange(1, 4_000));
    let logIndex = 1;
    let pages = 0;
    rules.onPage = async () => {
      pages += 1;
      if (pages % 2 !== 0 || logIndex >= 20) return;
      logIndex += 1;
      await members[1]?.acceptor.commit({ logIndex, change: routingChange(logIndex, 4_000) });
    };
    for (let tries = 0; tries < 6; tries += 1) await finish(world, catchUps[0].fromNewestPeer());
    expect(members[0]?.acceptor.committedState()?.logIndex).to.equal(20);
    expect(members[0]?.acceptor.committedState()).to.deep.equal(members[1]?.acceptor.committedState());
  });

  it('given a member whose disk is full, when it catches up, then nothing counts as committed, no page is sent again, and it applies the received transfer once the disk has space', async () => {
    const { world, members, catchUps, traffic, commit } = await createMembers(2);
    await commit(1, 1, routingChange(1, 2_000));
    const disk = (members[0] as TestMember).machine.disk;
    disk.faults.isFull = true;
    await finish(world, catchUps[0].fromNewestPeer());
    const sent = traffic.bytes;
    for (let tries = 0; tries < 5; tries += 1) await finish(world, catchUps[0].fromNewestPeer());
    expect(members[0]?.acceptor.committedState()?.logIndex).to.equal(0);
    expect(traffic.bytes).to.equal(sent);
    disk.faults.isFull = false;
    await finish(world, catchUps[0].fromNewestPeer());
    expect(members[0]?.acceptor.committedState()?.logIndex).to.equal(1);
    expect(traffic.bytes).to.equal(sent);
  });

  it('given a change that was accepted and then committed, when its log is reopened, then the change was stored only once, compressed, and the state is the same', async () => {
    const { world, members, commit } = await createMembers(1);
    const [member] = members as [TestMember];
    const sizeOf = (): number =>
      [...member.machine.disk.files.values()].reduce((sum, file) => sum + file.synced.length, 0);
    const before = sizeOf();
    const change = routingChange(1, 2_000);
    await finish(world, member.acceptor.accept(1, [1, 'a'], change));
    const accepted = sizeOf() - before;
    expect(accepted).to.be.lessThan(JSON.stringify(change).length / 4);
    await commit(0, 1, change);
    expect(sizeOf() - before - accepted).to.be.lessThan(200);
    const { disk, clock, random, log } = member.machine.ports();
    const reopened = (await finish(world, acceptors.open(disk, clock, random, log)))._unsafeUnwrap();
    expect(reopened.committedState()).to.deep.equal(member.acceptor.committedState());
    expect(reopened.committedState()?.routing?.configVersion).to.equal(1);
  });
});
