/** Pings between gateways and a control node: freshness, reports of load and notices of heavy prefills. */
import { fleetSize, nodeCounts, replicaCounts, runningPerEdge } from '../fleetSize.js';
import { withConnectedNode } from '../measuredControlNode.js';
import type { MeasuredControlNode } from '../measuredControlNode.js';
import { repeat, startMeasurement } from '../measuring.js';
import type { ReportedLoad } from '../peerCommands.js';
import { withPeers } from '../peerProcessClient.js';
import type { PeerProcess } from '../peerProcessClient.js';
import { defineSeries, measurementsOf } from '../series.js';
import type { Probe } from './probe.js';

const pingCount = 60;
const repeats = 3;
const fixedFronts = 100;

const defineAll = () =>
  defineSeries({
    nodeUs: 'pings/core-cpu',
    edgeUs: 'pings/front-cpu',
    pingBytes: 'pings/ask-bytes',
    replyBytes: 'pings/pong-bytes',
    replyBytesByReplicas: 'pings/pong-bytes-by-replicas',
    noticeMs: 'heavy/core-cpu',
    noticeBytes: 'heavy/bytes',
  });

type PingSeries = ReturnType<typeof defineAll>;

const measureNotice = async (
  peers: PeerProcess,
  series: PingSeries,
  edges: number,
  load: ReportedLoad,
): Promise<void> => {
  const spent = startMeasurement();
  const heavy = await peers.run({ verb: 'heavyPrefill', load });
  series.noticeMs.add(edges, spent().cpuMs);
  series.noticeBytes.add(edges, heavy.receivedBytes);
};

/** Notices to many gateways are dear, so the last repeat leaves them out there. */
const measureFronts = async (
  peers: PeerProcess,
  node: MeasuredControlNode,
  series: PingSeries,
  edges: number,
): Promise<void> => {
  const load = { running: runningPerEdge, replicas: fleetSize.replicas };
  await repeat(repeats, 0, async (_isMeasured, at) => {
    const spent = startMeasurement(node.meter);
    const cost = await peers.run({ verb: 'pingWithLoad', count: pingCount, load });
    series.nodeUs.add(edges, spent().cpuUs / pingCount);
    series.replyBytes.add(edges, cost.receivedBytes);
    series.pingBytes.add(edges, cost.sentBytes);
    series.edgeUs.add(edges, cost.cpuUs);
    if (edges <= fixedFronts || at < repeats - 1) await measureNotice(peers, series, edges, load);
  });
};

const measureReplicas = async (peers: PeerProcess, series: PingSeries, replicas: number): Promise<void> => {
  const load = { running: runningPerEdge, replicas };
  await repeat(repeats, 0, async () => {
    const cost = await peers.run({ verb: 'pingWithLoad', count: pingCount, load });
    series.replyBytesByReplicas.add(replicas, cost.receivedBytes);
  });
};

/** The first pings tell the node each gateway's load; they are not measured. */
const subscribeAndWarmUp = async (peers: PeerProcess, edges: number, replicas: number): Promise<void> => {
  await peers.run({ verb: 'send', topic: 'subscribe' });
  await peers.run({ verb: 'pingWithLoad', count: edges, load: { running: runningPerEdge, replicas } });
};

/** Measures pings by gateways and by replicas. */
export const pingsProbe: Probe = {
  name: 'pings',
  measure: () =>
    withPeers(async (peers) => {
      const series = defineAll();
      for (const edges of nodeCounts)
        await withConnectedNode(peers, { count: edges }, {}, async (node) => {
          await subscribeAndWarmUp(peers, edges, fleetSize.replicas);
          await measureFronts(peers, node, series, edges);
        });
      for (const replicas of replicaCounts)
        await withConnectedNode(peers, { count: fixedFronts }, {}, async () => {
          await subscribeAndWarmUp(peers, fixedFronts, replicas);
          await measureReplicas(peers, series, replicas);
        });
      return measurementsOf(series);
    }),
};
