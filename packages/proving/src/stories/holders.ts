import { expect } from 'chai';
import { keyOf, kinds, plans } from '../firms.js';
import type { Ask } from '../firms.js';
import { Judge } from '../sim/judge.js';
import { SimFleet } from '../sim/simFleet.js';
import type { Run } from '../standIn.js';

const manual = (name: string): string => `${name} `.repeat(3_000).slice(0, 12_000);

const layoutOf = (isolated: readonly string[], more: Record<string, unknown> = {}): Record<string, unknown> => ({
  ...plans.layout('weights-1'),
  pools: { main: { weights: 'weights-1', slots: 2, ...more }, app: { weights: 'app-1' } },
  tenants: Object.fromEntries(plans.tenantNames.map((name) => [name, { tier: 'prompt', isolated: isolated.includes(name), lanes: [...kinds] }])),
});

const ask = (tenant: string, prompt: string): Ask => ({ kind: 'diagnose', tenant, key: keyOf(tenant), prompt, maxTokens: 40, tier: 'prompt' });

const raised = async (seed: number, replicas: number, layout: Record<string, unknown>, more: Partial<ConstructorParameters<typeof SimFleet>[0]> = {}): Promise<{ fleet: SimFleet; judge: Judge }> => {
  const fleet = new SimFleet({ seed, fronts: 2, replicas, layout, standIn: { decodeMs: 20 }, ...more });
  await fleet.up();
  return { fleet, judge: new Judge(fleet) };
};

const waves = async (fleet: SimFleet, judge: Judge, tenant: string, name: string, count: number): Promise<void> => {
  for (let at = 0; at < count; at += 1) judge.send(ask(tenant, `${manual(name)} question ${at}`), at % 2);
  await fleet.world.run(6_000);
};

const named = (judge: Judge): (Run & { replica: string })[] => judge.runs().filter((run) => run.cacheFrom !== null);

describe('who is named in Cache-From', () => {
  it('given a manual kept by one replica, when more ask for it than that one takes, then others are sent with it as their holder and pull it', async () => {
    const { fleet, judge } = await raised(31, 4, layoutOf([]));
    await waves(fleet, judge, 'north', 'alpha', 1);
    const keeper = judge.runs()[0]?.replica ?? '';
    await waves(fleet, judge, 'south', 'alpha', 6);
    const pulls = named(judge);
    expect(pulls.length).to.be.greaterThan(0);
    expect(pulls.some((run) => run.cacheFrom === `${fleet.hostOfReplica(keeper)}:8000` && run.pulledTokens > 2_000 && run.prefilledTokens < 200)).to.equal(true);
    expect(judge.complaints()).to.deep.equal([]);
  });

  it('given isolated tenants with the same manual, when all ask, then no isolated tenant\'s parts reach another, and the others still pull', async () => {
    const { fleet, judge } = await raised(32, 12, layoutOf(['depot', 'mill']));
    for (let round = 0; round < 3; round += 1) for (const tenant of ['depot', 'mill', 'north', 'south']) for (const count of [1, 10]) await waves(fleet, judge, tenant, `beta-${round}`, count);
    expect(judge.complaints()).to.deep.equal([]);
    expect(named(judge).filter((run) => !run.isIsolated).length).to.be.greaterThan(0);
    const homes = new Set(judge.runs().filter((run) => run.isIsolated).map((run) => run.replica));
    for (const run of named(judge)) if (!run.isIsolated) expect([...homes].map((name) => `${fleet.hostOfReplica(name)}:8000`)).to.not.include(run.cacheFrom);
  });

  it('given new weights, when the old ones\' parts are still kept, then they are named to nobody, until replicas born under the new ones keep some', async () => {
    const { fleet, judge } = await raised(33, 4, layoutOf([]));
    await waves(fleet, judge, 'north', 'gamma', 6);
    const before = named(judge).length;
    const put = await fleet.finish(fleet.onPostmaster(0, 'PATCH', '/operator/layout', { pools: { main: { weights: 'weights-2' } } }, { 'if-match': '"1"' }));
    expect(put.status).to.equal(200);
    judge.weightsFrom.push({ offeredAt: 0, at: fleet.world.time, pool: 'main', weights: 'weights-2' });
    await fleet.world.run(2_000);
    await waves(fleet, judge, 'north', 'gamma', 8);
    await waves(fleet, judge, 'north', 'gamma', 8);
    expect(named(judge).length).to.equal(before);
    for (const name of ['replica-1', 'replica-2', 'replica-3', 'replica-4']) {
      fleet.killReplica(name);
      fleet.bootReplica(name);
      await fleet.finish(fleet.announce(name));
    }
    await fleet.world.run(8_000);
    await waves(fleet, judge, 'north', 'gamma', 1);
    await waves(fleet, judge, 'north', 'gamma', 8);
    expect(named(judge).length).to.be.greaterThan(before);
    expect(judge.complaints()).to.deep.equal([]);
  });

  it('given pulls that take longer than a prefill would, when that was seen, then that holder is named no more; and again when it has passed', async () => {
    const { fleet, judge } = await raised(34, 4, layoutOf([]));
    for (const standIn of fleet.current.values()) standIn.faults.slowPullMs = 1_500;
    let afterLearning = 0;
    for (let round = 0; round < 8; round += 1) {
      await waves(fleet, judge, 'north', `delta-${round}`, 1);
      const before = named(judge).length;
      await waves(fleet, judge, 'south', `delta-${round}`, 5);
      if (round >= 4) afterLearning += named(judge).length - before;
    }
    expect(named(judge).length).to.be.greaterThan(0);
    expect(afterLearning).to.equal(0);
    for (const standIn of fleet.current.values()) standIn.faults.slowPullMs = 0;
    await fleet.world.run(120_000);
    const before = named(judge).length;
    await waves(fleet, judge, 'north', 'delta-last', 1);
    await waves(fleet, judge, 'south', 'delta-last', 5);
    expect(named(judge).length).to.be.greaterThan(before);
    expect(judge.complaints()).to.deep.equal([]);
  });

  it('given a cache store, when it goes down and returns empty, then it is named while it keeps parts, and every call is still answered whole', async () => {
    const storeHost = '10.4.0.1';
    const { fleet, judge } = await raised(35, 3, layoutOf([], { store: 'store-1' }), { standIn: { decodeMs: 20, store: `${storeHost}:8000`, keptBlocks: 60 } });
    fleet.startStandIn('store-1', storeHost, { store: null, keptBlocks: 5_000 });
    const announce = (incarnation: number): Promise<{ status: number }> => fleet.finish(fleet.onPostmaster(0, 'POST', '/platform/replicas', [{ name: 'store-1', kind: 'store', pool: 'main', address: `${storeHost}:8000`, incarnation }]));
    expect((await announce(1)).status).to.equal(200);
    const rounds = async (): Promise<void> => {
      for (let round = 0; round < 2; round += 1) for (const name of ['e-1', 'e-2', 'e-3', 'e-4', 'e-5', 'e-6']) await waves(fleet, judge, 'north', name, 1);
    };
    await rounds();
    const fromStore = (): number => named(judge).filter((run) => run.cacheFrom === `${storeHost}:8000` && run.pulledTokens > 1_000).length;
    expect(fromStore()).to.be.greaterThan(0);
    fleet.world.machine(storeHost).kill();
    await rounds();
    fleet.world.machine(storeHost).boot();
    fleet.startStandIn('store-1', storeHost, { store: null, keptBlocks: 5_000, incarnation: 1 });
    await fleet.world.run(5_000);
    expect(fleet.counters[0]?.book.index.sizes().find((shelf) => shelf.replica === 'store-1')?.blocks).to.equal(0);
    await announce(2);
    const back = fromStore();
    fleet.world.machine(storeHost).kill();
    fleet.world.machine(storeHost).boot();
    fleet.startStandIn('store-1', storeHost, { store: null, keptBlocks: 5_000, incarnation: 2 });
    await fleet.world.run(5_000);
    await rounds();
    expect(fromStore()).to.be.greaterThan(back);
    expect(judge.complaints()).to.deep.equal([]);
    expect(judge.tally()).to.deep.equal({ whole: judge.calls.length });
  });
});
