/** The endpoint list of the users' platform and the roll-out of weights. */
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
const readingsARepeat = 10;
const clonesTimed = 20;
const stepsBehind = 10;
const stepsIdle = 20;
const changesARepeat = 10;
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
  after: (_ms, ring) => {
    setImmediate(ring);
    return { cancel: () => {} };
  },
};

/** A reader of the list that asks again at once, and gets each answer only when told to. */
const steppedReader = (list: readonly ReplicaEndpoint[]): { read: () => Promise<void>; stop: () => void } => {
  let answer: (() => void) | null = null;
  const reader = new EndpointListReader(
    routeSamples.backendClient({
      listReplicas: () =>
        new Promise((give) => {
          answer = () => give(ok(structuredClone([...list])));
        }),
    }),
    immediateClock,
    machine.random,
    logs.silent(),
    { intervalMs: 0, maxCallsPerSecond: 1e9, readerCount: () => 1 },
    () => {},
  );
  const read = async (): Promise<void> => {
    await until(() => answer !== null, readerTimeoutMs, 0);
    const give = answer;
    answer = null;
    give?.();
    await new Promise<void>((wake) => setImmediate(wake));
  };
  return { read, stop: reader.stop };
};

/** The copy of the list that stands for the call's answer is taken off. */
const measureReading = async (series: ListSeries, list: readonly ReplicaEndpoint[]): Promise<void> => {
  const { read, stop } = steppedReader(list);
  await read();
  const cloneMs = meanCpuMs(clonesTimed, () => void structuredClone(list));
  await repeat(repeats, 1, async (isMeasured) => {
    const spent = startMeasurement();
    for (const _ of range(readingsARepeat)) await read();
    if (isMeasured) series.reading.add(list.length, Math.max(0, spent().cpuMs / readingsARepeat - cloneMs));
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
    const stepMs = meanCpuMs(stepsBehind, () => behind.step());
    const idleMs = meanCpuMs(stepsIdle, () => done.step());
    const replicaTracker = new ReplicaTracker(machine.clock);
    replicaTracker.applyEndpoints({ isWhole: true, put: list, gone: [] });
    const edgeMs = meanCpuMs(changesARepeat, (at) =>
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

/** Measures by the replicas of the list. */
export const routeListProbe: Probe = {
  name: 'way-list',
  measure: async () => {
    const series = defineAll();
    for (const replicas of replicaCounts) {
      const list = routeSamples.endpoints(replicas);
      const body = { isWhole: true, put: list, gone: [] };
      series.bytes.add(replicas, frames.encodeFrame({ f: 'tell', topic: 'endpoints', body }).length);
      await measureReading(series, list);
      await measureSteps(series, list);
    }
    return measurementsOf(series);
  },
};
