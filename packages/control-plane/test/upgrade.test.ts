/** Tests that the current programs read data folders and settings files of an earlier release without any loss. */
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
const voterNames = ['core-2', 'core-3', 'core-4'];
const gatewayControlNames = Object.keys(postmaster.nodes);
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

/** The request that created a version of the configuration, as it was sent to the earlier release. */
const requestFor = (version: number): RequestInit => ({
  method: 'PATCH',
  headers: { 'if-match': `${version - 1}` },
  body: JSON.stringify({ version, add: { routes: [route(version)] } }),
});

const storedFences = async (copy: string): Promise<[string, number][]> => {
  const leases = (await leaseTables.open(machine.disk(copy), machine.clock, logs.silent()))._unsafeUnwrap();
  const fences = leases.table.fences();
  await leases.close();
  return fences;
};

const withCopy = async (node: string, run: (copy: string) => Promise<void>): Promise<void> => {
  const copy = upgradeData.copyOf(node);
  try {
    await run(copy);
  } finally {
    rmSync(copy, { recursive: true });
  }
};

describe("data folders of an earlier release's platform control nodes", () => {
  for (const [node, saved] of Object.entries(core.nodes)) {
    it(`given the folder of ${node}, when a node starts on a copy, then it has the saved identity, state and fencing tokens`, () =>
      withCopy(node, async (copy) => {
        const started = await upgradedNodes.startControlNode(node, copy);
        const state = started.acceptor.committedState();
        const { incarnation, isNewNode } = started.acceptor;
        const isVoter = started.acceptor.isVoter();
        await started.stop();
        expect([incarnation, isNewNode, isVoter]).to.deep.equal([saved.incarnation, saved.isFresh, saved.hasSeat]);
        expect([state?.logIndex, state?.routing?.configVersion]).to.deep.equal([saved.generation, saved.version]);
        expect(state?.members).to.deep.equal(core.seats);
        expect(state?.targetWeights).to.deep.equal(core.namedVersions);
        if (saved.version === core.version) expect(state?.routing?.source).to.equal(upgradeData.configuration);
        expect(await storedFences(copy)).to.deep.equal(saved.fences);
      }));
  }

  it('given the folders of all voters, when they start together, then they serve the configuration, remain voters and accept changes', async () => {
    const world = new SimWorld(1);
    const nodes = await upgradedNodes.startControlNodes(world, voterNames);
    await world.until('a majority', () => nodes.every((node) => node.isReady()), readyMs);
    for (const node of nodes) {
      const response = await finish(world, controlApi(node).request('/config'));
      expect([response.status, response.headers.get('etag')]).to.deep.equal([200, `"${core.version}"`]);
      expect(await response.text()).to.equal(upgradeData.configuration);
    }
    const [first] = nodes.map((node) => controlApi(node));
    const repeated = await finish(world, first?.request('/config', requestFor(core.version)));
    expect(repeated?.status, 'the newest request, sent again').to.equal(200);
    const next = await finish(world, first?.request('/config', requestFor(core.version + 1)));
    expect(next?.status, 'a request based on the newest version').to.equal(200);
    await world.until('the new version on all nodes', () =>
      nodes.every((node) => node.acceptor.committedState()?.routing?.configVersion === core.version + 1),
    );
    for (const node of nodes) {
      expect(node.acceptor.committedState()?.members).to.deep.equal(core.seats);
      expect(node.acceptor.isVoter()).to.equal(true);
    }
  });

  it('given fencing tokens on disk, when the nodes grant the lease again, then its token is above them', async () => {
    const world = new SimWorld(2);
    const nodes = await upgradedNodes.startControlNodes(world, voterNames);
    const granted = (): number[] => nodes.flatMap((node) => node.leaseManager.status().map(({ fence }) => fence));
    await world.until('a lease', () => granted().length > 0, leaseMs);
    const recorded = Object.values(core.nodes).flatMap(({ fences }) => fences.map(([, fence]) => fence));
    expect(Math.min(...granted())).to.be.above(Math.max(...recorded));
  });
});

describe("data folders of an earlier release's gateway control nodes", () => {
  for (const [node, saved] of Object.entries(postmaster.nodes)) {
    it(`given the folder of ${node}, when a node starts on a copy, then it has the saved identity, state, keys, claims, replicas and fencing tokens`, () =>
      withCopy(node, async (copy) => {
        const started = await upgradedNodes.startGatewayControlNode(node, copy);
        const state = started.acceptor.committedState();
        const { incarnation, isNewNode } = started.acceptor;
        const replicas = started.replicaTable.records();
        const claims = started.claimTable.size();
        await started.stop();
        expect([incarnation, isNewNode]).to.deep.equal([saved.incarnation, saved.isFresh]);
        expect(state?.logIndex).to.equal(saved.generation);
        expect(state?.members).to.deep.equal(postmaster.seats);
        expect(state?.config).to.deep.equal(upgradeData.layoutPage.layout);
        expect(Object.keys(state?.keys ?? {})).to.have.lengthOf(postmaster.keys);
        expect(claims).to.equal(postmaster.claims);
        const restored = replicas.map((one) => {
          const { name, address, pool, incarnation: replicaIncarnation, state: replicaState } = one;
          return { name, address, pool, incarnation: replicaIncarnation, state: replicaState };
        });
        expect(restored).to.have.deep.members([...postmaster.replicas]);
        expect(Object.fromEntries(await storedFences(copy))).to.deep.equal(postmaster.fences);
      }));
  }

  it('given the folders of all nodes, when they start together, then they serve the configuration, know its change, and grant higher fencing tokens', async () => {
    const world = new SimWorld(3);
    const nodes = await upgradedNodes.startGatewayControlNodes(world, gatewayControlNames);
    await world.until('a majority', () => nodes.every((node) => node.isReady()), readyMs);
    for (const node of nodes) {
      const api = operatorApi(node);
      const page = await finish(world, api.request('/operator/layout'));
      expect([page.status, await page.json()]).to.deep.equal([200, upgradeData.layoutPage]);
      const change = await finish(world, api.request('/operator/changes/add-lane'));
      expect(await change.json()).to.include({ outcome: 'accepted', generation: upgradeData.layoutPage.generation });
      expect(node.acceptor.committedState()?.members).to.deep.equal(postmaster.seats);
    }
    const leases = () => nodes.flatMap((node) => node.leaseManager.status());
    const leaseCount = Object.keys(postmaster.fences).length;
    await world.until('all leases', () => new Set(leases().map(({ duty }) => duty)).size === leaseCount, leaseMs);
    for (const { duty, fence } of leases()) expect(fence, duty).to.be.above(postmaster.fences[duty] as number);
  });
});

describe('settings files of an earlier release', () => {
  it('given the file of a control node, when it is read, then every field has its previous meaning', () => {
    const { settings, platformApi } = bootFile.read(upgradeData.settingsPath('core'))._unsafeUnwrap();
    expect(platformApi).to.equal('127.77.6.1:8161');
    expect(settings).to.deep.equal({
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

  it('given the file of an edge, when it is read, then every field has its previous meaning', () => {
    const { settings, platformApi } = bootFile.read(upgradeData.settingsPath('edge'))._unsafeUnwrap();
    expect(platformApi).to.equal('127.77.6.1:8161');
    expect(settings).to.deep.equal({
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
    memoryMb: 1_024,
    openFiles: 4_096,
    drainMs: 20_000,
    stallMs: 15_000,
    claimRetentionMs: 500_000,
    logs: false,
    index: false,
  };

  it('given the file of a gateway control node, when it is checked, then every field has its previous meaning', () => {
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

  it('given the file of a gateway, when it is checked, then every field has its previous meaning', () => {
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

  it("given the operator's configuration, when it is checked, then it is valid", () => {
    expect(gatewayConfigs.check(upgradeData.layoutPage.layout).isOk()).to.equal(true);
  });
});
