/** A gateway's view of the configuration, which is rebuilt for each change and updated for each replica record. */
import { StateView } from '@martenworks/gateway';
import { machine } from '@martenworks/core-types';
import type { Change, ReplicaRecord } from '@martenworks/core-types';
import { fleetSize, replicaCounts, tenantCounts } from '../fleetSize.js';
import { heapBytes, meanCpuMs, repeat, range } from '../measuring.js';
import { sampleData } from '../sampleData.js';
import { defineSeries, measurementsOf } from '../series.js';
import type { Probe } from './probe.js';

const isolatedShare = 0.01;
const repeats = 3;
const changesPerRepeat = 3;
const recordsPerRepeat = 4;

const defineAll = () =>
  defineSeries({
    view: 'layout/view',
    viewIsolated: 'layout/view-isolated',
    replicaRecord: 'layout/replica-news',
    memory: 'layout/memory',
  });

type LayoutSeries = ReturnType<typeof defineAll>;

/** Views stay referenced in `retained`, so that they are not garbage collected between measurements. */
const measureView = (series: LayoutSeries, retained: StateView[], tenants: number, isolated: number): void => {
  const empty = heapBytes();
  const stateView = new StateView(machine.clock, () => {});
  const state = structuredClone(sampleData.stateOf(tenants, isolated, []));
  stateView.applySnapshot(state);
  retained.push(stateView);
  if (isolated === 0) series.memory.add(tenants, heapBytes() - empty);
  stateView.applyReplicas(sampleData.records(fleetSize.replicas));
  const { logIndex } = state;
  const changes = range(changesPerRepeat).map(
    (at): Change => ({
      id: `view-${at}`,
      digest: '0',
      body: { kind: 'config', config: sampleData.configOf(tenants, isolated, at), base: logIndex + at },
    }),
  );
  const ms = meanCpuMs(changesPerRepeat, (at) => void stateView.applyChange(logIndex + 1 + at, changes[at] as Change));
  (isolated === 0 ? series.view : series.viewIsolated).add(tenants, ms);
};

const measureRecord = async (series: LayoutSeries, replicas: number): Promise<void> => {
  const stateView = new StateView(machine.clock, () => {});
  stateView.applySnapshot(sampleData.stateOf(fleetSize.tenants, Math.round(fleetSize.tenants * isolatedShare), []));
  const records = sampleData.records(replicas);
  stateView.applyReplicas(records);
  await repeat(repeats, 1, (isMeasured, round) => {
    const ms = meanCpuMs(recordsPerRepeat, (at) =>
      stateView.applyReplicas([{ ...(records[at] as ReplicaRecord), incarnation: 2 + round }]),
    );
    if (isMeasured) series.replicaRecord.add(replicas, ms);
  });
};

/** Measures views by the number of tenants, and replica records by the number of replicas. */
export const layoutProbe: Probe = {
  name: 'layout',
  measure: async () => {
    const series = defineAll();
    const retained: StateView[] = [];
    for (const tenants of tenantCounts)
      for (const isolated of [0, Math.round(tenants * isolatedShare)])
        await repeat(repeats, 0, () => measureView(series, retained, tenants, isolated));
    for (const replicas of replicaCounts) await measureRecord(series, replicas);
    return measurementsOf(series);
  },
};
