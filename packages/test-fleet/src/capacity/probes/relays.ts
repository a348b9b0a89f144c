/** Cache events forwarded from replicas through a control node to gateways. */
import type { Ports, ReplicaRecord } from '@martenworks/core-types';
import { KvEventFollower } from '@martenworks/control-plane';
import { nodeCounts } from '../fleetSize.js';
import { openControlNode } from '../measuredControlNode.js';
import type { MeasuredControlNode } from '../measuredControlNode.js';
import { sleep, repeat, startMeasurement, until, range } from '../measuring.js';
import { Meter } from '../meteredNet.js';
import { withPeers } from '../peerProcessClient.js';
import type { PeerProcess } from '../peerProcessClient.js';
import { probePorts } from '../probePorts.js';
import { sampleData } from '../sampleData.js';
import { defineSeries, measurementsOf } from '../series.js';
import { EventFeed, eventBytes } from './eventFeed.js';
import type { Probe } from './probe.js';

const replicaCount = 50;
const ticksPerSecond = 100;
const msPerSecond = 1_000;
const tickMs = msPerSecond / ticksPerSecond;
const followersReadyMs = 50;
const lastBatchMs = 60;
const arrivalTimeoutMs = 20_000;
const repeats = 3;
const usPerSecond = 1e6;

/** Events at a constant rate; without gateways the node only follows them. */
interface EventLoad {
  readonly gateways: number;
  readonly eventsPerSecond: number;
  readonly durationMs: number;
  readonly blocksPerEvent?: number;
  /** Whether the gateways apply the events to an index. */
  readonly appliesUpdates?: boolean;
}

/** The cost per event of the node and of each gateway, the node's CPU utilization, and the share delivered in time. */
interface EventCost {
  readonly us: number;
  readonly bytes: number;
  readonly busy: number;
  readonly delivered: number;
  readonly gatewayUs: number;
}

const defineAll = () =>
  defineSeries({
    nodeUs: 'relays/core-cpu',
    batchedUs: 'relays/core-cpu-full',
    bytes: 'relays/bytes',
    followerBusy: 'relays/follower-busy',
    nodeBusy: 'relays/core-busy',
    delivered: 'relays/delivered',
    gatewayBusy: 'relays/front-busy',
  });

type EventSeries = ReturnType<typeof defineAll>;
const records = sampleData.records(replicaCount);

/** Returns the event text of each replica for each tick; must run before the measurement starts. */
const ticksOf = ({ eventsPerSecond, durationMs, blocksPerEvent = 1 }: EventLoad): string[][] => {
  const eventsPerTick = Math.max(1, Math.round(eventsPerSecond / ticksPerSecond));
  const offered = Math.round((eventsPerSecond * durationMs) / msPerSecond);
  const seqs = new Array<number>(replicaCount).fill(0);
  let block = 0;
  const nextEvent = (replica: number): string => {
    const seq = (seqs[replica] ?? 0) + 1;
    seqs[replica] = seq;
    const blocks = range(blocksPerEvent).map(() => sampleData.blockName(++block));
    return eventBytes(sampleData.stored((records[replica] as ReplicaRecord).name, seq, blocks));
  };
  return range(Math.ceil(offered / eventsPerTick)).map((tick) => {
    const texts = new Array<string>(replicaCount).fill('');
    for (const at of range(eventsPerTick)) {
      const replica = (tick * eventsPerTick + at) % replicaCount;
      texts[replica] += nextEvent(replica);
    }
    return texts;
  });
};

const sendTicks = async (feed: EventFeed, ticks: readonly (readonly Uint8Array[])[]): Promise<void> => {
  const startedAt = performance.now();
  for (const [tick, chunks] of ticks.entries()) {
    for (const [replica, chunk] of chunks.entries())
      if (chunk.length > 0) feed.push((records[replica] as ReplicaRecord).address, chunk);
    const remainingMs = startedAt + (tick + 1) * tickMs - performance.now();
    await (remainingMs > 0 ? sleep(remainingMs) : new Promise<void>((resolve) => setImmediate(resolve)));
  }
};

const measureDelivery = async (
  node: MeasuredControlNode,
  feed: EventFeed,
  follower: KvEventFollower,
  load: EventLoad,
): Promise<Omit<EventCost, 'gatewayUs'> & { readonly events: number }> => {
  const ticks = ticksOf(load).map((texts) => texts.map((text) => Buffer.from(text)));
  const events = ticks.length * Math.max(1, Math.round(load.eventsPerSecond / ticksPerSecond));
  const followedEvents = (): number => follower.sizes().reduce((sum, { seq }) => sum + seq, 0);
  const usage = startMeasurement(node.meter);
  await sendTicks(feed, ticks);
  const offeredSoFar = (load.eventsPerSecond * usage().wallMs) / msPerSecond;
  const delivered = followedEvents() / Math.max(events, offeredSoFar);
  await until(() => followedEvents() >= events, arrivalTimeoutMs);
  await sleep(lastBatchMs);
  const { cpuMs, cpuUs, wallMs, sentBytes } = usage();
  return {
    events,
    us: cpuUs / events,
    bytes: sentBytes / events / Math.max(1, load.gateways),
    busy: cpuMs / wallMs,
    delivered,
  };
};

const follow = (node: MeasuredControlNode, feed: EventFeed): KvEventFollower => {
  const ports: Ports = { ...probePorts(new Meter()), httpClient: feed.httpClient };
  return new KvEventFollower(
    ports,
    (events) => node.publisher.sendCacheEvents(events),
    () => {},
    () => 1,
  );
};

const runLoad = async (peers: PeerProcess, load: EventLoad): Promise<EventCost> => {
  const { gateways, appliesUpdates = false } = load;
  const feed = new EventFeed();
  const node = await openControlNode({ records });
  const follower = follow(node, feed);
  await peers.run({ verb: 'dial', address: node.address, firstPeer: 0, count: gateways, appliesUpdates });
  await peers.run({ verb: 'send', topic: 'subscribe' });
  follower.reconcile(records);
  await sleep(followersReadyMs);
  const before = await peers.run({ verb: 'readCounters' });
  const { events, ...cost } = await measureDelivery(node, feed, follower, load);
  const after = await peers.run({ verb: 'readCounters' });
  follower.stop();
  await peers.run({ verb: 'closeAll' });
  await node.close();
  return { ...cost, gatewayUs: (after.cpuUs - before.cpuUs) / events / Math.max(1, gateways) };
};

const measureByGateways = async (peers: PeerProcess, series: EventSeries): Promise<void> => {
  for (const gateways of nodeCounts)
    series.nodeUs.add(gateways, (await runLoad(peers, { gateways, eventsPerSecond: 1_000, durationMs: 300 })).us);
  for (const gateways of [5, 10, 20, 40])
    series.batchedUs.add(gateways, (await runLoad(peers, { gateways, eventsPerSecond: 20_000, durationMs: 200 })).us);
};

const measureBytes = async (peers: PeerProcess, series: EventSeries): Promise<void> => {
  for (const blocksPerEvent of [1, 4, 16, 64]) {
    const load = { gateways: 3, eventsPerSecond: 1_000, durationMs: 200, blocksPerEvent };
    series.bytes.add(blocksPerEvent, (await runLoad(peers, load)).bytes);
  }
};

const measureByRate = async (peers: PeerProcess, series: EventSeries): Promise<void> => {
  for (const eventsPerSecond of [2_000, 10_000, 30_000, 60_000, 120_000]) {
    const load = { eventsPerSecond, durationMs: 300 };
    const forwarded = await runLoad(peers, { ...load, gateways: 3 });
    series.nodeBusy.add(eventsPerSecond, forwarded.busy);
    series.delivered.add(eventsPerSecond, forwarded.delivered);
    const followed = await runLoad(peers, { ...load, gateways: 0 });
    series.followerBusy.add(eventsPerSecond, (followed.us * eventsPerSecond) / usPerSecond);
    const withIndex = await runLoad(peers, { ...load, gateways: 1, appliesUpdates: true });
    series.gatewayBusy.add(eventsPerSecond, (withIndex.gatewayUs * eventsPerSecond) / usPerSecond);
  }
};

/** Measures events by the number of gateways, by event size and by rate. */
export const relaysProbe: Probe = {
  name: 'relays',
  measure: () =>
    withPeers(async (peers) => {
      const series = defineAll();
      await repeat(repeats, 0, async (_isMeasured, round) => {
        await measureByGateways(peers, series);
        if (round === 0) await measureBytes(peers, series);
        await measureByRate(peers, series);
      });
      return measurementsOf(series);
    }),
};
