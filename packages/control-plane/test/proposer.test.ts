import { err, ok } from 'neverthrow';
import { expect } from 'chai';
import { SimWorld } from '@martenworks/test-fleet';
import { stateMachine } from '@martenworks/core-types';
import type { CommittedState, Change, Member } from '@martenworks/core-types';
import { Proposer, acceptors, positions, proposalErrors } from '@martenworks/control-plane';
import type { Acceptor, Voters } from '@martenworks/control-plane';

const timeoutMs = 700;
const hopMs = 1;

interface Node {
  readonly host: string;
  readonly acceptor: Acceptor;
  readonly proposer: Proposer;
}

interface Cluster {
  readonly world: SimWorld;
  readonly nodes: readonly Node[];
  /** Messages that this lets through are delivered; by default all. */
  passes: (from: string, to: string, topic: string) => boolean;
  readonly counts: Record<string, number>;
}

const done = async <T>(world: SimWorld, work: Promise<T>): Promise<T> => {
  let outcome: { value: T } | null = null;
  void work.then((value) => (outcome = { value }));
  await world.until('a call', () => outcome !== null);
  return (outcome as unknown as { value: T }).value;
};

const hostsOf = (count: number): string[] => Array.from({ length: count }, (_, at) => `10.0.0.${at + 1}`);

/** Real proposers and acceptors, with messages that take `hopMs` each way and calls that end after 800 ms. */
const cluster = async (seed: number, count: number): Promise<Cluster> => {
  const world = new SimWorld(seed);
  const held = new Map<string, Acceptor>();
  const counts: Record<string, number> = {};
  const built: { value: Cluster | null } = { value: null };
  const call = async <T>(from: string, to: string, topic: string, act: () => T | Promise<T>): Promise<T | null> => {
    counts[topic] = (counts[topic] ?? 0) + 1;
    const late = new Promise<null>((end) => void world.schedule(null, 800, () => end(null)));
    const reply = (async (): Promise<T> => {
      await new Promise<void>((go) => void world.schedule(null, hopMs, go));
      if (built.value?.passes(from, to, topic) === false) return new Promise<T>(() => {});
      const told = await act();
      await new Promise<void>((go) => void world.schedule(null, hopMs, go));
      return built.value?.passes(to, from, `${topic} reply`) === false ? new Promise<T>(() => {}) : told;
    })();
    return Promise.race([reply, late]);
  };
  const hosts = hostsOf(count);
  for (const host of hosts) {
    const { disk, clock, random, log } = world.machine(host).ports();
    held.set(host, (await done(world, acceptors.open(disk, clock, random, log)))._unsafeUnwrap());
  }
  const members = hosts.map(
    (host): Member => ({ name: host, address: host, incarnation: held.get(host)?.incarnation as string }),
  );
  const proposers = new Map<string, Proposer>();
  const at = (member: Member): Acceptor => held.get(member.address) as Acceptor;
  for (const host of hosts) {
    const { clock, random, log } = world.machine(host).ports();
    const voters: Voters = {
      prepare: (member, slot, ballot) => call(host, member.address, 'prepare', () => at(member).prepare(slot, ballot)),
      accept: (member, slot, ballot, change) =>
        call(host, member.address, 'accept', () => at(member).accept(slot, ballot, change)),
      position: (member) => call(host, member.address, 'position', () => positions.of(at(member))),
      commit: (committed) => {
        for (const to of hosts) if (to !== host) void call(host, to, 'settle', () => held.get(to)?.commit(committed));
      },
      since: (member, logIndex) => call(host, member.address, 'since', () => at(member).since(logIndex)),
      supply: async (member, since) =>
        void (await call(host, member.address, 'supply', () => proposers.get(member.address)?.learn(since))),
    };
    proposers.set(host, new Proposer(held.get(host) as Acceptor, voters, clock, random, log));
  }
  const founded = stateMachine.initialState(members);
  for (const acceptor of held.values()) await done(world, acceptor.adopt(founded));
  built.value = {
    world,
    nodes: hosts.map((host) => ({
      host,
      acceptor: held.get(host) as Acceptor,
      proposer: proposers.get(host) as Proposer,
    })),
    passes: () => true,
    counts,
  };
  return built.value;
};

const revoked = (id: string, digest: string, keyHash = digest): Change => ({
  id,
  digest,
  body: { kind: 'revoke', keyHash },
});

const propose = (node: Node | undefined, change: Change): ReturnType<Proposer['propose']> =>
  (node as Node).proposer.propose(() => ok(change), change.id, change.digest, timeoutMs);

const refuse = (node: Node | undefined, id: string): ReturnType<Proposer['propose']> =>
  (node as Node).proposer.propose(
    ({ configLogIndex }) => err(proposalErrors.conflict(configLogIndex, 'refused')),
    id,
    id,
    timeoutMs,
  );

const stateOf = (node: Node | undefined): CommittedState => (node as Node).acceptor.agreed() as CommittedState;

describe('the proposer', () => {
  it('given one change id used for two changes at once, when one is decided, then only that one is confirmed', async () => {
    for (let seed = 1; seed <= 20; seed += 1) {
      const built = await cluster(seed, 3);
      const { world, nodes } = built;
      if (seed % 2 === 0) built.passes = (from, _, topic) => !(from === '10.0.0.1' && topic === 'settle');
      const first = propose(nodes[0], revoked('shared', 'one'));
      await world.run(seed * 0.4);
      const outcomes = await done(world, Promise.all([first, propose(nodes[1], revoked('shared', 'two'))]));
      const confirmed = outcomes.filter((outcome) => outcome.isOk());
      expect(confirmed.length, `seed ${seed}: ${JSON.stringify(outcomes)}`).to.equal(1);
      const digest = outcomes[0]?.isOk() === true ? 'one' : 'two';
      expect(stateOf(nodes[1]).changeIds.shared?.digest).to.equal(digest);
    }
  });

  it('given nothing undecided, when a node confirms its state or refuses an order, then nothing is written and no ballot is held', async () => {
    const { world, nodes, counts } = await cluster(2, 5);
    (await done(world, propose(nodes[0], revoked('a', 'a'))))._unsafeUnwrap();
    await world.run(50);
    const before = nodes.map(({ host }) => world.machine(host).disk.syncs);
    const ballotsBefore = counts.prepare;
    const states = await done(world, Promise.all(nodes.map(({ proposer }) => proposer.confirm(timeoutMs))));
    expect(states.map((state) => state?.logIndex)).to.deep.equal([1, 1, 1, 1, 1]);
    const outcome = await done(world, refuse(nodes[3], 'b'));
    expect(outcome._unsafeUnwrapErr().code).to.equal('conflict');
    expect(nodes.map(({ host }) => world.machine(host).disk.syncs)).to.deep.equal(before);
    expect(counts.prepare).to.equal(ballotsBefore);
  });

  it('given a value that a majority accepted and nobody settled, when another node is read or refuses, then it settles that value first', async () => {
    for (const asks of ['read', 'refusal'] as const) {
      const built = await cluster(3, 5);
      const { world, nodes } = built;
      built.passes = (from, _, topic) => !(from === '10.0.0.1' && topic === 'settle');
      expect((await done(world, propose(nodes[0], revoked('a', 'a')))).isOk()).to.equal(true);
      expect(stateOf(nodes[4]).logIndex).to.equal(0);
      built.passes = (from, to) => from !== '10.0.0.1' && to !== '10.0.0.1';
      if (asks === 'read') await done(world, nodes[4]?.proposer.confirm(timeoutMs) as Promise<unknown>);
      else await done(world, refuse(nodes[4], 'b'));
      expect(stateOf(nodes[4]).changeIds.a?.digest).to.equal('a');
    }
  });

  it('given replies of a majority that were sent before the call, when a node reads, then they count for nothing', async () => {
    const built = await cluster(4, 3);
    const { world, nodes } = built;
    const early = nodes[0]?.proposer.confirm(timeoutMs) as Promise<CommittedState | null>;
    await done(world, early);
    built.passes = (from, to) => from !== '10.0.0.1' && to !== '10.0.0.1';
    expect((await done(world, propose(nodes[1], revoked('a', 'a')))).isOk()).to.equal(true);
    expect(await done(world, nodes[0]?.proposer.confirm(timeoutMs) as Promise<unknown>)).to.equal(null);
  });

  it('given a cut at any message of an order, when its caller is answered, then "unavailable" is told only if no acceptor holds the value, then or later', async () => {
    for (let seed = 0; seed < 60; seed += 1) {
      const built = await cluster(100 + seed, seed % 2 === 0 ? 3 : 5);
      const { world, nodes } = built;
      let left = seed % 30;
      built.passes = (from, to) => from === to || left-- > 0;
      const begin = world.time;
      const outcome = await done(world, propose(nodes[0], revoked('a', 'a')));
      expect(world.time - begin).to.be.lessThan(timeoutMs + 30);
      if (outcome.isOk()) continue;
      expect(outcome.error.code).to.be.oneOf(['unavailable', 'unknown']);
      built.passes = () => true;
      await world.run(5_000);
      await done(world, Promise.all(nodes.map(({ proposer }) => proposer.confirm(timeoutMs))));
      const wasTaken = nodes.some((node) => stateOf(node).changeIds.a !== undefined);
      if (wasTaken) expect(outcome.error.code, `seed ${seed}`).to.equal('unknown');
    }
  });

  it('given many orders before one that waits, when the waiting ones are answered "unavailable", then they are never offered afterwards', async () => {
    const built = await cluster(5, 3);
    const { world, nodes } = built;
    for (const { host } of nodes) world.machine(host).disk.faults.delayMs = 200;
    const changes = Array.from({ length: 8 }, (_, at) => revoked(`c${at}`, `c${at}`));
    const outcomes = await done(world, Promise.all(changes.map((change) => propose(nodes[0], change))));
    for (const { host } of nodes) world.machine(host).disk.faults.delayMs = 0;
    await world.run(10_000);
    const refused = changes.filter((_, at) => {
      const outcome = outcomes[at];
      return outcome?.isErr() === true && outcome.error.code === 'unavailable';
    });
    expect(refused.length).to.be.greaterThan(3);
    for (const { id } of refused)
      expect(nodes.map((node) => stateOf(node).changeIds[id])).to.deep.equal([undefined, undefined, undefined]);
  });
});
