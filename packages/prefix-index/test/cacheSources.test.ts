import { expect } from 'chai';
import { PrefixIndex } from '@martenworks/prefix-index';
import { InvariantChecker, keyOf, requestKinds, sampleWorkload, SimFleet } from '@martenworks/test-fleet';
import type { SampleRequest, Run } from '@martenworks/test-fleet';

const manual = (name: string): string => `${name} `.repeat(3_000).slice(0, 12_000);

const configOf = (isolated: readonly string[], more: Record<string, unknown> = {}): Record<string, unknown> => ({
  ...sampleWorkload.config('weights-1'),
  pools: { main: { weights: 'weights-1', slots: 2, ...more }, app: { weights: 'app-1' } },
  tenants: Object.fromEntries(
    sampleWorkload.tenantNames.map((name) => [
      name,
      { tier: 'prompt', isolated: isolated.includes(name), lanes: [...requestKinds] },
    ]),
  ),
});

const ask = (tenant: string, prompt: string): SampleRequest => ({
  kind: 'diagnose',
  tenant,
  key: keyOf(tenant),
  prompt,
  maxTokens: 40,
  tier: 'prompt',
});

const raised = async (
  seed: number,
  replicas: number,
  config: Record<string, unknown>,
  more: Partial<ConstructorParameters<typeof SimFleet>[0]> = {},
): Promise<{ fleet: SimFleet; checker: InvariantChecker }> => {
  const fleet = new SimFleet({ seed, edges: 2, replicas, config, replicaSettings: { decodeMs: 20 }, ...more });
  await fleet.up();
  return { fleet, checker: new InvariantChecker(fleet) };
};

const waves = async (
  fleet: SimFleet,
  checker: InvariantChecker,
  tenant: string,
  name: string,
  count: number,
): Promise<void> => {
  for (let at = 0; at < count; at += 1) checker.send(ask(tenant, `${manual(name)} question ${at}`), at % 2);
  await fleet.world.run(6_000);
};

const named = (checker: InvariantChecker): (Run & { replica: string })[] =>
  checker.allRuns().filter((run) => run.cacheFrom !== null);

describe('who is named in Cache-From', () => {
  it('given a manual kept by one replica, when more ask for it than that one takes, then others are sent with it as their holder and pull it', async () => {
    const { fleet, checker } = await raised(31, 4, configOf([]));
    await waves(fleet, checker, 'north', 'alpha', 1);
    const keeper = checker.allRuns()[0]?.replica ?? '';
    await waves(fleet, checker, 'south', 'alpha', 6);
    const pulls = named(checker);
    expect(pulls.length).to.be.greaterThan(0);
    expect(
      pulls.some(
        (run) =>
          run.cacheFrom === `${fleet.hostOfReplica(keeper)}:8000` &&
          run.pulledTokens > 2_000 &&
          run.prefilledTokens < 200,
      ),
    ).to.equal(true);
    expect(checker.violations()).to.deep.equal([]);
  });

  it("given isolated tenants with the same manual, when all ask, then no isolated tenant's parts reach another, and the others still pull", async () => {
    const { fleet, checker } = await raised(32, 12, configOf(['depot', 'mill']));
    for (let round = 0; round < 3; round += 1)
      for (const tenant of ['depot', 'mill', 'north', 'south'])
        for (const count of [1, 10]) await waves(fleet, checker, tenant, `beta-${round}`, count);
    expect(checker.violations()).to.deep.equal([]);
    expect(named(checker).filter((run) => !run.isIsolated).length).to.be.greaterThan(0);
    const homes = new Set(
      checker
        .allRuns()
        .filter((run) => run.isIsolated)
        .map((run) => run.replica),
    );
    for (const run of named(checker))
      if (!run.isIsolated)
        expect([...homes].map((name) => `${fleet.hostOfReplica(name)}:8000`)).to.not.include(run.cacheFrom);
  });

  it("given new weights, when the old ones' parts are still kept, then they are named to nobody, until replicas born under the new ones keep some", async () => {
    const { fleet, checker } = await raised(33, 4, configOf([]));
    await waves(fleet, checker, 'north', 'gamma', 6);
    const before = named(checker).length;
    const put = await fleet.finish(
      fleet.onControlNode(
        0,
        'PATCH',
        '/operator/layout',
        { pools: { main: { weights: 'weights-2' } } },
        { 'if-match': '"1"' },
      ),
    );
    expect(put.status).to.equal(200);
    checker.weightsChanges.push({ offeredAt: 0, at: fleet.world.time, pool: 'main', weights: 'weights-2' });
    await fleet.world.run(2_000);
    await waves(fleet, checker, 'north', 'gamma', 8);
    await waves(fleet, checker, 'north', 'gamma', 8);
    expect(named(checker).length).to.equal(before);
    for (const name of ['replica-1', 'replica-2', 'replica-3', 'replica-4']) {
      fleet.killReplica(name);
      fleet.bootReplica(name);
      await fleet.finish(fleet.announce(name));
    }
    await fleet.world.run(8_000);
    await waves(fleet, checker, 'north', 'gamma', 1);
    await waves(fleet, checker, 'north', 'gamma', 8);
    expect(named(checker).length).to.be.greaterThan(before);
    expect(checker.violations()).to.deep.equal([]);
  });

  it('given pulls that take longer than a prefill would, when that was seen, then that holder is named no more; and again when it has passed', async () => {
    const { fleet, checker } = await raised(34, 4, configOf([]));
    for (const standIn of fleet.runningReplicas.values()) standIn.faults.pullDelayMs = 1_500;
    let afterLearning = 0;
    for (let round = 0; round < 8; round += 1) {
      await waves(fleet, checker, 'north', `delta-${round}`, 1);
      const before = named(checker).length;
      await waves(fleet, checker, 'south', `delta-${round}`, 5);
      if (round >= 4) afterLearning += named(checker).length - before;
    }
    expect(named(checker).length).to.be.greaterThan(0);
    expect(afterLearning).to.equal(0);
    for (const standIn of fleet.runningReplicas.values()) standIn.faults.pullDelayMs = 0;
    await fleet.world.run(120_000);
    const before = named(checker).length;
    await waves(fleet, checker, 'north', 'delta-last', 1);
    await waves(fleet, checker, 'south', 'delta-last', 5);
    expect(named(checker).length).to.be.greaterThan(before);
    expect(checker.violations()).to.deep.equal([]);
  });

  it('given a cache store, when it goes down and returns empty, then it is named while it keeps parts, and every call is still answered whole', async () => {
    const storeHost = '10.4.0.1';
    const { fleet, checker } = await raised(35, 3, configOf([], { store: 'store-1' }), {
      replicaSettings: { decodeMs: 20, store: `${storeHost}:8000`, capacityBlocks: 60 },
    });
    fleet.startReplica('store-1', storeHost, { store: null, capacityBlocks: 5_000 });
    const announce = (incarnation: number): Promise<{ status: number }> =>
      fleet.finish(
        fleet.onControlNode(0, 'POST', '/platform/replicas', [
          { name: 'store-1', kind: 'store', pool: 'main', address: `${storeHost}:8000`, incarnation },
        ]),
      );
    expect((await announce(1)).status).to.equal(200);
    const rounds = async (): Promise<void> => {
      for (let round = 0; round < 2; round += 1)
        for (const name of ['e-1', 'e-2', 'e-3', 'e-4', 'e-5', 'e-6']) await waves(fleet, checker, 'north', name, 1);
    };
    await rounds();
    const fromStore = (): number =>
      named(checker).filter((run) => run.cacheFrom === `${storeHost}:8000` && run.pulledTokens > 1_000).length;
    expect(fromStore()).to.be.greaterThan(0);
    fleet.world.machine(storeHost).kill();
    await rounds();
    fleet.world.machine(storeHost).boot();
    fleet.startReplica('store-1', storeHost, { store: null, capacityBlocks: 5_000, incarnation: 1 });
    await fleet.world.run(5_000);
    expect(fleet.gateways[0]?.stateView.index.sizes().find((stored) => stored.replica === 'store-1')?.blocks).to.equal(
      0,
    );
    await announce(2);
    const back = fromStore();
    fleet.world.machine(storeHost).kill();
    fleet.world.machine(storeHost).boot();
    fleet.startReplica('store-1', storeHost, { store: null, capacityBlocks: 5_000, incarnation: 2 });
    await fleet.world.run(5_000);
    await rounds();
    expect(fromStore()).to.be.greaterThan(back);
    expect(checker.violations()).to.deep.equal([]);
    expect(checker.metrics()).to.deep.equal({ whole: checker.calls.length });
  });

  it('given a replica that served an isolated tenant and told nothing of it, when its quarter becomes shared and every gateway starts anew, then it is named to nobody', async () => {
    const { fleet, checker } = await raised(36, 4, configOf(['depot']));
    const own =
      fleet.gateways[0]?.stateView.tenantPartitions.roles().find(({ role }) => role === 'depot')?.replica ?? '';
    const hide = (hidesEvents: boolean): void => {
      for (const standIn of fleet.runningReplicas.values()) standIn.faults.hidesEvents = hidesEvents;
    };
    hide(true);
    await waves(fleet, checker, 'depot', 'zeta', 2);
    hide(false);
    expect(checker.allRuns().some((run) => run.replica === own && run.isIsolated)).to.equal(true);
    const put = await fleet.finish(
      fleet.onControlNode(
        0,
        'PATCH',
        '/operator/layout',
        { tenants: { depot: { isolated: false } } },
        { 'if-match': '"1"' },
      ),
    );
    expect(put.status).to.equal(200);
    await fleet.world.run(20_000);
    await waves(fleet, checker, 'north', 'zeta', 10);
    expect(checker.allRuns().some((run) => run.replica === own && !run.isIsolated)).to.equal(true);
    for (const at of [0, 1]) {
      fleet.killCounter(at);
      await fleet.bootCounter(at);
    }
    for (const name of ['replica-1', 'replica-2', 'replica-3', 'replica-4'].filter((one) => one !== own)) {
      fleet.killReplica(name);
      fleet.bootReplica(name);
      await fleet.finish(fleet.announce(name));
    }
    await fleet.world.run(6_000);
    await waves(fleet, checker, 'south', 'zeta', 10);
    expect(checker.allRuns().filter((run) => run.cacheFrom === `${fleet.hostOfReplica(own)}:8000`).length).to.equal(0);
    expect(checker.violations()).to.deep.equal([]);
    expect(checker.metrics()).to.deep.equal({ whole: checker.calls.length });
  });

  it("given a store that keeps an isolated tenant's parts and told nothing of them, when others ask for the same prefix, then it is named to nobody until it is announced anew without isolated tenants", async () => {
    const { fleet, checker } = await raised(37, 3, configOf(['depot'], { store: 'store-1' }), {
      hasStore: true,
      replicaSettings: { decodeMs: 20, capacityBlocks: 60 },
    });
    const store = (): void => fleet.runningReplicas.get('store-1')?.setFaults({ hidesEvents: true });
    store();
    await waves(fleet, checker, 'depot', 'eta', 1);
    fleet.runningReplicas.get('store-1')?.setFaults({ hidesEvents: false });
    const rounds = async (): Promise<void> => {
      for (let round = 0; round < 2; round += 1)
        for (const name of ['eta', 'e-2', 'e-3', 'e-4', 'e-5', 'e-6']) await waves(fleet, checker, 'north', name, 1);
    };
    const fromStore = (): number => named(checker).filter((run) => run.cacheFrom === `${fleet.storeHost}:8000`).length;
    await rounds();
    expect(fromStore()).to.equal(0);
    const put = await fleet.finish(
      fleet.onControlNode(
        0,
        'PATCH',
        '/operator/layout',
        { tenants: { depot: { isolated: false } } },
        { 'if-match': '"1"' },
      ),
    );
    expect(put.status).to.equal(200);
    await fleet.world.run(20_000);
    await rounds();
    expect(fromStore()).to.equal(0);
    fleet.killReplica('store-1');
    fleet.bootReplica('store-1');
    await fleet.finish(fleet.announce('store-1'));
    await fleet.world.run(2_000);
    await rounds();
    expect(fromStore()).to.be.greaterThan(0);
    expect(checker.violations()).to.deep.equal([]);
  });

  it('given notices with a gap, when the replica tells that its cache is cleared, then it may be named again', () => {
    const index = new PrefixIndex(60_000);
    index.reconcile(
      [
        {
          name: 'r',
          kind: 'replica',
          incarnation: 1,
          state: 'ready',
          pool: 'main',
          address: '10.2.0.1:8000',
          zone: '',
          slots: null,
          born: 0,
          sides: [],
        },
      ],
      () => 0,
    );
    const told = (seq: number, kind: 'stored' | 'cleared', blocks: string[]): void =>
      index.apply({ replica: 'r', incarnation: 1, seq, kind, tenant: null, blocks }, 0);
    told(1, 'stored', ['a']);
    expect(index.match('r', ['a'], null, 0)).to.deep.equal({ blockCount: 1, canBeSource: true });
    told(3, 'stored', ['b']);
    expect(index.match('r', ['b'], null, 0).canBeSource).to.equal(false);
    told(4, 'cleared', []);
    told(5, 'stored', ['c']);
    expect(index.match('r', ['c'], null, 0)).to.deep.equal({ blockCount: 1, canBeSource: true });
  });
});
