/** Pushes of configuration changes from a control node to gateways, and catch-up of nodes that lag. */
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
const fixedGateways = 100;
const fixedTenants = 1_000;
const missedChangeCounts = [1, 10, 30, 60];
const subscribeTimeoutMs = 10_000;
const ackTimeoutMs = 30_000;
const ackPollMs = 10;

/** The cost of one change: CPU time of the node, wall-clock time until the last acknowledgement, bytes per gateway. */
interface PushCost {
  readonly cpuMs: number;
  readonly ackedMs: number;
  readonly bytesPerGateway: number;
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

const catchUpBytes = (missedChanges: number): number => {
  const committed = range(missedChanges).map((at) => ({
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
  gateways: number,
): Promise<PushCost> => {
  const logIndex = (node.acceptor.committedState()?.logIndex ?? 0) + 1;
  const usage = startMeasurement(node.meter);
  await node.acceptor.commit({ logIndex, change });
  const isAcked = (): boolean => node.publisher.status().every((ack) => ack.logIndex === logIndex);
  await until(isAcked, ackTimeoutMs, ackPollMs);
  const { cpuMs, wallMs, sentBytes } = usage();
  return { cpuMs, ackedMs: wallMs, bytesPerGateway: sentBytes / gateways };
};

/** Returns a function that measures pushes, each with a configuration version of its own. */
const createPush = (peers: PeerProcess) => {
  let configVersion = 0;
  return (gateways: number, tenants: number, record: (cost: PushCost) => void): Promise<void> =>
    withConnectedNode(peers, { count: gateways }, { tenants }, async (node) => {
      await peers.run({ verb: 'send', topic: 'subscribe' });
      await until(() => node.publisher.status().length === gateways, subscribeTimeoutMs);
      await repeat(repeats, 1, async (isMeasured) => {
        configVersion += 1;
        const base = node.acceptor.committedState()?.configLogIndex ?? 0;
        const cost = await pushOne(node, sampleData.configChange(tenants, configVersion, base), gateways);
        if (isMeasured) record(cost);
      });
    });
};

/** Measures pushes by the number of gateways and of tenants. */
export const pushesProbe: Probe = {
  name: 'pushes',
  measure: () =>
    withPeers(async (peers) => {
      const series = defineAll();
      for (const missedChanges of missedChangeCounts)
        series.catchUpBytes.add(missedChanges, catchUpBytes(missedChanges));
      const push = createPush(peers);
      for (const gateways of nodeCounts)
        await push(gateways, fixedTenants, ({ cpuMs, ackedMs }) => {
          series.cpuMs.add(gateways, cpuMs);
          series.ackedMs.add(gateways, ackedMs);
        });
      for (const tenants of tenantCounts) {
        await push(fixedGateways, tenants, ({ cpuMs, bytesPerGateway }) => {
          series.cpuMsByTenants.add(tenants, cpuMs);
          series.bytes.add(tenants, bytesPerGateway);
        });
        series.snapshotBytes.add(tenants, snapshotBytes(tenants));
      }
      return measurementsOf(series);
    }),
};
