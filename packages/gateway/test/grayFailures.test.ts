import { expect } from 'chai';
import { InvariantChecker, requestKinds, sampleWorkload, SimFleet } from '@martenworks/test-fleet';

describe('replicas that fail without closing connections', () => {
  it('given a replica that accepts requests but does not respond, when another is healthy, then each gateway soon sends it at most one more request, and uses it again after it recovers', async () => {
    const fleet = new SimFleet({
      seed: 21,
      gatewayCount: 4,
      replicaCount: 2,
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
    checker.startTraffic(120, 20_000, 0);
    await fleet.world.run(4_000);
    const machine = fleet.world.machine(fleet.hostOfReplica('replica-1'));
    machine.freeze();
    const frozenAt = fleet.world.time;
    await fleet.world.run(8_000);
    machine.thaw();
    const thawedAt = fleet.world.time;
    await fleet.world.run(30_000);
    const unanswered = checker.calls.filter(
      (call) => call.sentAt > frozenAt && call.sentAt < thawedAt - 1_000 && call.endedAt > thawedAt,
    );
    expect(unanswered.filter((call) => call.sentAt < frozenAt + 2_500).length).to.be.greaterThan(0);
    for (const host of fleet.gatewayHosts)
      expect(
        unanswered.filter((call) => call.sentAt > frozenAt + 2_500 && call.host === host).length,
        host,
      ).to.be.lessThan(2);
    expect(checker.allRuns().some((run) => run.replica === 'replica-1' && run.startedAt > thawedAt + 2_000)).to.equal(
      true,
    );
    expect(checker.violations()).to.deep.equal([]);
  });

  it('given attempts waiting for replicas that vanished, when the platform removes these replicas, then the requests end or are retried elsewhere immediately', async () => {
    const fleet = new SimFleet({ seed: 22, gatewayCount: 2, replicaCount: 3, replicaSettings: { decodeMs: 400 } });
    await fleet.up();
    const checker = new InvariantChecker(fleet);
    checker.startTraffic(30, 1_500, 0);
    await fleet.world.run(1_600);
    for (const name of ['replica-1', 'replica-2', 'replica-3']) fleet.world.machine(fleet.hostOfReplica(name)).vanish();
    await fleet.world.run(500);
    for (const name of ['replica-1', 'replica-2', 'replica-3'])
      await fleet.finish(fleet.callControlNode(0, 'DELETE', `/platform/replicas/${name}`));
    const removedAt = fleet.world.time;
    await fleet.world.run(20_000);
    const pending = checker.calls.filter((call) => call.request.kind !== 'book' && call.endedAt > removedAt - 400);
    expect(pending.length).to.be.greaterThan(3);
    for (const call of pending)
      expect(call.endedAt - removedAt, `${call.requestId} ${call.outcome} ${call.code}`).to.be.lessThan(500);
    expect(checker.violations()).to.deep.equal([]);
  });
});
