/** The prefix-cache index that control nodes follow and edges store. */
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
const partsPerStep = 10_000;
const stepTimeoutMs = 5_000;
const stepPollMs = 20;
const lastBatchMs = 80;
/** Batches with fewer events are too short to be timed by the CPU clock. */
const minEventsTimed = 1_000;
const batchSizes = [1, 10, 100, 1_000];

const defineAll = () =>
  defineSeries({
    follow: 'way-index/follow-cpu',
    event: 'way-index/event-cpu',
    nodeMemory: 'way-index/core-memory',
    edgeMemory: 'way-index/front-memory',
    edgeUs: 'way-index/front-cpu',
    bytes: 'way-index/bytes',
  });

type IndexSeries = ReturnType<typeof defineAll>;

/** A batch of events as the edge receives it. */
interface SentBatch {
  readonly frame: Uint8Array;
  readonly events: number;
}

const followerOf = (
  backendClient: BackendClient,
  onBatch: (batch: readonly PrefixCacheUpdate[]) => void,
): PrefixCacheFollower =>
  new PrefixCacheFollower(backendClient, machine.clock, machine.random, logs.silent(), onBatch, () => {});

const encodeUpdates = (body: readonly PrefixCacheUpdate[]): Uint8Array =>
  frames.encodeFrame({ f: 'tell', topic: 'prefixCaches', body });

const measureFollowing = async (series: IndexSeries, replicas: number): Promise<void> => {
  const idle = routeSamples.backendClient({
    prefixCacheEvents: async () => ok({ epoch: 'e', next: 0, isLost: false, events: [] }),
  });
  const follower = followerOf(idle, () => {});
  const addresses = routeSamples.endpoints(replicas).map(({ address }) => address);
  follower.reconcile(new Set(addresses), () => true);
  await sleep(followMs);
  await repeat(repeats, 0, async () => {
    const usage = startMeasurement();
    await sleep(followMs);
    const { cpuMs, wallMs } = usage();
    series.follow.add(replicas, (cpuMs / wallMs) * msPerSecond);
  });
  follower.stop();
};

/** Returns a client whose replicas each return the page of events set for them, once. */
const pagedClient = (pages: Map<string, PrefixCacheEvent[]>): BackendClient => {
  let next = 0;
  return routeSamples.backendClient({
    prefixCacheEvents: async (address) => {
      const page = pages.get(address) ?? [];
      pages.delete(address);
      next += page.length;
      return ok({ epoch: 'e', next, isLost: false, events: page });
    },
  });
};

const measureEdge = (series: IndexSeries, parts: number, sent: readonly SentBatch[]): void => {
  const before = heapBytes();
  const index = new PrefixCacheIndex(machine.clock);
  const decoder = new FrameDecoder(
    (message) => index.apply((message as { body: PrefixCacheUpdate[] }).body),
    () => {},
  );
  for (const { frame, events } of sent) {
    const startUs = cpuUs();
    decoder.push(frame);
    if (events > minEventsTimed) series.edgeUs.add(parts, (cpuUs() - startUs) / events);
  }
  series.edgeMemory.add(parts, heapBytes() - before);
  index.sizes();
};

/** Feeds events to a follower step by step, and passes the batches that it sends to `measureEdge`. */
const measureParts = async (series: IndexSeries): Promise<void> => {
  const addresses = routeSamples.endpoints(replicaCount).map(({ address }) => address);
  const pages = new Map<string, PrefixCacheEvent[]>();
  const batches: PrefixCacheUpdate[][] = [];
  const sent: SentBatch[] = [];
  const empty = heapBytes();
  const follower = followerOf(pagedClient(pages), (batch) => void batches.push([...batch]));
  follower.reconcile(new Set(addresses), () => true);
  const followedParts = (): number => follower.sizes().reduce((sum, { parts }) => sum + parts, 0);
  let fedParts = 0;
  const step = async (target: number): Promise<void> => {
    const count = Math.min(partsPerStep, target - fedParts);
    const share = count / addresses.length;
    for (const [at, address] of addresses.entries())
      pages.set(
        address,
        range(share).map((part) => routeSamples.cacheEvent(fedParts + at * share + part)),
      );
    const usage = startMeasurement();
    fedParts += count;
    await until(() => followedParts() >= fedParts, stepTimeoutMs, stepPollMs);
    await sleep(lastBatchMs);
    series.event.add(target, usage().cpuUs / count);
    for (const batch of batches.splice(0))
      sent.push({
        frame: encodeUpdates(batch),
        events: batch.reduce((sum, { events: page }) => sum + page.length, 0),
      });
  };
  for (const target of partCounts) {
    while (fedParts < target) await step(target);
    series.nodeMemory.add(target, heapBytes() - empty);
    measureEdge(series, target, sent);
  }
  follower.stop();
};

const batchBytes = (events: number): number => {
  const [endpoint] = routeSamples.endpoints(1);
  const page = range(events).map(routeSamples.cacheEvent);
  return encodeUpdates([{ address: endpoint?.address ?? '', isWhole: false, isHeard: true, events: page }]).length;
};

/** Measures by the number of followed replicas and of cached parts. */
export const routeIndexProbe: Probe = {
  name: 'way-index',
  measure: async () => {
    const series = defineAll();
    for (const replicas of replicaCounts) await measureFollowing(series, replicas);
    await measureParts(series);
    for (const events of batchSizes) series.bytes.add(events, batchBytes(events) / events);
    return measurementsOf(series);
  },
};
