/** The endpoint list, and the rollout of weights. */
import { EndpointListReader, WeightsRollout } from '@martenworks/control-plane';
import { logs, machine } from '@martenworks/core-types';
import type { Clock, ReplicaEndpoint } from '@martenworks/core-types';
import { ReplicaTracker } from '@martenworks/edge-proxy';
import { frames } from '@martenworks/peer-transport';
import { ok } from 'neverthrow';
import { poolCount, replicaCounts } from '../fleetSize.js';
import { meanCpuMs, repeat, startMeasurement, until, range } from '../measuring.js';
import { routeSamples } from '../routeSamples.js';
import { defineSeries, measurementsOf } from '../series.js';
import type { Probe } from './probe.js';

const repeats = 3;
const readsPerRepeat = 10;
const clonesTimed = 20;
const pendingSteps = 10;
const idleSteps = 20;
const changesPerRepeat = 10;
const readerTimeoutMs = 1_000;

const defineAll = () =>
  defineSeries({
    reading: 'way-list/reading-cpu',
    bytes: 'way-list/bytes',
    edge: 'way-list/front-cpu',
    step: 'way-weights/step-cpu',
    idle: 'way-weights/idle-cpu',
  });

type ListSeries = ReturnType<typeof defineAll>;

const immediateClock: Clock = {
  ...machine.clock,
  after: (_ms, callback) => {
    setImmediate(callback);
    return { cancel: () => {} };
  },
};

/** Creates a reader of the list that requests it again immediately; `read` returns one response to it. */
const steppedReader = (list: readonly ReplicaEndpoint[]): { read: () => Promise<void>; stop: () => void } => {
  let respond: (() => void) | null = null;
  const reader = new EndpointListReader(
    routeSamples.backendClient({
      listReplicas: () =>
        new Promise((resolveList) => {
          respond = () => resolveList(ok(structuredClone([...list])));
        }),
    }),
    immediateClock,
    machine.random,
    logs.silent(),
    { intervalMs: 0, maxCallsPerSecond: 1e9, readerCount: () => 1 },
    () => {},
  );
  const read = async (): Promise<void> => {
    await until(() => respond !== null, readerTimeoutMs, 0);
    const pending = respond;
    respond = null;
    pending?.();
    await new Promise<void>((resolve) => setImmediate(resolve));
  };
  return { read, stop: reader.stop };
};

/** The time to copy the list, which stands in for the response of the call, is subtracted. */
const measureReads = async (series: ListSeries, list: readonly ReplicaEndpoint[]): Promise<void> => {
  const { read, stop } = steppedReader(list);
  await read();
  const cloneMs = meanCpuMs(clonesTimed, () => void structuredClone(list));
  await repeat(repeats, 1, async (isMeasured) => {
    const usage = startMeasurement();
    for (const _ of range(readsPerRepeat)) await read();
    if (isMeasured) series.reading.add(list.length, Math.max(0, usage().cpuMs / readsPerRepeat - cloneMs));
  });
  stop();
};

const rolloutTo = (version: number, list: readonly ReplicaEndpoint[]): WeightsRollout =>
  new WeightsRollout(
    routeSamples.backendClient({}),
    { ...machine.clock, after: () => ({ cancel: () => {} }) },
    logs.silent(),
    () => list,
    () => range(poolCount).map((at) => ({ pool: routeSamples.modelOf(at), model: routeSamples.modelOf(at), version })),
    () => 1,
    () => 'postmaster-1',
    () => {},
    () => {},
  );

const measureSteps = (series: ListSeries, list: readonly ReplicaEndpoint[]): Promise<void> =>
  repeat(repeats, 1, (isMeasured) => {
    const [behind, done] = [rolloutTo(2, list), rolloutTo(1, list)];
    behind.step();
    const stepMs = meanCpuMs(pendingSteps, () => behind.step());
    const idleMs = meanCpuMs(idleSteps, () => done.step());
    const replicaTracker = new ReplicaTracker(machine.clock);
    replicaTracker.applyEndpoints({ isWhole: true, put: list, gone: [] });
    const edgeMs = meanCpuMs(changesPerRepeat, (at) =>
      replicaTracker.applyEndpoints({
        isWhole: false,
        put: [{ ...(list[at] as ReplicaEndpoint), isLeaving: true }],
        gone: [],
      }),
    );
    if (!isMeasured) return;
    series.step.add(list.length, stepMs);
    series.idle.add(list.length, idleMs);
    series.edge.add(list.length, edgeMs);
  });

/** Measures by the number of replicas in the list. */
export const routeListProbe: Probe = {
  name: 'way-list',
  measure: async () => {
    const series = defineAll();
    for (const replicas of replicaCounts) {
      const list = routeSamples.endpoints(replicas);
      const body = { isWhole: true, put: list, gone: [] };
      series.bytes.add(replicas, frames.encodeFrame({ f: 'tell', topic: 'endpoints', body }).length);
      await measureReads(series, list);
      await measureSteps(series, list);
    }
    return measurementsOf(series);
  },
};
