import { expect } from 'chai';
import { InvariantChecker, requestKinds, sampleWorkload, SimFleet } from '@martenworks/test-fleet';

describe('replicas in trouble', () => {
  it('given a replica that takes requests and answers nothing, when the other is sound, then gateways soon send it no more but for one try each of those that had none out, and use it again afterwards', async () => {
    const fleet = new SimFleet({
      seed: 21,
      edges: 4,
      replicas: 2,
      config: {
        ...sampleWorkload.config('weights-1'),
        tenants: Object.fromEntries(
          sampleWorkload.tenantNames.map((name) => [name, { tier: 'prompt', lanes: [...requestKinds] }]),
        ),
        pools: { main: { weights: 'weights-1', slots: 64 }, app: { weights: 'app-1', slots: 64 } },
      },
    });
    await fleet.up();
    const checker = new InvariantChecker(fleet);
    checker.traffic(120, 20_000, 0);
    await fleet.world.run(4_000);
    const machine = fleet.world.machine(fleet.hostOfReplica('replica-1'));
    machine.freeze();
    const frozenAt = fleet.world.time;
    await fleet.world.run(8_000);
    machine.thaw();
    const thawedAt = fleet.world.time;
    await fleet.world.run(30_000);
    const held = checker.calls.filter(
      (call) => call.sentAt > frozenAt && call.sentAt < thawedAt - 1_000 && call.endedAt > thawedAt,
    );
    expect(held.filter((call) => call.sentAt < frozenAt + 2_500).length).to.be.greaterThan(0);
    for (const host of fleet.gatewayHosts)
      expect(held.filter((call) => call.sentAt > frozenAt + 2_500 && call.host === host).length, host).to.be.lessThan(
        2,
      );
    expect(checker.allRuns().some((run) => run.replica === 'replica-1' && run.startedAt > thawedAt + 2_000)).to.equal(
      true,
    );
    expect(checker.violations()).to.deep.equal([]);
  });

  it('given attempts that wait on a replica which vanished, when the platform tells that it is gone, then they end or are tried elsewhere at once', async () => {
    const fleet = new SimFleet({ seed: 22, edges: 2, replicas: 3, replicaSettings: { decodeMs: 400 } });
    await fleet.up();
    const checker = new InvariantChecker(fleet);
    checker.traffic(30, 1_500, 0);
    await fleet.world.run(1_600);
    for (const name of ['replica-1', 'replica-2', 'replica-3']) fleet.world.machine(fleet.hostOfReplica(name)).vanish();
    await fleet.world.run(500);
    for (const name of ['replica-1', 'replica-2', 'replica-3'])
      await fleet.finish(fleet.onControlNode(0, 'DELETE', `/platform/replicas/${name}`));
    const toldAt = fleet.world.time;
    await fleet.world.run(20_000);
    const open = checker.calls.filter((call) => call.request.kind !== 'book' && call.endedAt > toldAt - 400);
    expect(open.length).to.be.greaterThan(3);
    for (const call of open)
      expect(call.endedAt - toldAt, `${call.requestId} ${call.outcome} ${call.code}`).to.be.lessThan(500);
    expect(checker.violations()).to.deep.equal([]);
  });
});
