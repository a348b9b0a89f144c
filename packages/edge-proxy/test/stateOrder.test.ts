/** An edge never returns to an older state, whichever control node sends it and whenever it arrives. */
import { expect } from 'chai';
import { ControlConnection } from '@martenworks/edge-proxy';
import type { EdgeState } from '@martenworks/core-types';
import { SimWorld } from '@martenworks/test-fleet';
import { nodeSettings } from '@martenworks/settings';
import { ControlNodeStub, routingTableOf, memberOf } from './controlNodeStub.js';
import type { PublishPolicy } from './controlNodeStub.js';

const edgeHost = '10.1.0.1';
const hosts = ['10.0.0.1', '10.0.0.2', '10.0.0.3'];
const members = hosts.map(memberOf);
const seeds = Array.from({ length: 60 }, (_, at) => 700 + at);
const convergenceMs = 3_000;
/** Time within which an edge that learns of a newer state has fetched it, over links without added delay. */
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

/** An edge connected to three control nodes; the first is in the edge's zone and therefore its source. */
class Fixture {
  readonly world: SimWorld;
  readonly nodes: readonly ControlNodeStub[];
  readonly states: EdgeState[] = [];
  readonly control: ControlConnection;

  private constructor(seed: number, publishing: PublishPolicy) {
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
        onState: (update) => void this.states.push(update),
        onEndpoints: ignore,
        onWeights: ignore,
        onPrefixCaches: ignore,
        onPrefillNotices: ignore,
        onCacheMiss: ignore,
        isReady: () => true,
      },
    );
  }

  /** All control nodes and the edge start with log index 1. */
  static readonly open = async (seed: number, publishing: PublishPolicy = 'newer states only'): Promise<Fixture> => {
    const fixture = new Fixture(seed, publishing);
    for (const node of fixture.nodes) await node.start();
    await fixture.world.run(convergenceMs);
    expect(fixture.logIndexes(), 'at first').to.deep.equal([1]);
    expect(fixture.source.isSource(), 'the near node is the source').to.equal(true);
    return fixture;
  };

  get source(): ControlNodeStub {
    return this.nodes[0] as ControlNodeStub;
  }

  get others(): readonly ControlNodeStub[] {
    return this.nodes.slice(1);
  }

  readonly logIndexes = (): number[] => this.states.map(({ logIndex }) => logIndex);

  readonly uniform = (low: number, high: number): number => low + this.world.random() * (high - low);

  /** Waits for messages in flight, then checks that each state was newer than the previous one and the last is the newest. */
  readonly expectNewestState = async (newest: number): Promise<void> => {
    await this.world.run(convergenceMs);
    this.control.stop();
    const logIndexes = this.logIndexes();
    const what = `seed ${this.world.seed}: ${logIndexes.join(' ')}`;
    for (const [at, logIndex] of logIndexes.entries()) expect(logIndex, what).to.be.above(logIndexes[at - 1] ?? 0);
    expect(this.control.statePosition(), what).to.deep.equal({ logIndex: newest, configVersion: newest });
    expect(this.control.state()?.table, what).to.deep.equal(routingTableOf(newest));
  };
}

describe('the order of states on an edge', () => {
  it('given a lagging source on a slow link, when its state arrives after a newer one from another node, then the edge keeps the newer one', async () => {
    for (const seed of seeds) {
      const fixture = await Fixture.open(seed);
      const { world, source, others } = fixture;
      world.delayLink(source.host, edgeHost, fixture.uniform(400, 700));
      source.advanceTo(2);
      await world.run(fixture.uniform(0, 80));
      for (const node of others) node.advanceTo(3);
      await world.run(fetchMs);
      expect(fixture.logIndexes(), `seed ${seed}: before the old state arrives`).to.deep.equal([1, 3]);
      await fixture.expectNewestState(3);
      expect(source.staleArrivals, `seed ${seed}`).to.be.above(0);
    }
  });

  it('given a lagging node that the edge reconnects to, when its state arrives after a newer one, then the edge keeps the newer one', async () => {
    for (const seed of seeds) {
      const fixture = await Fixture.open(seed);
      const { world, source, others } = fixture;
      const [lagging] = others as [ControlNodeStub];
      await lagging.stop();
      await world.run(fixture.uniform(50, 500));
      lagging.logIndex = 2;
      world.delayLink(lagging.host, edgeHost, fixture.uniform(100, 300));
      await lagging.start();
      await world.until('its state is on its way', () => lagging.statesSent > 0, convergenceMs);
      for (const node of fixture.nodes) if (node !== lagging) node.advanceTo(3);
      expect(source.isSource(), `seed ${seed}`).to.equal(true);
      await fixture.expectNewestState(3);
      expect(lagging.staleArrivals, `seed ${seed}`).to.be.above(0);
    }
  });

  it('given a source that restarts and lags, when its state arrives after a newer one from another node, then the edge keeps the newer one', async () => {
    let overtakenRuns = 0;
    for (const seed of seeds) {
      const fixture = await Fixture.open(seed);
      const { world, source, others } = fixture;
      await source.stop();
      await world.run(fixture.uniform(20, 600));
      source.logIndex = 2;
      world.delayLink(source.host, edgeHost, fixture.uniform(100, 300));
      await source.start();
      await world.until('its state is on its way', () => source.statesSent > 0, convergenceMs);
      for (const node of others) node.advanceTo(3);
      await fixture.expectNewestState(3);
      if (source.staleArrivals > 0) overtakenRuns += 1;
    }
    expect(overtakenRuns, 'seeds in which a newer state came first').to.be.above(seeds.length / 2);
  });

  it('given a source that restarts with an older state and sends it to every subscriber, when the edge reconnects, then it keeps the newer one', async () => {
    for (const seed of seeds) {
      const fixture = await Fixture.open(seed, 'any state');
      const { world, source } = fixture;
      for (const node of fixture.nodes) node.advanceTo(3);
      await world.run(fetchMs);
      await source.stop();
      await world.run(fixture.uniform(0, 600));
      source.logIndex = 2;
      await source.start();
      await world.until('its state is on its way', () => source.statesSent > 0, convergenceMs);
      await fixture.expectNewestState(3);
      expect(source.staleArrivals, `seed ${seed}`).to.be.above(0);
    }
  });
});
