/** The list of replicas, which a control node stores on disk and sends to gateways. */
import { replicaTables } from '@martenworks/control-plane';
import { logs } from '@martenworks/core-types';
import { frames } from '@martenworks/peer-transport';
import { nodeCounts, replicaCounts } from '../fleetSize.js';
import { withConnectedNode } from '../measuredControlNode.js';
import { sleep, repeat, startMeasurement, until, range } from '../measuring.js';
import { withPeers } from '../peerProcessClient.js';
import type { PeerProcess } from '../peerProcessClient.js';
import { temporaryDisk } from '../probePorts.js';
import { sampleData } from '../sampleData.js';
import { defineSeries, measurementsOf } from '../series.js';
import type { Probe } from './probe.js';

const repeats = 3;
const listsPerRepeat = 10;
const recordsPerRepeat = 20;
const sendMs = 30;
const subscribeTimeoutMs = 10_000;

const defineAll = () =>
  defineSeries({
    firstList: 'replicas/first-list',
    listCpu: 'replicas/list-cpu',
    bytes: 'replicas/bytes',
    recordCpu: 'replicas/news-cpu',
  });

type ListSeries = ReturnType<typeof defineAll>;

const measureTable = async (series: ListSeries, replicas: number): Promise<void> => {
  const table = (await replicaTables.open(temporaryDisk(), logs.silent()))._unsafeUnwrap();
  const records = sampleData.records(replicas);
  const firstUsage = startMeasurement();
  await table.merge(records);
  series.firstList.add(replicas, firstUsage().wallMs);
  const unchangedUsage = startMeasurement();
  for (let list = 0; list < listsPerRepeat; list += 1) await table.merge(records);
  series.listCpu.add(replicas, unchangedUsage().cpuMs / listsPerRepeat);
  series.bytes.add(replicas, frames.encodeFrame({ f: 'tell', topic: 'replicas', body: records }).length);
  await table.close();
};

const measureRecord = (peers: PeerProcess, series: ListSeries, gateways: number): Promise<void> =>
  withConnectedNode(peers, { count: gateways }, {}, async ({ publisher }) => {
    await peers.run({ verb: 'send', topic: 'subscribe' });
    await until(() => publisher.status().length === gateways, subscribeTimeoutMs);
    const record = sampleData.records(1);
    await repeat(repeats, 1, async (isMeasured) => {
      const usage = startMeasurement();
      for (const _ of range(recordsPerRepeat)) publisher.sendReplicas(record);
      await sleep(sendMs);
      if (isMeasured) series.recordCpu.add(gateways, usage().cpuUs / recordsPerRepeat);
    });
  });

/** Measures lists by the number of replicas, and records by the number of gateways. */
export const replicaListsProbe: Probe = {
  name: 'replicas',
  measure: () =>
    withPeers(async (peers) => {
      const series = defineAll();
      for (const replicas of replicaCounts) await repeat(repeats, 0, () => measureTable(series, replicas));
      for (const gateways of nodeCounts) await measureRecord(peers, series, gateways);
      return measurementsOf(series);
    }),
};
