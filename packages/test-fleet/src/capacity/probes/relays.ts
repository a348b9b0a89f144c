/** Cache events on their way from replicas through a control node to gateways. */
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
const ticksASecond = 100;
const msPerSecond = 1_000;
const tickMs = msPerSecond / ticksASecond;
const followersReadyMs = 50;
const lastBundleMs = 60;
const arrivalTimeoutMs = 20_000;
const repeats = 3;
const usPerSecond = 1e6;

/** One run of events at a rate; with no gateways the node only follows them. */
interface EventLoad {
  readonly edges: number;
  readonly eventsPerSecond: number;
  readonly durationMs: number;
  readonly blocksAnEvent?: number;
  /** The gateways take the events into an index of their own. */
  readonly appliesUpdates?: boolean;
}

/** Cost of an event to the node and to each gateway, the node's busy share, and the share delivered in time. */
interface EventCost {
  readonly us: number;
  readonly bytes: number;
  readonly busy: number;
  readonly delivered: number;
  readonly edgeUs: number;
}

const defineAll = () =>
  defineSeries({
    nodeUs: 'relays/core-cpu',
    bundledUs: 'relays/core-cpu-full',
    bytes: 'relays/bytes',
    followerBusy: 'relays/follower-busy',
    nodeBusy: 'relays/core-busy',
    delivered: 'relays/delivered',
    frontBusy: 'relays/front-busy',
  });

type EventSeries = ReturnType<typeof defineAll>;
const records = sampleData.records(replicaCount);

/** The bytes of each replica for each tick, made before anything is measured. */
const ticksOf = ({ eventsPerSecond, durationMs, blocksAnEvent = 1 }: EventLoad): string[][] => {
  const eventsATick = Math.max(1, Math.round(eventsPerSecond / ticksASecond));
  const offered = Math.round((eventsPerSecond * durationMs) / msPerSecond);
  const seqs = new Array<number>(replicaCount).fill(0);
  let block = 0;
  const nextEvent = (replica: number): string => {
    const seq = (seqs[replica] ?? 0) + 1;
    seqs[replica] = seq;
    const blocks = range(blocksAnEvent).map(() => sampleData.blockName(++block));
    return eventBytes(sampleData.stored((records[replica] as ReplicaRecord).name, seq, blocks));
  };
  return range(Math.ceil(offered / eventsATick)).map((tick) => {
    const texts = new Array<string>(replicaCount).fill('');
    for (const at of range(eventsATick)) {
      const replica = (tick * eventsATick + at) % replicaCount;
      texts[replica] += nextEvent(replica);
    }
    return texts;
  });
};

const playTicks = async (feed: EventFeed, ticks: readonly (readonly Uint8Array[])[]): Promise<void> => {
  const beganAt = performance.now();
  for (const [tick, parts] of ticks.entries()) {
    for (const [replica, part] of parts.entries())
      if (part.length > 0) feed.push((records[replica] as ReplicaRecord).address, part);
    const earlyMs = beganAt + (tick + 1) * tickMs - performance.now();
    await (earlyMs > 0 ? sleep(earlyMs) : new Promise<void>((wake) => setImmediate(wake)));
  }
};

const measurePlay = async (
  node: MeasuredControlNode,
  feed: EventFeed,
  desk: KvEventFollower,
  load: EventLoad,
): Promise<Omit<EventCost, 'edgeUs'> & { readonly events: number }> => {
  const ticks = ticksOf(load).map((texts) => texts.map((text) => Buffer.from(text)));
  const events = ticks.length * Math.max(1, Math.round(load.eventsPerSecond / ticksASecond));
  const heard = (): number => desk.sizes().reduce((sum, { seq }) => sum + seq, 0);
  const spent = startMeasurement(node.meter);
  await playTicks(feed, ticks);
  const offeredSoFar = (load.eventsPerSecond * spent().wallMs) / msPerSecond;
  const delivered = heard() / Math.max(events, offeredSoFar);
  await until(() => heard() >= events, arrivalTimeoutMs);
  await sleep(lastBundleMs);
  const { cpuMs, cpuUs, wallMs, sentBytes } = spent();
  return {
    events,
    us: cpuUs / events,
    bytes: sentBytes / events / Math.max(1, load.edges),
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

const play = async (peers: PeerProcess, load: EventLoad): Promise<EventCost> => {
  const { edges, appliesUpdates = false } = load;
  const feed = new EventFeed();
  const node = await openControlNode({ records });
  const desk = follow(node, feed);
  await peers.run({ verb: 'dial', address: node.address, firstPeer: 0, count: edges, appliesUpdates });
  await peers.run({ verb: 'send', topic: 'subscribe' });
  desk.reconcile(records);
  await sleep(followersReadyMs);
  const before = await peers.run({ verb: 'readCounters' });
  const { events, ...cost } = await measurePlay(node, feed, desk, load);
  const after = await peers.run({ verb: 'readCounters' });
  desk.stop();
  await peers.run({ verb: 'closeAll' });
  await node.close();
  return { ...cost, edgeUs: (after.cpuUs - before.cpuUs) / events / Math.max(1, edges) };
};

const measureByFronts = async (peers: PeerProcess, series: EventSeries): Promise<void> => {
  for (const edges of nodeCounts)
    series.nodeUs.add(edges, (await play(peers, { edges, eventsPerSecond: 1_000, durationMs: 300 })).us);
  for (const edges of [5, 10, 20, 40])
    series.bundledUs.add(edges, (await play(peers, { edges, eventsPerSecond: 20_000, durationMs: 200 })).us);
};

const measureBytes = async (peers: PeerProcess, series: EventSeries): Promise<void> => {
  for (const blocksAnEvent of [1, 4, 16, 64]) {
    const load = { edges: 3, eventsPerSecond: 1_000, durationMs: 200, blocksAnEvent };
    series.bytes.add(blocksAnEvent, (await play(peers, load)).bytes);
  }
};

const measureByRate = async (peers: PeerProcess, series: EventSeries): Promise<void> => {
  for (const eventsPerSecond of [2_000, 10_000, 30_000, 60_000, 120_000]) {
    const load = { eventsPerSecond, durationMs: 300 };
    const three = await play(peers, { ...load, edges: 3 });
    series.nodeBusy.add(eventsPerSecond, three.busy);
    series.delivered.add(eventsPerSecond, three.delivered);
    const alone = await play(peers, { ...load, edges: 0 });
    series.followerBusy.add(eventsPerSecond, (alone.us * eventsPerSecond) / usPerSecond);
    const real = await play(peers, { ...load, edges: 1, appliesUpdates: true });
    series.frontBusy.add(eventsPerSecond, (real.edgeUs * eventsPerSecond) / usPerSecond);
  }
};

/** Measures events by gateways, by their size and by their rate. */
export const relaysProbe: Probe = {
  name: 'relays',
  measure: () =>
    withPeers(async (peers) => {
      const series = defineAll();
      await repeat(repeats, 0, async (_isMeasured, round) => {
        await measureByFronts(peers, series);
        if (round === 0) await measureBytes(peers, series);
        await measureByRate(peers, series);
      });
      return measurementsOf(series);
    }),
};
