import { expect } from 'chai';
import { InvariantChecker, SimFleet } from '@martenworks/test-fleet';

describe('normal operation', () => {
  it('given a healthy fleet, when eight tenants send requests for ten seconds, then every response is complete and no invariant is violated', async () => {
    const fleet = new SimFleet({ seed: 1, gatewayCount: 9, replicaCount: 13 });
    await fleet.up();
    const checker = new InvariantChecker(fleet);
    checker.startTraffic(60, 10_000);
    await fleet.world.run(30_000);
    expect(checker.violations()).to.deep.equal([]);
    expect(checker.outcomeCounts()).to.deep.equal({ whole: checker.calls.length });
    expect(checker.calls.length).to.be.greaterThan(500);
    expect(checker.allRuns().filter((run) => run.cacheFrom !== null).length).to.be.greaterThan(0);
  });

  it('given nine gateways that start together, when they have been up for half a second, then each is confirmed by all three control nodes', async () => {
    for (let seed = 1; seed <= 6; seed += 1) {
      const fleet = new SimFleet({ seed, gatewayCount: 9, replicaCount: 8 });
      await fleet.up();
      await fleet.world.run(500);
      expect(
        fleet.gateways.map((gateway) => gateway?.freshness.freshNodeCount()),
        `seed ${seed}`,
      ).to.deep.equal(Array.from({ length: 9 }, () => 3));
    }
  });

  it('given eight replicas with empty caches, when short and long prompts arrive at a typical rate, then the short ones do not wait behind the long ones', async () => {
    for (const seed of [4, 5]) {
      const fleet = new SimFleet({ seed, gatewayCount: 9, replicaCount: 8 });
      await fleet.up();
      const checker = new InvariantChecker(fleet);
      checker.startTraffic(180, 5_000);
      await fleet.world.run(20_000);
      const waits = checker.calls
        .filter((call) => call.request.kind !== 'diagnose' && call.request.tier === 'prompt')
        .map((call) => call.firstTokenAt - call.sentAt)
        .sort((a, b) => a - b);
      expect(waits[Math.floor(waits.length * 0.95)], `seed ${seed}`).to.be.lessThan(100);
      const longs = checker.calls
        .filter((call) => call.request.kind === 'diagnose')
        .map((call) => call.firstTokenAt - call.sentAt)
        .sort((a, b) => a - b);
      expect(longs[Math.floor(longs.length * 0.95)], `seed ${seed}`).to.be.lessThan(2_500);
      expect(checker.outcomeCounts()).to.deep.equal({ whole: checker.calls.length });
    }
  });
});
