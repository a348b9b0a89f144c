/** An edge never goes back to an older state, whichever control node sends one and whenever it arrives. */
import { expect } from 'chai';
import { ControlConnection } from '@martenworks/edge-proxy';
import type { EdgeState } from '@martenworks/core-types';
import { SimWorld } from '@martenworks/test-fleet';
import { nodeSettings } from '@martenworks/settings';
import { ControlNodeStub, routingTableOf, memberOf } from './controlNodeStub.js';
import type { Publishing } from './controlNodeStub.js';

const edgeHost = '10.1.0.1';
const hosts = ['10.0.0.1', '10.0.0.2', '10.0.0.3'];
const members = hosts.map(memberOf);
const seeds = Array.from({ length: 60 }, (_, at) => 700 + at);
const settleMs = 3_000;
/** Time in which an edge that hears of a newer state has asked for it and has it, over links that are not slow. */
const fetchMs = 300;

const settings = nodeSettings
  .check({
    name: 'edge',
    zone: 'near',
    zones: { near: 'r' },
    peerAddress: `${edgeHost}:7000`,
    http: `${edgeHost}:8080`,
    seeds: members.map(({ address }) => address),
    voters: 3,
    isFresh: true,
    drainMs: 1_000,
    orderGapMs: 3_000,
    versionMs: 8_000,
    retryBudgetRatio: 1,
    retryBudgetWindowMs: 10_000,
    retryBudgetSlack: 100,
    listIntervalMs: 1_000,
    listPerSecond: 1,
    listTimeoutMs: 1_000,
    memoryMb: 250,
    openFiles: 4_096,
  })
  ._unsafeUnwrap();

/** An edge's connections to three control nodes; the first is in the edge's zone and so its source. */
class Stage {
  readonly world: SimWorld;
  readonly nodes: readonly ControlNodeStub[];
  readonly states: EdgeState[] = [];
  readonly control: ControlConnection;

  private constructor(seed: number, publishing: Publishing) {
    this.world = new SimWorld(seed);
    this.nodes = hosts.map(
      (host, at) => new ControlNodeStub(this.world, host, at === 0 ? 'near' : 'far', members, 1, publishing),
    );
    const ignore = (): void => {};
    this.control = new ControlConnection(
      settings,
      this.world.machine(edgeHost).ports(),
      'incarnation of the edge',
      members.map(({ address }) => address),
      {
        onState: (news) => void this.states.push(news),
        onEndpoints: ignore,
        onWeights: ignore,
        onPrefixCaches: ignore,
        onPrefillNotices: ignore,
        onCacheMiss: ignore,
        isReady: () => true,
      },
    );
  }

  /** All control nodes hold generation 1, and so does the edge. */
  static readonly open = async (seed: number, publishing: Publishing = 'newer states only'): Promise<Stage> => {
    const stage = new Stage(seed, publishing);
    for (const node of stage.nodes) await node.start();
    await stage.world.run(settleMs);
    expect(stage.generations(), 'at first').to.deep.equal([1]);
    expect(stage.source.isSource(), 'the near node is the source').to.equal(true);
    return stage;
  };

  get source(): ControlNodeStub {
    return this.nodes[0] as ControlNodeStub;
  }

  get others(): readonly ControlNodeStub[] {
    return this.nodes.slice(1);
  }

  readonly generations = (): number[] => this.states.map(({ logIndex }) => logIndex);

  readonly between = (low: number, high: number): number => low + this.world.random() * (high - low);

  /** Lets whatever is on its way arrive, and checks that each state was newer than the one before, the last the newest. */
  readonly expectOnward = async (newest: number): Promise<void> => {
    await this.world.run(settleMs);
    this.control.stop();
    const generations = this.generations();
    const what = `seed ${this.world.seed}: ${generations.join(' ')}`;
    for (const [at, logIndex] of generations.entries()) expect(logIndex, what).to.be.above(generations[at - 1] ?? 0);
    expect(this.control.statePosition(), what).to.deep.equal({ logIndex: newest, configVersion: newest });
    expect(this.control.state()?.table, what).to.deep.equal(routingTableOf(newest));
  };
}

describe('the order of states at an edge', () => {
  it('given a source that lags and whose link is slow, when its state arrives after a newer one of another node, then the edge keeps the newer', async () => {
    for (const seed of seeds) {
      const stage = await Stage.open(seed);
      const { world, source, others } = stage;
      world.delayLink(source.host, edgeHost, stage.between(400, 700));
      source.advanceTo(2);
      await world.run(stage.between(0, 80));
      for (const node of others) node.advanceTo(3);
      await world.run(fetchMs);
      expect(stage.generations(), `seed ${seed}: before the old state arrives`).to.deep.equal([1, 3]);
      await stage.expectOnward(3);
      expect(source.staleArrivals, `seed ${seed}`).to.be.above(0);
    }
  });

  it('given a lagging node that the edge dials again, when its answer arrives after a newer state, then the edge keeps the newer', async () => {
    for (const seed of seeds) {
      const stage = await Stage.open(seed);
      const { world, source, others } = stage;
      const [lagging] = others as [ControlNodeStub];
      await lagging.stop();
      await world.run(stage.between(50, 500));
      lagging.logIndex = 2;
      world.delayLink(lagging.host, edgeHost, stage.between(100, 300));
      await lagging.start();
      await world.until('its state is on its way', () => lagging.statesSent > 0, settleMs);
      for (const node of stage.nodes) if (node !== lagging) node.advanceTo(3);
      expect(source.isSource(), `seed ${seed}`).to.equal(true);
      await stage.expectOnward(3);
      expect(lagging.staleArrivals, `seed ${seed}`).to.be.above(0);
    }
  });

  it('given a source that restarts and lags, when its state arrives after a newer one of another node, then the edge keeps the newer', async () => {
    let overtaken = 0;
    for (const seed of seeds) {
      const stage = await Stage.open(seed);
      const { world, source, others } = stage;
      await source.stop();
      await world.run(stage.between(20, 600));
      source.logIndex = 2;
      world.delayLink(source.host, edgeHost, stage.between(100, 300));
      await source.start();
      await world.until('its state is on its way', () => source.statesSent > 0, settleMs);
      for (const node of others) node.advanceTo(3);
      await stage.expectOnward(3);
      if (source.staleArrivals > 0) overtaken += 1;
    }
    expect(overtaken, 'seeds in which a newer state came first').to.be.above(seeds.length / 2);
  });

  it('given a source that restarts with an older state and sends it to whoever subscribes, when it is dialled again, then the edge keeps the newer', async () => {
    for (const seed of seeds) {
      const stage = await Stage.open(seed, 'any state');
      const { world, source } = stage;
      for (const node of stage.nodes) node.advanceTo(3);
      await world.run(fetchMs);
      await source.stop();
      await world.run(stage.between(0, 600));
      source.logIndex = 2;
      await source.start();
      await world.until('its state is on its way', () => source.statesSent > 0, settleMs);
      await stage.expectOnward(3);
      expect(source.staleArrivals, `seed ${seed}`).to.be.above(0);
    }
  });
});
