import { expect } from 'chai';
import { LeaseTable, hashRing } from '@martenworks/cluster-membership';
import { InvariantChecker, SimFleet, SimWorld } from '@martenworks/test-fleet';

const followersOf = (fleet: SimFleet, replica: string): number[] =>
  fleet.controlNodes.flatMap((controlNode, at) =>
    controlNode !== null &&
    !fleet.machineOf('control', at).isFrozen &&
    controlNode.leaseManager.fencingTokenOf(`kv/${replica}`) !== null
      ? [at]
      : [],
  );

const startedFleet = async (seed: number, gatewayCount = 6, replicaCount = 4): Promise<SimFleet> => {
  const fleet = new SimFleet({ seed, gatewayCount, replicaCount });
  await fleet.up();
  await fleet.world.run(6_000);
  return fleet;
};

const downVerdicts = (fleet: SimFleet, node: string): boolean[] =>
  fleet.controlNodes.flatMap((controlNode) => (controlNode === null ? [] : [controlNode.failureVerdicts.isDown(node)]));

describe('failure detection', () => {
  it('given a ring of twelve nodes in three zones, when watchers are assigned, then each node has three in other zones, and the loss of one node changes few assignments', () => {
    const nodes = Array.from({ length: 12 }, (_, at) => ({ name: `node-${at}`, zone: 'abc'[at % 3] as string }));
    let moved = 0;
    for (const node of nodes) {
      const watchers = hashRing.watchersOf(node.name, nodes);
      expect(new Set(watchers).size).to.equal(3);
      for (const watcher of watchers) expect(nodes.find((one) => one.name === watcher)?.zone).to.not.equal(node.zone);
      const after = hashRing.watchersOf(
        node.name,
        nodes.filter((one) => one.name !== 'node-0'),
      );
      moved += after.filter((name) => !watchers.includes(name)).length;
    }
    expect(moved).to.be.lessThan(8);
  });

  it('given gateways that are killed, when their heartbeats stop, then at least two control nodes count them as down within 4.5 seconds, and as up again once they return', async () => {
    const fleet = await startedFleet(41);
    const detectionMs: number[] = [];
    for (const at of [0, 2, 4]) {
      fleet.killGateway(at);
      detectionMs.push(
        await fleet.world.until(
          'the verdict',
          () => downVerdicts(fleet, `counter-${at + 1}`).filter(Boolean).length >= 2,
          6_000,
        ),
      );
      await fleet.bootGateway(at);
      await fleet.world.until(
        'the verdict cleared',
        () => downVerdicts(fleet, `counter-${at + 1}`).every((isDown) => !isDown),
        6_000,
      );
    }
    expect(Math.max(...detectionMs)).to.be.lessThan(4_500);
  });

  it('given slow links, disconnected links and short freezes, when no node has failed, then no gateway counts as down', async () => {
    const fleet = await startedFleet(42);
    const names = fleet.gatewayHosts.map((_, at) => `counter-${at + 1}`);
    let falseAlarms = 0;
    for (let round = 0; round < 30; round += 1) {
      const hosts = [...fleet.gatewayHosts, ...fleet.controlNodeHosts];
      const pick = (): string => hosts[Math.floor(fleet.world.random() * hosts.length)] as string;
      const [from, to, frozen] = [pick(), pick(), pick()];
      fleet.world.blockLink(from, to);
      fleet.world.delayLink(pick(), pick(), 700);
      fleet.world.machine(frozen).freeze();
      await fleet.world.run(600);
      fleet.world.machine(frozen).thaw();
      await fleet.world.run(1_400);
      falseAlarms += names.filter((name) => downVerdicts(fleet, name).some(Boolean)).length;
      fleet.world.healAll();
    }
    expect(falseAlarms).to.equal(0);
  });

  it('given a control node that is partitioned from one peer only, when an unknown node waits to be swapped in, then the live member stays a voter', async () => {
    const fleet = await startedFleet(43, 4, 3);
    fleet.world.partition('10.0.0.1', '10.0.0.3');
    fleet.controlNodeHosts.push('10.0.0.9');
    fleet.controlNodeNames.push('postmaster-9');
    fleet.controlNodes.push(null);
    await fleet.startControlNode(3);
    await fleet.world.run(30_000);
    expect(fleet.controlNodes.map((one) => one?.acceptor.isVoter())).to.deep.equal([true, true, true, false]);
  });
});

describe('leases', () => {
  it("given the leases to follow each replica's kv-events, when the holder is killed, frozen or isolated, then another control node holds them within eight seconds, and two never hold one at a time", async () => {
    const fleet = await startedFleet(51);
    const names = ['replica-1', 'replica-2', 'replica-3', 'replica-4'];
    for (const name of names) expect(followersOf(fleet, name).length, name).to.equal(1);
    let overlaps = 0;
    const runAndCountOverlaps = async (forMs: number): Promise<void> => {
      for (let at = 0; at < forMs; at += 50) {
        await fleet.world.run(50);
        for (const name of names) if (followersOf(fleet, name).length > 1) overlaps += 1;
      }
    };
    const holder = followersOf(fleet, 'replica-1')[0] as number;
    fleet.killControlNode(holder);
    await runAndCountOverlaps(6_000);
    for (const name of names) expect(followersOf(fleet, name).length, `${name} after a kill`).to.equal(1);
    await fleet.bootControlNode(holder);
    await runAndCountOverlaps(6_000);
    const second = followersOf(fleet, 'replica-2')[0] as number;
    fleet.machineOf('control', second).freeze();
    await runAndCountOverlaps(6_000);
    for (const name of names) expect(followersOf(fleet, name).length, `${name} during a freeze`).to.equal(1);
    fleet.machineOf('control', second).thaw();
    for (const name of names) expect(followersOf(fleet, name).length, `${name} at the thaw`).to.equal(1);
    await runAndCountOverlaps(3_000);
    const third = followersOf(fleet, 'replica-3')[0] as number;
    fleet.world.isolate(fleet.controlNodeHosts[third] as string);
    await runAndCountOverlaps(8_000);
    for (const name of names) expect(followersOf(fleet, name).length, `${name} while isolated`).to.equal(1);
    fleet.world.healAll();
    fleet.machineOf('control', followersOf(fleet, 'replica-4')[0] as number).wallClockOffset += 3_600_000;
    await runAndCountOverlaps(6_000);
    expect(overlaps).to.equal(0);
  });

  it('given a holder that shuts down gracefully, when it resigns, then its duties have new holders within two seconds, before its leases would have expired', async () => {
    const fleet = await startedFleet(53);
    const holder = followersOf(fleet, 'replica-1')[0] as number;
    await fleet.finish(fleet.restartControlNode(holder));
    await fleet.world.run(1_900);
    for (const name of ['replica-1', 'replica-2', 'replica-3', 'replica-4'])
      expect(followersOf(fleet, name).length, name).to.equal(1);
  });

  it('given a voter that restarts, when a lease that it granted has not expired, then it grants it to no other node, and fencing tokens never decrease', async () => {
    const world = new SimWorld(1);
    const clock = world.machine('10.0.0.1').clock();
    const persisted: [string, number][] = [];
    const persist = async (duty: string, fence: number): Promise<boolean> => {
      persisted.push([duty, fence]);
      return true;
    };
    const first = new LeaseTable(clock, persist, [], true);
    expect((await first.grant({ holder: 'a', duties: [{ duty: 'x', fence: 4 }] })).granted).to.deep.equal(['x']);
    const restarted = new LeaseTable(clock, persist, persisted, false);
    expect(await restarted.grant({ holder: 'b', duties: [{ duty: 'x', fence: 5 }] })).to.deep.equal({
      granted: [],
      fences: { x: 4 },
    });
    await world.run(3_100);
    expect((await restarted.grant({ holder: 'b', duties: [{ duty: 'x', fence: 4 }] })).granted).to.deep.equal([]);
    expect((await restarted.grant({ holder: 'b', duties: [{ duty: 'x', fence: 5 }] })).granted).to.deep.equal(['x']);
  });

  it('given traffic, when the follower of kv-events changes repeatedly, then no event is lost and the index is complete on every gateway', async () => {
    const fleet = await startedFleet(52, 3, 4);
    const checker = new InvariantChecker(fleet);
    checker.startTraffic(40, 30_000, 0.2);
    for (let round = 0; round < 5; round += 1) {
      fleet.killControlNode(round % 3);
      await fleet.world.run(4_000);
      await fleet.bootControlNode(round % 3);
      await fleet.world.run(2_000);
    }
    await fleet.world.run(20_000);
    for (const gateway of fleet.gateways) {
      for (const stored of gateway?.stateView.index.sizes() ?? []) {
        const replica = fleet.runningReplicas.get(stored.replica);
        expect([stored.replica, stored.seq, stored.isWhole]).to.deep.equal([
          stored.replica,
          replica?.eventCount(),
          true,
        ]);
      }
    }
    expect(checker.violations()).to.deep.equal([]);
  });
});
