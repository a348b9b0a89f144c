/** Membership: exchanges of the member list, heartbeats, and the choice of watchers. */
import { MemberList, HeartbeatMonitor, hashRing } from '@martenworks/cluster-membership';
import type { MemberEntry } from '@martenworks/cluster-membership';
import { machine } from '@martenworks/core-types';
import { nodeCounts } from '../fleetSize.js';
import { withConnectedNode } from '../measuredControlNode.js';
import { heapBytes, meanCpuMs, repeat, startMeasurement, range } from '../measuring.js';
import { withPeers } from '../peerProcessClient.js';
import type { PeerProcess } from '../peerProcessClient.js';
import { sampleData } from '../sampleData.js';
import { defineSeries, measurementsOf } from '../series.js';
import type { Probe } from './probe.js';

const watchRepeats = 5;
const exchangeRepeats = 3;
const warmUpExchanges = 5;
const exchangesPerRepeat = 40;
const watcherLookupsPerRepeat = 20;
const heartbeatsOfSmallFleet = 10;
const heartbeatsOfLargeFleet = 2;
const smallFleetNodes = 100;

const defineAll = () =>
  defineSeries({
    beat: 'watch/beat-cpu',
    watchers: 'watch/lines-cpu',
    bytes: 'gossip/bytes',
    cpu: 'gossip/core-cpu',
    known: 'gossip/known',
    memory: 'gossip/memory',
  });

type GossipSeries = ReturnType<typeof defineAll>;

const own = sampleData.helloOf('edge', 0, '10.0.0.0:7100');

const fullMemberList = (nodes: number): MemberList => {
  const memberList = new MemberList(machine.clock, () => own);
  for (const at of range(nodes - 1)) {
    const address = `10.0.${(at + 1) >> 8}.${(at + 1) & 255}:7100`;
    memberList.recordContact(structuredClone(sampleData.helloOf('edge', at + 1, address)));
  }
  return memberList;
};

const measureWatch = async (series: GossipSeries, memberList: MemberList, nodes: number): Promise<void> => {
  const ringNodes = () => memberList.entries().map(({ hello }) => ({ name: hello.name, zone: hello.zone }));
  const monitor = new HeartbeatMonitor(machine.clock, () => ({ name: own.name, zone: own.zone }), ringNodes);
  await repeat(watchRepeats, 1, (isMeasured) => {
    const beatMs = meanCpuMs(nodes > smallFleetNodes ? heartbeatsOfLargeFleet : heartbeatsOfSmallFleet, () => {
      monitor.watchers();
      monitor.suspects();
    });
    const watchersMs = meanCpuMs(watcherLookupsPerRepeat, () => void hashRing.watchersOf(own.name, ringNodes()));
    if (!isMeasured) return;
    series.beat.add(nodes, beatMs);
    series.watchers.add(nodes, watchersMs);
  });
};

const knownAfterOneExchange = (memberList: MemberList): number => {
  const newMember = new MemberList(machine.clock, () => sampleData.helloOf('edge', 9_999, '10.9.9.9:7100'));
  newMember.merge(memberList.entries());
  return newMember.entries().length;
};

const measureExchange = async (
  peers: PeerProcess,
  series: GossipSeries,
  memberList: MemberList,
  nodes: number,
): Promise<void> => {
  const onCall = async (_connection: unknown, topic: string, body: unknown): Promise<MemberEntry[] | null> => {
    if (topic !== 'memberList') return null;
    memberList.merge(body as MemberEntry[]);
    return memberList.entries();
  };
  const exchange = { verb: 'call', topic: 'memberList', body: memberList.entries() } as const;
  await withConnectedNode(peers, { count: 1, firstPeer: 500 }, { handlers: { onCall } }, async ({ meter }) => {
    await peers.run({ ...exchange, count: warmUpExchanges });
    await repeat(exchangeRepeats, 0, async () => {
      const usage = startMeasurement(meter);
      await peers.run({ ...exchange, count: exchangesPerRepeat });
      const { cpuUs, sentBytes, receivedBytes } = usage();
      series.cpu.add(nodes, cpuUs / exchangesPerRepeat);
      series.bytes.add(nodes, (sentBytes + receivedBytes) / exchangesPerRepeat);
    });
  });
};

/** Measures by the number of nodes in the fleet. */
export const gossipProbe: Probe = {
  name: 'gossip',
  measure: () =>
    withPeers(async (peers) => {
      const series = defineAll();
      const retained: MemberList[] = [];
      for (const nodes of nodeCounts) {
        const empty = heapBytes();
        const memberList = fullMemberList(nodes);
        retained.push(memberList);
        series.memory.add(nodes, heapBytes() - empty);
        await measureWatch(series, memberList, nodes);
        series.known.add(nodes, knownAfterOneExchange(memberList));
        await measureExchange(peers, series, memberList, nodes);
      }
      return measurementsOf(series);
    }),
};
