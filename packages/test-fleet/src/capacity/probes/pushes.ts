/** Pushes of configuration changes from a control node to gateways, and what nodes that lag are sent. */
import { frames } from '@martenworks/peer-transport';
import type { CommittedChange } from '@martenworks/control-plane';
import { fleetSize, nodeCounts, tenantCounts } from '../fleetSize.js';
import { sampleMembers, withConnectedNode } from '../measuredControlNode.js';
import type { MeasuredControlNode } from '../measuredControlNode.js';
import { repeat, startMeasurement, until, range } from '../measuring.js';
import { withPeers } from '../peerProcessClient.js';
import type { PeerProcess } from '../peerProcessClient.js';
import { sampleData } from '../sampleData.js';
import { defineSeries, measurementsOf } from '../series.js';
import type { Probe } from './probe.js';

const repeats = 3;
const fixedFronts = 100;
const fixedTenants = 1_000;
const changesBehind = [1, 10, 30, 60];
const subscribeTimeoutMs = 10_000;
const ackTimeoutMs = 30_000;
const ackPollMs = 10;

/** The cost of one change: processor time of the node, time until the last acknowledgement, bytes to each gateway. */
interface PushCost {
  readonly cpuMs: number;
  readonly ackedMs: number;
  readonly bytesEach: number;
}

const defineAll = () =>
  defineSeries({
    cpuMs: 'pushes/core-cpu',
    ackedMs: 'pushes/all-acked',
    cpuMsByTenants: 'pushes/core-cpu-by-tenants',
    bytes: 'pushes/bytes',
    snapshotBytes: 'pushes/checkpoint-bytes',
    catchUpBytes: 'pushes/since-bytes',
  });

const catchUpBytes = (behind: number): number => {
  const committed = range(behind).map((at) => ({
    logIndex: at,
    change: sampleData.configChange(fleetSize.tenants, at, at),
  }));
  return frames.encodeFrame({ f: 'reply', id: 1, body: { k: 'changes', committed } }).length;
};

const snapshotBytes = (tenants: number): number =>
  frames.encodeFrame({ f: 'tell', topic: 'checkpoint', body: sampleData.stateOf(tenants, 0, sampleMembers) }).length;

const pushOne = async (
  node: MeasuredControlNode,
  change: CommittedChange['change'],
  edges: number,
): Promise<PushCost> => {
  const logIndex = (node.acceptor.committedState()?.logIndex ?? 0) + 1;
  const spent = startMeasurement(node.meter);
  await node.acceptor.commit({ logIndex, change });
  const isAcked = (): boolean => node.publisher.status().every((ack) => ack.logIndex === logIndex);
  await until(isAcked, ackTimeoutMs, ackPollMs);
  const { cpuMs, wallMs, sentBytes } = spent();
  return { cpuMs, ackedMs: wallMs, bytesEach: sentBytes / edges };
};

/** Gives each push its own version of the configuration. */
const pusher = (peers: PeerProcess) => {
  let configVersion = 0;
  return (edges: number, tenants: number, note: (cost: PushCost) => void): Promise<void> =>
    withConnectedNode(peers, { count: edges }, { tenants }, async (node) => {
      await peers.run({ verb: 'send', topic: 'subscribe' });
      await until(() => node.publisher.status().length === edges, subscribeTimeoutMs);
      await repeat(repeats, 1, async (isMeasured) => {
        configVersion += 1;
        const base = node.acceptor.committedState()?.configLogIndex ?? 0;
        const cost = await pushOne(node, sampleData.configChange(tenants, configVersion, base), edges);
        if (isMeasured) note(cost);
      });
    });
};

/** Measures pushes by gateways and by tenants. */
export const pushesProbe: Probe = {
  name: 'pushes',
  measure: () =>
    withPeers(async (peers) => {
      const series = defineAll();
      for (const behind of changesBehind) series.catchUpBytes.add(behind, catchUpBytes(behind));
      const push = pusher(peers);
      for (const edges of nodeCounts)
        await push(edges, fixedTenants, ({ cpuMs, ackedMs }) => {
          series.cpuMs.add(edges, cpuMs);
          series.ackedMs.add(edges, ackedMs);
        });
      for (const tenants of tenantCounts) {
        await push(fixedFronts, tenants, ({ cpuMs, bytesEach }) => {
          series.cpuMsByTenants.add(tenants, cpuMs);
          series.bytes.add(tenants, bytesEach);
        });
        series.snapshotBytes.add(tenants, snapshotBytes(tenants));
      }
      return measurementsOf(series);
    }),
};
