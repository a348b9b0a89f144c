/** Pings between gateways and a control node, with load reports, and notices of heavy prefills. */
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
const fixedGateways = 100;

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
  gateways: number,
  load: ReportedLoad,
): Promise<void> => {
  const usage = startMeasurement();
  const heavy = await peers.run({ verb: 'heavyPrefill', load });
  series.noticeMs.add(gateways, usage().cpuMs);
  series.noticeBytes.add(gateways, heavy.receivedBytes);
};

/** Notices to many gateways are expensive, so the last repeat skips them above `fixedGateways`. */
const measureGateways = async (
  peers: PeerProcess,
  node: MeasuredControlNode,
  series: PingSeries,
  gateways: number,
): Promise<void> => {
  const load = { running: runningPerEdge, replicas: fleetSize.replicas };
  await repeat(repeats, 0, async (_isMeasured, at) => {
    const usage = startMeasurement(node.meter);
    const cost = await peers.run({ verb: 'pingWithLoad', count: pingCount, load });
    series.nodeUs.add(gateways, usage().cpuUs / pingCount);
    series.replyBytes.add(gateways, cost.receivedBytes);
    series.pingBytes.add(gateways, cost.sentBytes);
    series.edgeUs.add(gateways, cost.cpuUs);
    if (gateways <= fixedGateways || at < repeats - 1) await measureNotice(peers, series, gateways, load);
  });
};

const measureReplicas = async (peers: PeerProcess, series: PingSeries, replicas: number): Promise<void> => {
  const load = { running: runningPerEdge, replicas };
  await repeat(repeats, 0, async () => {
    const cost = await peers.run({ verb: 'pingWithLoad', count: pingCount, load });
    series.replyBytesByReplicas.add(replicas, cost.receivedBytes);
  });
};

/** The first pings report the load of each gateway to the node; they are not measured. */
const subscribeAndWarmUp = async (peers: PeerProcess, gateways: number, replicas: number): Promise<void> => {
  await peers.run({ verb: 'send', topic: 'subscribe' });
  await peers.run({ verb: 'pingWithLoad', count: gateways, load: { running: runningPerEdge, replicas } });
};

/** Measures pings by the number of gateways and of replicas. */
export const pingsProbe: Probe = {
  name: 'pings',
  measure: () =>
    withPeers(async (peers) => {
      const series = defineAll();
      for (const gateways of nodeCounts)
        await withConnectedNode(peers, { count: gateways }, {}, async (node) => {
          await subscribeAndWarmUp(peers, gateways, fleetSize.replicas);
          await measureGateways(peers, node, series, gateways);
        });
      for (const replicas of replicaCounts)
        await withConnectedNode(peers, { count: fixedGateways }, {}, async () => {
          await subscribeAndWarmUp(peers, fixedGateways, replicas);
          await measureReplicas(peers, series, replicas);
        });
      return measurementsOf(series);
    }),
};
