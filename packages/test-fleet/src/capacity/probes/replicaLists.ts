/** The list of replicas: kept on disk by a control node, and told to gateways. */
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
const listsARepeat = 10;
const recordsARepeat = 20;
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
  const first = startMeasurement();
  await table.merge(records);
  series.firstList.add(replicas, first().wallMs);
  const unchanged = startMeasurement();
  for (let list = 0; list < listsARepeat; list += 1) await table.merge(records);
  series.listCpu.add(replicas, unchanged().cpuMs / listsARepeat);
  series.bytes.add(replicas, frames.encodeFrame({ f: 'tell', topic: 'replicas', body: records }).length);
  await table.close();
};

const measureRecord = (peers: PeerProcess, series: ListSeries, edges: number): Promise<void> =>
  withConnectedNode(peers, { count: edges }, {}, async ({ publisher }) => {
    await peers.run({ verb: 'send', topic: 'subscribe' });
    await until(() => publisher.status().length === edges, subscribeTimeoutMs);
    const record = sampleData.records(1);
    await repeat(repeats, 1, async (isMeasured) => {
      const spent = startMeasurement();
      for (const _ of range(recordsARepeat)) publisher.sendReplicas(record);
      await sleep(sendMs);
      if (isMeasured) series.recordCpu.add(edges, spent().cpuUs / recordsARepeat);
    });
  });

/** Measures lists by replicas and records by gateways. */
export const replicaListsProbe: Probe = {
  name: 'replicas',
  measure: () =>
    withPeers(async (peers) => {
      const series = defineAll();
      for (const replicas of replicaCounts) await repeat(repeats, 0, () => measureTable(series, replicas));
      for (const edges of nodeCounts) await measureRecord(peers, series, edges);
      return measurementsOf(series);
    }),
};
