import { expect } from 'chai';
import { InvariantChecker, keyOf, sampleWorkload, SimFleet } from '@martenworks/test-fleet';
import type { Call } from '@martenworks/test-fleet';

const threeTiers = {
  first: { rank: 0, horizonMs: 5_000 },
  second: { rank: 1, horizonMs: 5_000 },
  third: { rank: 3, horizonMs: 5_000 },
};

const configOf = (tierOf: Record<string, string>): Record<string, unknown> => ({
  tiers: Object.keys(tierOf).length > 0 ? threeTiers : { second: threeTiers.second },
  pools: { main: { weights: 'weights-1', slots: 4 }, app: { weights: 'app-1' } },
  lanes: {
    confirm: { pool: 'main', repeat: 'once' },
    query: { pool: 'main', repeat: 'freely' },
    diagnose: { pool: 'main', repeat: 'freely' },
    book: { pool: 'app', repeat: 'once' },
  },
  tenants: Object.fromEntries(
    sampleWorkload.tenantNames.map((name) => [
      name,
      { tier: tierOf[name] ?? 'second', lanes: ['confirm', 'query', 'diagnose', 'book'] },
    ]),
  ),
});

const startFleet = async (tierOf: Record<string, string>): Promise<{ fleet: SimFleet; checker: InvariantChecker }> => {
  const fleet = new SimFleet({
    seed: 5,
    gatewayCount: 3,
    replicaCount: 3,
    config: configOf(tierOf),
    replicaSettings: { decodeMs: 20, slots: 4 },
    gatewaySettings: { queueLimit: 256 },
  });
  await fleet.up();
  return { fleet, checker: new InvariantChecker(fleet) };
};

const sendAtRate = (
  fleet: SimFleet,
  checker: InvariantChecker,
  tenant: string,
  ratePerSecond: number,
  forMs: number,
): void => {
  const end = fleet.world.time + forMs;
  let count = 0;
  const sendNext = (): void => {
    if (fleet.world.time >= end) return;
    count += 1;
    checker.send(
      {
        ...sampleWorkload.request(fleet.world.random, 1),
        kind: 'query',
        tenant,
        key: keyOf(tenant),
        prompt: `${tenant} ${count}`,
        maxTokens: 8,
      },
      count % 3,
    );
    fleet.world.schedule(null, (-Math.log(1 - fleet.world.random()) * 1000) / ratePerSecond, sendNext);
  };
  sendNext();
};

const servedShare = (calls: readonly Call[]): number =>
  calls.filter((call) => call.outcome === 'whole').length / calls.length;
const quantile = (calls: readonly Call[], fraction: number): number => {
  const waits = calls
    .filter((call) => call.outcome === 'whole')
    .map((call) => call.firstTokenAt - call.sentAt)
    .sort((a, b) => a - b);
  return waits[Math.floor(waits.length * fraction)] ?? Number.POSITIVE_INFINITY;
};

describe('fairness in an overloaded pool', () => {
  it('given three tiers, when they send twice the load that the pool can serve, then the first keeps its latency and share, the last is still served, and the rest is rejected with Retry-After', async () => {
    const { fleet, checker } = await startFleet({ north: 'first', south: 'second', east: 'third' });
    sendAtRate(fleet, checker, 'north', 50, 20_000);
    sendAtRate(fleet, checker, 'south', 50, 20_000);
    sendAtRate(fleet, checker, 'east', 50, 20_000);
    await fleet.world.run(35_000);
    const callsOf = (tenant: string): Call[] => checker.calls.filter((call) => call.request.tenant === tenant);
    const [first, second, third] = [callsOf('north'), callsOf('south'), callsOf('east')];
    const measured = {
      shares: [first, second, third].map(servedShare),
      p95: [first, second, third].map((calls) => quantile(calls, 0.95)),
    };
    expect(measured.shares[0], JSON.stringify(measured)).to.be.greaterThan(0.99);
    expect(measured.p95[0], JSON.stringify(measured)).to.be.lessThan(1_000);
    expect(measured.shares[1], JSON.stringify(measured)).to.be.greaterThan(measured.shares[2] ?? 1);
    expect(measured.shares[2], JSON.stringify(measured)).to.be.greaterThan(0.01);
    const rejected = checker.calls.filter((call) => call.outcome === 'denied');
    expect(rejected.length).to.be.greaterThan(500);
    expect(
      rejected.every((call) => (call.ran === 'no' || call.code === 'horizon_passed') && Number(call.retryAfter) >= 1),
    ).to.equal(true);
    const shareAfter = (waitMs: number): number =>
      rejected.filter((call) => call.endedAt - call.sentAt > waitMs).length / rejected.length;
    expect(shareAfter(1_500), 'share of rejections after more than 1.5 s').to.be.lessThan(0.1);
    expect(shareAfter(4_900), 'share of rejections at the deadline').to.be.lessThan(0.04);
    expect(checker.violations()).to.deep.equal([]);
  });

  it('given one large tenant and three small ones of the same tier, when the large one overloads the pool, then the small ones are served', async () => {
    const { fleet, checker } = await startFleet({});
    sendAtRate(fleet, checker, 'north', 150, 15_000);
    for (const tenant of ['south', 'east', 'west']) sendAtRate(fleet, checker, tenant, 8, 15_000);
    await fleet.world.run(30_000);
    const callsOf = (tenant: string): Call[] => checker.calls.filter((call) => call.request.tenant === tenant);
    const shares = ['south', 'east', 'west'].map((tenant) => servedShare(callsOf(tenant)));
    for (const one of shares) expect(one, JSON.stringify(shares)).to.be.greaterThan(0.97);
    expect(servedShare(callsOf('north'))).to.be.greaterThan(0.2);
    expect(checker.violations()).to.deep.equal([]);
  });
});
