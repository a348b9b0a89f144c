import { err, ok } from 'neverthrow';
import { expect } from 'chai';
import { SimWorld } from '@martenworks/test-fleet';
import { stateMachine } from '@martenworks/core-types';
import type { CommittedState, Change, Member } from '@martenworks/core-types';
import { Proposer, acceptors, positions, proposalErrors } from '@martenworks/control-plane';
import type { Acceptor, Voters } from '@martenworks/control-plane';

const timeoutMs = 700;
const latencyMs = 1;

interface Node {
  readonly host: string;
  readonly acceptor: Acceptor;
  readonly proposer: Proposer;
}

interface Cluster {
  readonly world: SimWorld;
  readonly nodes: readonly Node[];
  /** Whether a message is delivered; by default all are. */
  isDelivered: (from: string, to: string, topic: string) => boolean;
  readonly counts: Record<string, number>;
}

const complete = async <T>(world: SimWorld, work: Promise<T>): Promise<T> => {
  let outcome: { value: T } | null = null;
  void work.then((value) => (outcome = { value }));
  await world.until('the call to complete', () => outcome !== null);
  return (outcome as unknown as { value: T }).value;
};

const hostsOf = (count: number): string[] => Array.from({ length: count }, (_, at) => `10.0.0.${at + 1}`);

/** Proposers and acceptors whose messages take `latencyMs` in each direction; calls time out after 800 ms. */
const createCluster = async (seed: number, count: number): Promise<Cluster> => {
  const world = new SimWorld(seed);
  const acceptorsByHost = new Map<string, Acceptor>();
  const counts: Record<string, number> = {};
  const cluster: { value: Cluster | null } = { value: null };
  const call = async <T>(from: string, to: string, topic: string, act: () => T | Promise<T>): Promise<T | null> => {
    counts[topic] = (counts[topic] ?? 0) + 1;
    const timeout = new Promise<null>((end) => void world.schedule(null, 800, () => end(null)));
    const reply = (async (): Promise<T> => {
      await new Promise<void>((go) => void world.schedule(null, latencyMs, go));
      if (cluster.value?.isDelivered(from, to, topic) === false) return new Promise<T>(() => {});
      const result = await act();
      await new Promise<void>((go) => void world.schedule(null, latencyMs, go));
      return cluster.value?.isDelivered(to, from, `${topic} reply`) === false ? new Promise<T>(() => {}) : result;
    })();
    return Promise.race([reply, timeout]);
  };
  const hosts = hostsOf(count);
  for (const host of hosts) {
    const { disk, clock, random, log } = world.machine(host).ports();
    acceptorsByHost.set(host, (await complete(world, acceptors.open(disk, clock, random, log)))._unsafeUnwrap());
  }
  const members = hosts.map(
    (host): Member => ({ name: host, address: host, incarnation: acceptorsByHost.get(host)?.incarnation as string }),
  );
  const proposers = new Map<string, Proposer>();
  const acceptorOf = (member: Member): Acceptor => acceptorsByHost.get(member.address) as Acceptor;
  for (const host of hosts) {
    const { clock, random, log } = world.machine(host).ports();
    const voters: Voters = {
      prepare: (member, slot, ballot) =>
        call(host, member.address, 'prepare', () => acceptorOf(member).prepare(slot, ballot)),
      accept: (member, slot, ballot, change) =>
        call(host, member.address, 'accept', () => acceptorOf(member).accept(slot, ballot, change)),
      position: (member) => call(host, member.address, 'position', () => positions.of(acceptorOf(member))),
      broadcastCommit: (committed) => {
        for (const to of hosts)
          if (to !== host) void call(host, to, 'commit', () => acceptorsByHost.get(to)?.commit(committed));
      },
      logSuffixAfter: (member, logIndex) =>
        call(host, member.address, 'log suffix', () => acceptorOf(member).logSuffixAfter(logIndex)),
      bringUpToDate: async (member, suffix) =>
        void (await call(host, member.address, 'catch up', () => proposers.get(member.address)?.applySuffix(suffix))),
    };
    proposers.set(host, new Proposer(acceptorsByHost.get(host) as Acceptor, voters, clock, random, log));
  }
  const initialState = stateMachine.initialState(members);
  for (const acceptor of acceptorsByHost.values()) await complete(world, acceptor.adopt(initialState));
  cluster.value = {
    world,
    nodes: hosts.map((host) => ({
      host,
      acceptor: acceptorsByHost.get(host) as Acceptor,
      proposer: proposers.get(host) as Proposer,
    })),
    isDelivered: () => true,
    counts,
  };
  return cluster.value;
};

const revocation = (id: string, digest: string, keyHash = digest): Change => ({
  id,
  digest,
  body: { kind: 'revoke', keyHash },
});

const propose = (node: Node | undefined, change: Change): ReturnType<Proposer['propose']> =>
  (node as Node).proposer.propose(() => ok(change), change.id, change.digest, timeoutMs);

const proposeConflict = (node: Node | undefined, id: string): ReturnType<Proposer['propose']> =>
  (node as Node).proposer.propose(
    ({ configLogIndex }) => err(proposalErrors.conflict(configLogIndex, 'rejected')),
    id,
    id,
    timeoutMs,
  );

const stateOf = (node: Node | undefined): CommittedState => (node as Node).acceptor.committedState() as CommittedState;

describe('the proposer', () => {
  it('given one change id used for two concurrent changes, when one is chosen, then only that one is confirmed', async () => {
    for (let seed = 1; seed <= 20; seed += 1) {
      const cluster = await createCluster(seed, 3);
      const { world, nodes } = cluster;
      if (seed % 2 === 0) cluster.isDelivered = (from, _, topic) => !(from === '10.0.0.1' && topic === 'commit');
      const first = propose(nodes[0], revocation('shared', 'one'));
      await world.run(seed * 0.4);
      const outcomes = await complete(world, Promise.all([first, propose(nodes[1], revocation('shared', 'two'))]));
      const confirmed = outcomes.filter((outcome) => outcome.isOk());
      expect(confirmed.length, `seed ${seed}: ${JSON.stringify(outcomes)}`).to.equal(1);
      const digest = outcomes[0]?.isOk() === true ? 'one' : 'two';
      expect(stateOf(nodes[1]).changeIds.shared?.digest).to.equal(digest);
    }
  });

  it('given no pending change, when a node serves a linearizable read or rejects a change, then nothing is written and no ballot is run', async () => {
    const { world, nodes, counts } = await createCluster(2, 5);
    (await complete(world, propose(nodes[0], revocation('a', 'a'))))._unsafeUnwrap();
    await world.run(50);
    const before = nodes.map(({ host }) => world.machine(host).disk.syncs);
    const ballotsBefore = counts.prepare;
    const states = await complete(
      world,
      Promise.all(nodes.map(({ proposer }) => proposer.linearizableRead(timeoutMs))),
    );
    expect(states.map((state) => state?.logIndex)).to.deep.equal([1, 1, 1, 1, 1]);
    const outcome = await complete(world, proposeConflict(nodes[3], 'b'));
    expect(outcome._unsafeUnwrapErr().code).to.equal('conflict');
    expect(nodes.map(({ host }) => world.machine(host).disk.syncs)).to.deep.equal(before);
    expect(counts.prepare).to.equal(ballotsBefore);
  });

  it('given a change that a majority accepted but that is not committed, when another node serves a read or rejects a change, then it commits the pending change first', async () => {
    for (const trigger of ['read', 'rejection'] as const) {
      const cluster = await createCluster(3, 5);
      const { world, nodes } = cluster;
      cluster.isDelivered = (from, _, topic) => !(from === '10.0.0.1' && topic === 'commit');
      expect((await complete(world, propose(nodes[0], revocation('a', 'a')))).isOk()).to.equal(true);
      expect(stateOf(nodes[4]).logIndex).to.equal(0);
      cluster.isDelivered = (from, to) => from !== '10.0.0.1' && to !== '10.0.0.1';
      if (trigger === 'read') await complete(world, nodes[4]?.proposer.linearizableRead(timeoutMs) as Promise<unknown>);
      else await complete(world, proposeConflict(nodes[4], 'b'));
      expect(stateOf(nodes[4]).changeIds.a?.digest).to.equal('a');
    }
  });

  it('given replies that a majority sent before the call, when a node reads, then they are not counted', async () => {
    const cluster = await createCluster(4, 3);
    const { world, nodes } = cluster;
    const firstRead = nodes[0]?.proposer.linearizableRead(timeoutMs) as Promise<CommittedState | null>;
    await complete(world, firstRead);
    cluster.isDelivered = (from, to) => from !== '10.0.0.1' && to !== '10.0.0.1';
    expect((await complete(world, propose(nodes[1], revocation('a', 'a')))).isOk()).to.equal(true);
    expect(await complete(world, nodes[0]?.proposer.linearizableRead(timeoutMs) as Promise<unknown>)).to.equal(null);
  });

  it('given a partition that starts at any message of a proposal, when the caller is answered, then "unavailable" is returned only if no acceptor has the change, then or later', async () => {
    for (let seed = 0; seed < 60; seed += 1) {
      const cluster = await createCluster(100 + seed, seed % 2 === 0 ? 3 : 5);
      const { world, nodes } = cluster;
      let remaining = seed % 30;
      cluster.isDelivered = (from, to) => from === to || remaining-- > 0;
      const startedAt = world.time;
      const outcome = await complete(world, propose(nodes[0], revocation('a', 'a')));
      expect(world.time - startedAt).to.be.lessThan(timeoutMs + 30);
      if (outcome.isOk()) continue;
      expect(outcome.error.code).to.be.oneOf(['unavailable', 'unknown']);
      cluster.isDelivered = () => true;
      await world.run(5_000);
      await complete(world, Promise.all(nodes.map(({ proposer }) => proposer.linearizableRead(timeoutMs))));
      const wasCommitted = nodes.some((node) => stateOf(node).changeIds.a !== undefined);
      if (wasCommitted) expect(outcome.error.code, `seed ${seed}`).to.equal('unknown');
    }
  });

  it('given a queue of proposals, when waiting ones are answered "unavailable", then they are never proposed afterwards', async () => {
    const cluster = await createCluster(5, 3);
    const { world, nodes } = cluster;
    for (const { host } of nodes) world.machine(host).disk.faults.delayMs = 200;
    const changes = Array.from({ length: 8 }, (_, at) => revocation(`c${at}`, `c${at}`));
    const outcomes = await complete(world, Promise.all(changes.map((change) => propose(nodes[0], change))));
    for (const { host } of nodes) world.machine(host).disk.faults.delayMs = 0;
    await world.run(10_000);
    const unavailable = changes.filter((_, at) => {
      const outcome = outcomes[at];
      return outcome?.isErr() === true && outcome.error.code === 'unavailable';
    });
    expect(unavailable.length).to.be.greaterThan(3);
    for (const { id } of unavailable)
      expect(nodes.map((node) => stateOf(node).changeIds[id])).to.deep.equal([undefined, undefined, undefined]);
  });
});
