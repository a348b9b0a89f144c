/** A gateway's view of the configuration: built anew for each change, and adjusted for each replica record. */
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
const changesARepeat = 3;
const recordsARepeat = 4;

const defineAll = () =>
  defineSeries({
    view: 'layout/view',
    viewIsolated: 'layout/view-isolated',
    replicaRecord: 'layout/replica-news',
    memory: 'layout/memory',
  });

type LayoutSeries = ReturnType<typeof defineAll>;

/** Views stay referenced in `kept`, so that their memory is not collected between readings. */
const measureView = (series: LayoutSeries, kept: StateView[], tenants: number, isolated: number): void => {
  const empty = heapBytes();
  const routingTable = new StateView(machine.clock, () => {});
  const state = structuredClone(sampleData.stateOf(tenants, isolated, []));
  routingTable.applySnapshot(state);
  kept.push(routingTable);
  if (isolated === 0) series.memory.add(tenants, heapBytes() - empty);
  routingTable.applyReplicas(sampleData.records(fleetSize.replicas));
  const { logIndex } = state;
  const changes = range(changesARepeat).map(
    (at): Change => ({
      id: `view-${at}`,
      digest: '0',
      body: { kind: 'config', config: sampleData.configOf(tenants, isolated, at), base: logIndex + at },
    }),
  );
  const ms = meanCpuMs(changesARepeat, (at) => void routingTable.applyChange(logIndex + 1 + at, changes[at] as Change));
  (isolated === 0 ? series.view : series.viewIsolated).add(tenants, ms);
};

const measureRecord = async (series: LayoutSeries, replicas: number): Promise<void> => {
  const routingTable = new StateView(machine.clock, () => {});
  routingTable.applySnapshot(sampleData.stateOf(fleetSize.tenants, Math.round(fleetSize.tenants * isolatedShare), []));
  const records = sampleData.records(replicas);
  routingTable.applyReplicas(records);
  await repeat(repeats, 1, (isMeasured, round) => {
    const ms = meanCpuMs(recordsARepeat, (at) =>
      routingTable.applyReplicas([{ ...(records[at] as ReplicaRecord), incarnation: 2 + round }]),
    );
    if (isMeasured) series.replicaRecord.add(replicas, ms);
  });
};

/** Measures views by tenants and replica records by replicas. */
export const layoutProbe: Probe = {
  name: 'layout',
  measure: async () => {
    const series = defineAll();
    const kept: StateView[] = [];
    for (const tenants of tenantCounts)
      for (const isolated of [0, Math.round(tenants * isolatedShare)])
        await repeat(repeats, 0, () => measureView(series, kept, tenants, isolated));
    for (const replicas of replicaCounts) await measureRecord(series, replicas);
    return measurementsOf(series);
  },
};
