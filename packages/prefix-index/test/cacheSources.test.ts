import { expect } from 'chai';
import { PrefixIndex } from '@martenworks/prefix-index';
import { InvariantChecker, keyOf, requestKinds, sampleWorkload, SimFleet } from '@martenworks/test-fleet';
import type { SampleRequest, Run } from '@martenworks/test-fleet';

const longPrompt = (name: string): string => `${name} `.repeat(3_000).slice(0, 12_000);

const configOf = (
  isolated: readonly string[],
  poolOverrides: Record<string, unknown> = {},
): Record<string, unknown> => ({
  ...sampleWorkload.config('weights-1'),
  pools: { main: { weights: 'weights-1', slots: 2, ...poolOverrides }, app: { weights: 'app-1' } },
  tenants: Object.fromEntries(
    sampleWorkload.tenantNames.map((name) => [
      name,
      { tier: 'prompt', isolated: isolated.includes(name), lanes: [...requestKinds] },
    ]),
  ),
});

const requestFor = (tenant: string, prompt: string): SampleRequest => ({
  kind: 'diagnose',
  tenant,
  key: keyOf(tenant),
  prompt,
  maxTokens: 40,
  tier: 'prompt',
});

const startFleet = async (
  seed: number,
  replicaCount: number,
  config: Record<string, unknown>,
  options: Partial<ConstructorParameters<typeof SimFleet>[0]> = {},
): Promise<{ fleet: SimFleet; checker: InvariantChecker }> => {
  const fleet = new SimFleet({
    seed,
    gatewayCount: 2,
    replicaCount,
    config,
    replicaSettings: { decodeMs: 20 },
    ...options,
  });
  await fleet.up();
  return { fleet, checker: new InvariantChecker(fleet) };
};

const sendWave = async (
  fleet: SimFleet,
  checker: InvariantChecker,
  tenant: string,
  name: string,
  count: number,
): Promise<void> => {
  for (let at = 0; at < count; at += 1) checker.send(requestFor(tenant, `${longPrompt(name)} question ${at}`), at % 2);
  await fleet.world.run(6_000);
};

const runsWithSource = (checker: InvariantChecker): (Run & { replica: string })[] =>
  checker.allRuns().filter((run) => run.cacheFrom !== null);

describe('cache sources named in Cache-From', () => {
  it('given a prompt cached by one replica, when more requests for it arrive than that replica can run, then the others run elsewhere and pull the blocks from it', async () => {
    const { fleet, checker } = await startFleet(31, 4, configOf([]));
    await sendWave(fleet, checker, 'north', 'alpha', 1);
    const sourceReplica = checker.allRuns()[0]?.replica ?? '';
    await sendWave(fleet, checker, 'south', 'alpha', 6);
    const pulls = runsWithSource(checker);
    expect(pulls.length).to.be.greaterThan(0);
    expect(
      pulls.some(
        (run) =>
          run.cacheFrom === `${fleet.hostOfReplica(sourceReplica)}:8000` &&
          run.pulledTokens > 2_000 &&
          run.prefilledTokens < 200,
      ),
    ).to.equal(true);
    expect(checker.violations()).to.deep.equal([]);
  });

  it("given isolated tenants with the same prompt, when all tenants send requests, then no isolated tenant's blocks reach another tenant, and shared tenants still pull", async () => {
    const { fleet, checker } = await startFleet(32, 12, configOf(['depot', 'mill']));
    for (let round = 0; round < 3; round += 1)
      for (const tenant of ['depot', 'mill', 'north', 'south'])
        for (const count of [1, 10]) await sendWave(fleet, checker, tenant, `beta-${round}`, count);
    expect(checker.violations()).to.deep.equal([]);
    expect(runsWithSource(checker).filter((run) => !run.isIsolated).length).to.be.greaterThan(0);
    const isolatedReplicas = new Set(
      checker
        .allRuns()
        .filter((run) => run.isIsolated)
        .map((run) => run.replica),
    );
    for (const run of runsWithSource(checker))
      if (!run.isIsolated)
        expect([...isolatedReplicas].map((name) => `${fleet.hostOfReplica(name)}:8000`)).to.not.include(run.cacheFrom);
  });

  it('given new weights, when blocks of the old weights are still cached, then no source is named until replicas started under the new weights have cached some', async () => {
    const { fleet, checker } = await startFleet(33, 4, configOf([]));
    await sendWave(fleet, checker, 'north', 'gamma', 6);
    const before = runsWithSource(checker).length;
    const reply = await fleet.finish(
      fleet.callControlNode(
        0,
        'PATCH',
        '/operator/layout',
        { pools: { main: { weights: 'weights-2' } } },
        { 'if-match': '"1"' },
      ),
    );
    expect(reply.status).to.equal(200);
    checker.weightsChanges.push({ sentAt: 0, acknowledgedAt: fleet.world.time, pool: 'main', weights: 'weights-2' });
    await fleet.world.run(2_000);
    await sendWave(fleet, checker, 'north', 'gamma', 8);
    await sendWave(fleet, checker, 'north', 'gamma', 8);
    expect(runsWithSource(checker).length).to.equal(before);
    for (const name of ['replica-1', 'replica-2', 'replica-3', 'replica-4']) {
      fleet.killReplica(name);
      fleet.bootReplica(name);
      await fleet.finish(fleet.announce(name));
    }
    await fleet.world.run(8_000);
    await sendWave(fleet, checker, 'north', 'gamma', 1);
    await sendWave(fleet, checker, 'north', 'gamma', 8);
    expect(runsWithSource(checker).length).to.be.greaterThan(before);
    expect(checker.violations()).to.deep.equal([]);
  });

  it('given pulls that take longer than a prefill, when the gateway has measured them, then no source is named; and sources are named again once pulls are fast', async () => {
    const { fleet, checker } = await startFleet(34, 4, configOf([]));
    for (const replica of fleet.runningReplicas.values()) replica.faults.pullDelayMs = 1_500;
    let pullsAfterLearning = 0;
    for (let round = 0; round < 8; round += 1) {
      await sendWave(fleet, checker, 'north', `delta-${round}`, 1);
      const before = runsWithSource(checker).length;
      await sendWave(fleet, checker, 'south', `delta-${round}`, 5);
      if (round >= 4) pullsAfterLearning += runsWithSource(checker).length - before;
    }
    expect(runsWithSource(checker).length).to.be.greaterThan(0);
    expect(pullsAfterLearning).to.equal(0);
    for (const replica of fleet.runningReplicas.values()) replica.faults.pullDelayMs = 0;
    await fleet.world.run(120_000);
    const before = runsWithSource(checker).length;
    await sendWave(fleet, checker, 'north', 'delta-last', 1);
    await sendWave(fleet, checker, 'south', 'delta-last', 5);
    expect(runsWithSource(checker).length).to.be.greaterThan(before);
    expect(checker.violations()).to.deep.equal([]);
  });

  it('given a cache store, when it crashes and restarts empty, then it is named only while it has blocks, and every request is answered in full', async () => {
    const storeHost = '10.4.0.1';
    const { fleet, checker } = await startFleet(35, 3, configOf([], { store: 'store-1' }), {
      replicaSettings: { decodeMs: 20, store: `${storeHost}:8000`, capacityBlocks: 60 },
    });
    fleet.startReplica('store-1', storeHost, { store: null, capacityBlocks: 5_000 });
    const announce = (incarnation: number): Promise<{ status: number }> =>
      fleet.finish(
        fleet.callControlNode(0, 'POST', '/platform/replicas', [
          { name: 'store-1', kind: 'store', pool: 'main', address: `${storeHost}:8000`, incarnation },
        ]),
      );
    expect((await announce(1)).status).to.equal(200);
    const sendRounds = async (): Promise<void> => {
      for (let round = 0; round < 2; round += 1)
        for (const name of ['e-1', 'e-2', 'e-3', 'e-4', 'e-5', 'e-6']) await sendWave(fleet, checker, 'north', name, 1);
    };
    await sendRounds();
    const countRunsFromStore = (): number =>
      runsWithSource(checker).filter((run) => run.cacheFrom === `${storeHost}:8000` && run.pulledTokens > 1_000).length;
    expect(countRunsFromStore()).to.be.greaterThan(0);
    fleet.world.machine(storeHost).kill();
    await sendRounds();
    fleet.world.machine(storeHost).boot();
    fleet.startReplica('store-1', storeHost, { store: null, capacityBlocks: 5_000, incarnation: 1 });
    await fleet.world.run(5_000);
    expect(fleet.gateways[0]?.stateView.index.sizes().find((stored) => stored.replica === 'store-1')?.blocks).to.equal(
      0,
    );
    await announce(2);
    const runsBeforeRestart = countRunsFromStore();
    fleet.world.machine(storeHost).kill();
    fleet.world.machine(storeHost).boot();
    fleet.startReplica('store-1', storeHost, { store: null, capacityBlocks: 5_000, incarnation: 2 });
    await fleet.world.run(5_000);
    await sendRounds();
    expect(countRunsFromStore()).to.be.greaterThan(runsBeforeRestart);
    expect(checker.violations()).to.deep.equal([]);
    expect(checker.outcomeCounts()).to.deep.equal({ whole: checker.calls.length });
  });

  it('given a replica that served an isolated tenant and sent no events about it, when its partition becomes shared and every gateway restarts, then it is never named as a source', async () => {
    const { fleet, checker } = await startFleet(36, 4, configOf(['depot']));
    const isolatedReplica =
      fleet.gateways[0]?.stateView.tenantPartitions.roles().find(({ role }) => role === 'depot')?.replica ?? '';
    const setHidesEvents = (hidesEvents: boolean): void => {
      for (const replica of fleet.runningReplicas.values()) replica.faults.hidesEvents = hidesEvents;
    };
    setHidesEvents(true);
    await sendWave(fleet, checker, 'depot', 'zeta', 2);
    setHidesEvents(false);
    expect(checker.allRuns().some((run) => run.replica === isolatedReplica && run.isIsolated)).to.equal(true);
    const reply = await fleet.finish(
      fleet.callControlNode(
        0,
        'PATCH',
        '/operator/layout',
        { tenants: { depot: { isolated: false } } },
        { 'if-match': '"1"' },
      ),
    );
    expect(reply.status).to.equal(200);
    await fleet.world.run(20_000);
    await sendWave(fleet, checker, 'north', 'zeta', 10);
    expect(checker.allRuns().some((run) => run.replica === isolatedReplica && !run.isIsolated)).to.equal(true);
    for (const at of [0, 1]) {
      fleet.killGateway(at);
      await fleet.bootGateway(at);
    }
    for (const name of ['replica-1', 'replica-2', 'replica-3', 'replica-4'].filter((one) => one !== isolatedReplica)) {
      fleet.killReplica(name);
      fleet.bootReplica(name);
      await fleet.finish(fleet.announce(name));
    }
    await fleet.world.run(6_000);
    await sendWave(fleet, checker, 'south', 'zeta', 10);
    expect(
      checker.allRuns().filter((run) => run.cacheFrom === `${fleet.hostOfReplica(isolatedReplica)}:8000`).length,
    ).to.equal(0);
    expect(checker.violations()).to.deep.equal([]);
    expect(checker.outcomeCounts()).to.deep.equal({ whole: checker.calls.length });
  });

  it("given a store that has an isolated tenant's blocks and sent no events about them, when others request the same prefix, then it is not named as a source until it is announced again without isolated tenants", async () => {
    const { fleet, checker } = await startFleet(37, 3, configOf(['depot'], { store: 'store-1' }), {
      hasStore: true,
      replicaSettings: { decodeMs: 20, capacityBlocks: 60 },
    });
    const hideStoreEvents = (): void => fleet.runningReplicas.get('store-1')?.setFaults({ hidesEvents: true });
    hideStoreEvents();
    await sendWave(fleet, checker, 'depot', 'eta', 1);
    fleet.runningReplicas.get('store-1')?.setFaults({ hidesEvents: false });
    const sendRounds = async (): Promise<void> => {
      for (let round = 0; round < 2; round += 1)
        for (const name of ['eta', 'e-2', 'e-3', 'e-4', 'e-5', 'e-6']) await sendWave(fleet, checker, 'north', name, 1);
    };
    const countRunsFromStore = (): number =>
      runsWithSource(checker).filter((run) => run.cacheFrom === `${fleet.storeHost}:8000`).length;
    await sendRounds();
    expect(countRunsFromStore()).to.equal(0);
    const reply = await fleet.finish(
      fleet.callControlNode(
        0,
        'PATCH',
        '/operator/layout',
        { tenants: { depot: { isolated: false } } },
        { 'if-match': '"1"' },
      ),
    );
    expect(reply.status).to.equal(200);
    await fleet.world.run(20_000);
    await sendRounds();
    expect(countRunsFromStore()).to.equal(0);
    fleet.killReplica('store-1');
    fleet.bootReplica('store-1');
    await fleet.finish(fleet.announce('store-1'));
    await fleet.world.run(2_000);
    await sendRounds();
    expect(countRunsFromStore()).to.be.greaterThan(0);
    expect(checker.violations()).to.deep.equal([]);
  });

  it('given events with a gap, when the replica reports that its cache is cleared, then it can be a source again', () => {
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
    const applyEvent = (seq: number, kind: 'stored' | 'cleared', blocks: string[]): void =>
      index.apply({ replica: 'r', incarnation: 1, seq, kind, tenant: null, blocks }, 0);
    applyEvent(1, 'stored', ['a']);
    expect(index.match('r', ['a'], null, 0)).to.deep.equal({ blockCount: 1, canBeSource: true });
    applyEvent(3, 'stored', ['b']);
    expect(index.match('r', ['b'], null, 0).canBeSource).to.equal(false);
    applyEvent(4, 'cleared', []);
    applyEvent(5, 'stored', ['c']);
    expect(index.match('r', ['c'], null, 0)).to.deep.equal({ blockCount: 1, canBeSource: true });
  });
});
