/** Data folders and settings files of an earlier release: today's programs take them and lose nothing. */
import { rmSync } from 'node:fs';
import { expect } from 'chai';
import { controlApi, bootFile } from '@martenworks/platform';
import { leaseTables, operatorApi } from '@martenworks/control-plane';
import { logs, machine } from '@martenworks/core-types';
import { gatewaySettings, gatewayConfigs } from '@martenworks/settings';
import { SimWorld } from '@martenworks/test-fleet';
import { upgradeData } from './upgradeData.js';
import { finish, upgradedNodes } from './upgradedNodes.js';

const { core, postmaster } = upgradeData.expected;
const seatedCores = ['core-2', 'core-3', 'core-4'];
const postmasterNames = Object.keys(postmaster.nodes);
const readyMs = 10_000;
const leaseMs = 30_000;

const route = (version: number) => ({
  name: `added-${version}`,
  hostname: 'a.example',
  pathStart: `/added-${version}/`,
  type: 'safe',
  backend: 'plain',
  giveUpMs: 6_000,
  targetMs: 800,
  rank: 1,
  tries: 3,
  public: false,
  pinned: false,
});

/** The order that made a version of the configuration, as it was sent to the earlier release. */
const orderOf = (version: number): RequestInit => ({
  method: 'PATCH',
  headers: { 'if-match': `${version - 1}` },
  body: JSON.stringify({ version, add: { routes: [route(version)] } }),
});

const keptFences = async (copy: string): Promise<[string, number][]> => {
  const kept = (await leaseTables.open(machine.disk(copy), machine.clock, logs.silent()))._unsafeUnwrap();
  const fences = kept.table.fences();
  await kept.close();
  return fences;
};

const withCopy = async (node: string, work: (copy: string) => Promise<void>): Promise<void> => {
  const copy = upgradeData.copyOf(node);
  try {
    await work(copy);
  } finally {
    rmSync(copy, { recursive: true });
  }
};

describe("data folders of an earlier release's platform control nodes", () => {
  for (const [node, held] of Object.entries(core.nodes)) {
    it(`given the folder of ${node}, when a node starts on a copy, then it holds the identity, state and fences it held`, () =>
      withCopy(node, async (copy) => {
        const started = await upgradedNodes.coreAlone(node, copy);
        const state = started.acceptor.agreed();
        const { incarnation, isFresh } = started.acceptor;
        const hasSeat = started.acceptor.isVoter();
        await started.stop();
        expect([incarnation, isFresh, hasSeat]).to.deep.equal([held.incarnation, held.isFresh, held.hasSeat]);
        expect([state?.logIndex, state?.routing?.configVersion]).to.deep.equal([held.generation, held.version]);
        expect(state?.members).to.deep.equal(core.seats);
        expect(state?.targetWeights).to.deep.equal(core.namedVersions);
        if (held.version === core.version) expect(state?.routing?.source).to.equal(upgradeData.configuration);
        expect(await keptFences(copy)).to.deep.equal(held.fences);
      }));
  }

  it('given the folders of all that have seats, when they start together, then they serve the configuration, keep their seats and take orders', async () => {
    const world = new SimWorld(1);
    const nodes = await upgradedNodes.cores(world, seatedCores);
    await world.until('a majority', () => nodes.every((node) => node.isReady()), readyMs);
    for (const node of nodes) {
      const answer = await finish(world, controlApi(node).request('/config'));
      expect([answer.status, answer.headers.get('etag')]).to.deep.equal([200, `"${core.version}"`]);
      expect(await answer.text()).to.equal(upgradeData.configuration);
    }
    const [first] = nodes.map(controlApi);
    const repeated = await finish(world, first?.request('/config', orderOf(core.version)));
    expect(repeated?.status, 'the newest order, sent again').to.equal(200);
    const next = await finish(world, first?.request('/config', orderOf(core.version + 1)));
    expect(next?.status, 'an order on the newest version').to.equal(200);
    await world.until('the same on all', () =>
      nodes.every((node) => node.acceptor.agreed()?.routing?.configVersion === core.version + 1),
    );
    for (const node of nodes) {
      expect(node.acceptor.agreed()?.members).to.deep.equal(core.seats);
      expect(node.acceptor.isVoter()).to.equal(true);
    }
  });

  it('given fences on disk, when the nodes grant the lease again, then its fence is above them', async () => {
    const world = new SimWorld(2);
    const nodes = await upgradedNodes.cores(world, seatedCores);
    const granted = (): number[] => nodes.flatMap((node) => node.leaseManager.status().map(({ fence }) => fence));
    await world.until('a lease', () => granted().length > 0, leaseMs);
    const recorded = Object.values(core.nodes).flatMap(({ fences }) => fences.map(([, fence]) => fence));
    expect(Math.min(...granted())).to.be.above(Math.max(...recorded));
  });
});

describe("data folders of an earlier release's postmasters", () => {
  for (const [node, held] of Object.entries(postmaster.nodes)) {
    it(`given the folder of ${node}, when a postmaster starts on a copy, then it holds what it held`, () =>
      withCopy(node, async (copy) => {
        const started = await upgradedNodes.postmasterAlone(node, copy);
        const state = started.acceptor.agreed();
        const { incarnation, isFresh } = started.acceptor;
        const replicas = started.table.records();
        const claims = started.claims.size();
        await started.stop();
        expect([incarnation, isFresh]).to.deep.equal([held.incarnation, held.isFresh]);
        expect(state?.logIndex).to.equal(held.generation);
        expect(state?.members).to.deep.equal(postmaster.seats);
        expect(state?.config).to.deep.equal(upgradeData.layoutPage.layout);
        expect(Object.keys(state?.keys ?? {})).to.have.lengthOf(postmaster.keys);
        expect(claims).to.equal(postmaster.claims);
        const told = replicas.map((one) => {
          const { name, address, pool, incarnation: run, state: standing } = one;
          return { name, address, pool, incarnation: run, state: standing };
        });
        expect(told).to.have.deep.members([...postmaster.replicas]);
        expect(Object.fromEntries(await keptFences(copy))).to.deep.equal(postmaster.fences);
      }));
  }

  it('given the folders of all, when they start together, then they serve the layout, know its change, and their fences rise', async () => {
    const world = new SimWorld(3);
    const nodes = await upgradedNodes.postmasters(world, postmasterNames);
    await world.until('a majority', () => nodes.every((node) => node.isReady()), readyMs);
    for (const node of nodes) {
      const wire = operatorApi(node);
      const page = await finish(world, wire.request('/operator/layout'));
      expect([page.status, await page.json()]).to.deep.equal([200, upgradeData.layoutPage]);
      const change = await finish(world, wire.request('/operator/changes/add-lane'));
      expect(await change.json()).to.include({ outcome: 'accepted', generation: upgradeData.layoutPage.generation });
      expect(node.acceptor.agreed()?.members).to.deep.equal(postmaster.seats);
    }
    const leases = () => nodes.flatMap((node) => node.leaseManager.status());
    const dutyCount = Object.keys(postmaster.fences).length;
    await world.until('all leases', () => new Set(leases().map(({ duty }) => duty)).size === dutyCount, leaseMs);
    for (const { duty, fence } of leases()) expect(fence, duty).to.be.above(postmaster.fences[duty] as number);
  });
});

describe('settings files of an earlier release', () => {
  it("given the core role's, when it is read, then every field means what it meant", () => {
    const { settings: env, platformApi } = bootFile.read(upgradeData.settingsPath('core'))._unsafeUnwrap();
    expect(platformApi).to.equal('127.77.6.1:8161');
    expect(env).to.deep.equal({
      name: 'core-2',
      zone: 'z1',
      zones: { z0: 'r', z1: 'r', z2: 'r' },
      peerAddress: '127.77.1.2:7640',
      http: '127.77.1.2:8169',
      ready: null,
      seeds: ['127.77.1.1:7640', '127.77.1.2:7640', '127.77.1.3:7640'],
      data: '/var/lib/martenworks',
      voters: 3,
      isFresh: true,
      drainMs: 8_000,
      orderGapMs: 3_200,
      versionMs: 7_500,
      controlLossTimeoutMs: 4_500,
      retryBudgetRatio: 0.25,
      retryBudgetWindowMs: 12_000,
      retryBudgetSlack: 58,
      listIntervalMs: 800,
      listPerSecond: 47,
      listTimeoutMs: 600,
      memoryMb: 350,
      openFiles: 4_100,
      logs: true,
      detectsStaleEntries: true,
    });
  });

  it("given the edge role's, when it is read, then every field means what it meant", () => {
    const { settings: env, platformApi } = bootFile.read(upgradeData.settingsPath('edge'))._unsafeUnwrap();
    expect(platformApi).to.equal('127.77.6.1:8161');
    expect(env).to.deep.equal({
      name: 'edge-1',
      zone: 'z0',
      zones: { z0: 'r', z1: 'r', z2: 'r' },
      peerAddress: '127.77.2.1:7640',
      http: '127.77.2.1:8167',
      ready: '127.77.2.1:8162',
      seeds: ['127.77.1.1:7640', '127.77.1.2:7640', '127.77.1.3:7640'],
      data: null,
      voters: 3,
      isFresh: false,
      drainMs: 8_000,
      orderGapMs: 3_200,
      versionMs: 7_500,
      controlLossTimeoutMs: 4_500,
      retryBudgetRatio: 0.25,
      retryBudgetWindowMs: 12_000,
      retryBudgetSlack: 58,
      listIntervalMs: 800,
      listPerSecond: 47,
      listTimeoutMs: 600,
      memoryMb: 350,
      openFiles: 4_100,
      logs: true,
      detectsStaleEntries: false,
    });
  });

  const common = {
    zone: 'a',
    seeds: ['127.78.0.1:7100', '127.78.0.2:7100', '127.78.0.3:7100'],
    gatewayCount: 12,
    bodyLimitBytes: 2_097_152,
    queueLimit: 256,
    drainMs: 20_000,
    stallMs: 15_000,
    claimRetentionMs: 500_000,
    logs: false,
    index: false,
  };

  it("given the postmaster's, when it is checked, then every field means what it meant", () => {
    expect(
      gatewaySettings.check('gateway-control', upgradeData.settings('postmaster'), {})._unsafeUnwrap(),
    ).to.deep.equal({
      ...common,
      role: 'gateway-control',
      name: 'postmaster-1',
      peerAddress: '127.78.0.1:7100',
      peerListenAddress: '127.78.0.1:7100',
      http: '127.78.0.1:7101',
      operators: null,
      data: '/var/lib/martenworks',
    });
  });

  it("given the counter's, when it is checked, then every field means what it meant", () => {
    expect(gatewaySettings.check('gateway', upgradeData.settings('counter'), {})._unsafeUnwrap()).to.deep.equal({
      ...common,
      role: 'gateway',
      name: 'counter-1',
      peerAddress: '127.78.1.1:7100',
      peerListenAddress: '127.78.1.1:7100',
      http: '127.78.1.1:7101',
      operators: '127.78.1.1:7102',
      data: null,
    });
  });

  it("given the operator's layout, when it is checked, then it is taken", () => {
    expect(gatewayConfigs.check(upgradeData.layoutPage.layout).isOk()).to.equal(true);
  });
});
