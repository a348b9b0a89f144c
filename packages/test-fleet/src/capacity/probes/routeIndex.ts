/** The prefix-cache index of the users' platform: followed by control nodes, held by edges. */
import { PrefixCacheFollower } from '@martenworks/control-plane';
import { logs, machine } from '@martenworks/core-types';
import type { BackendClient, PrefixCacheEvent, PrefixCacheUpdate } from '@martenworks/core-types';
import { PrefixCacheIndex } from '@martenworks/edge-proxy';
import { FrameDecoder, frames } from '@martenworks/peer-transport';
import { ok } from 'neverthrow';
import { replicaCounts } from '../fleetSize.js';
import { cpuUs, heapBytes, sleep, repeat, startMeasurement, until, range } from '../measuring.js';
import { routeSamples } from '../routeSamples.js';
import { defineSeries, measurementsOf } from '../series.js';
import type { Probe } from './probe.js';

const repeats = 3;
const followMs = 500;
const msPerSecond = 1_000;
const replicaCount = 50;
const partCounts = [10_000, 50_000, 100_000, 200_000];
const partsAStep = 10_000;
const stepTimeoutMs = 5_000;
const stepPollMs = 20;
const lastBundleMs = 80;
/** Bundles with fewer events are too short for the processor clock. */
const leastEventsTimed = 1_000;
const bundleSizes = [1, 10, 100, 1_000];

const defineAll = () =>
  defineSeries({
    follow: 'way-index/follow-cpu',
    event: 'way-index/event-cpu',
    nodeMemory: 'way-index/core-memory',
    frontMemory: 'way-index/front-memory',
    edgeUs: 'way-index/front-cpu',
    bytes: 'way-index/bytes',
  });

type IndexSeries = ReturnType<typeof defineAll>;

/** A bundle of events as the edge gets it. */
interface SentBundle {
  readonly frame: Uint8Array;
  readonly events: number;
}

const followerOf = (
  backendClient: BackendClient,
  onBundle: (bundle: readonly PrefixCacheUpdate[]) => void,
): PrefixCacheFollower =>
  new PrefixCacheFollower(backendClient, machine.clock, machine.random, logs.silent(), onBundle, () => {});

const packed = (body: readonly PrefixCacheUpdate[]): Uint8Array =>
  frames.encodeFrame({ f: 'tell', topic: 'prefixCaches', body });

const measureFollowing = async (series: IndexSeries, replicas: number): Promise<void> => {
  const idle = routeSamples.backendClient({
    prefixCacheEvents: async () => ok({ epoch: 'e', next: 0, isLost: false, events: [] }),
  });
  const desk = followerOf(idle, () => {});
  const addresses = routeSamples.endpoints(replicas).map(({ address }) => address);
  desk.reconcile(new Set(addresses), () => true);
  await sleep(followMs);
  await repeat(repeats, 0, async () => {
    const spent = startMeasurement();
    await sleep(followMs);
    const { cpuMs, wallMs } = spent();
    series.follow.add(replicas, (cpuMs / wallMs) * msPerSecond);
  });
  desk.stop();
};

/** Back ends whose replicas each hand out, once, the page of events that was put for them. */
const pagedBackEnds = (pages: Map<string, PrefixCacheEvent[]>): BackendClient => {
  let next = 0;
  return routeSamples.backendClient({
    prefixCacheEvents: async (address) => {
      const update = pages.get(address) ?? [];
      pages.delete(address);
      next += update.length;
      return ok({ epoch: 'e', next, isLost: false, events: update });
    },
  });
};

const measureFront = (series: IndexSeries, parts: number, sent: readonly SentBundle[]): void => {
  const before = heapBytes();
  const index = new PrefixCacheIndex(machine.clock);
  const unpacker = new FrameDecoder(
    (message) => index.apply((message as { body: PrefixCacheUpdate[] }).body),
    () => {},
  );
  for (const { frame, events } of sent) {
    const began = cpuUs();
    unpacker.push(frame);
    if (events > leastEventsTimed) series.edgeUs.add(parts, (cpuUs() - began) / events);
  }
  series.frontMemory.add(parts, heapBytes() - before);
  index.sizes();
};

/** Feeds a follower step by step, and hands the bundles that it sends to `measureFront`. */
const measureParts = async (series: IndexSeries): Promise<void> => {
  const addresses = routeSamples.endpoints(replicaCount).map(({ address }) => address);
  const pages = new Map<string, PrefixCacheEvent[]>();
  const bundles: PrefixCacheUpdate[][] = [];
  const sent: SentBundle[] = [];
  const empty = heapBytes();
  const desk = followerOf(pagedBackEnds(pages), (bundle) => void bundles.push([...bundle]));
  desk.reconcile(new Set(addresses), () => true);
  const heldParts = (): number => desk.sizes().reduce((sum, { parts }) => sum + parts, 0);
  let held = 0;
  const step = async (target: number): Promise<void> => {
    const count = Math.min(partsAStep, target - held);
    const share = count / addresses.length;
    for (const [at, address] of addresses.entries())
      pages.set(
        address,
        range(share).map((part) => routeSamples.cacheEvent(held + at * share + part)),
      );
    const spent = startMeasurement();
    held += count;
    await until(() => heldParts() >= held, stepTimeoutMs, stepPollMs);
    await sleep(lastBundleMs);
    series.event.add(target, spent().cpuUs / count);
    for (const bundle of bundles.splice(0))
      sent.push({ frame: packed(bundle), events: bundle.reduce((sum, { events: update }) => sum + update.length, 0) });
  };
  for (const target of partCounts) {
    while (held < target) await step(target);
    series.nodeMemory.add(target, heapBytes() - empty);
    measureFront(series, target, sent);
  }
  desk.stop();
};

const bundleBytes = (events: number): number => {
  const [endpoint] = routeSamples.endpoints(1);
  const update = range(events).map(routeSamples.cacheEvent);
  return packed([{ address: endpoint?.address ?? '', isWhole: false, isHeard: true, events: update }]).length;
};

/** Measures by replicas followed and by parts held. */
export const routeIndexProbe: Probe = {
  name: 'way-index',
  measure: async () => {
    const series = defineAll();
    for (const replicas of replicaCounts) await measureFollowing(series, replicas);
    await measureParts(series);
    for (const events of bundleSizes) series.bytes.add(events, bundleBytes(events) / events);
    return measurementsOf(series);
  },
};
