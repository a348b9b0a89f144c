/** Membership: exchanges of the list between nodes, heartbeats, and who watches whom. */
import { Roster, Watch, ring } from '@martenworks/cluster-membership';
import type { RosterEntry } from '@martenworks/cluster-membership';
import { machine } from '@martenworks/core-types';
import { nodeCounts } from '../fleetSize.js';
import { withConnectedNode } from '../measuredControlNode.js';
import { heapBytes, meanCpuMs, repeated, startWatch, upTo } from '../measuring.js';
import { withPeers } from '../peerProcessClient.js';
import type { PeerProcess } from '../peerProcessClient.js';
import { sampleData } from '../sampleData.js';
import { defineSeries, measurementsOf } from '../series.js';
import type { Probe } from './probe.js';

const watchRepeats = 5;
const exchangeRepeats = 3;
const warmUpExchanges = 5;
const exchangesARepeat = 40;
const looksARepeat = 20;
const beatsOfFew = 10;
const beatsOfMany = 2;
const fewNodes = 100;

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

const own = sampleData.helloOf('counter', 0, '10.0.0.0:7100');

const fullRoster = (nodes: number): Roster => {
  const roster = new Roster(machine.clock, () => own);
  for (const at of upTo(nodes - 1)) {
    const address = `10.0.${(at + 1) >> 8}.${(at + 1) & 255}:7100`;
    roster.heard(structuredClone(sampleData.helloOf('counter', at + 1, address)));
  }
  return roster;
};

const measureWatch = async (series: GossipSeries, roster: Roster, nodes: number): Promise<void> => {
  const ringNodes = () => roster.entries().map(({ hello }) => ({ name: hello.name, zone: hello.zone }));
  const watch = new Watch(machine.clock, () => ({ name: own.name, zone: own.zone }), ringNodes);
  await repeated(watchRepeats, 1, (isKept) => {
    const beatMs = meanCpuMs(nodes > fewNodes ? beatsOfMany : beatsOfFew, () => {
      watch.watchers();
      watch.suspects();
    });
    const watchersMs = meanCpuMs(looksARepeat, () => void ring.watchersOf(own.name, ringNodes()));
    if (!isKept) return;
    series.beat.add(nodes, beatMs);
    series.watchers.add(nodes, watchersMs);
  });
};

const knownAfterOneExchange = (roster: Roster): number => {
  const newcomer = new Roster(machine.clock, () => sampleData.helloOf('counter', 9_999, '10.9.9.9:7100'));
  newcomer.merge(roster.entries());
  return newcomer.entries().length;
};

const measureExchange = async (
  peers: PeerProcess,
  series: GossipSeries,
  roster: Roster,
  nodes: number,
): Promise<void> => {
  const asked = async (_connection: unknown, topic: string, body: unknown): Promise<RosterEntry[] | null> => {
    if (topic !== 'roster') return null;
    roster.merge(body as RosterEntry[]);
    return roster.entries();
  };
  const exchange = { verb: 'ask', topic: 'roster', body: roster.entries() } as const;
  await withConnectedNode(peers, { count: 1, from: 500 }, { handlers: { asked } }, async ({ meter }) => {
    await peers.run({ ...exchange, count: warmUpExchanges });
    await repeated(exchangeRepeats, 0, async () => {
      const spent = startWatch(meter);
      await peers.run({ ...exchange, count: exchangesARepeat });
      const { cpuUs, sentBytes, gotBytes } = spent();
      series.cpu.add(nodes, cpuUs / exchangesARepeat);
      series.bytes.add(nodes, (sentBytes + gotBytes) / exchangesARepeat);
    });
  });
};

/** Measures by the nodes of the fleet. */
export const gossipProbe: Probe = {
  name: 'gossip',
  measure: () =>
    withPeers(async (peers) => {
      const series = defineAll();
      const kept: Roster[] = [];
      for (const nodes of nodeCounts) {
        const empty = heapBytes();
        const roster = fullRoster(nodes);
        kept.push(roster);
        series.memory.add(nodes, heapBytes() - empty);
        await measureWatch(series, roster, nodes);
        series.known.add(nodes, knownAfterOneExchange(roster));
        await measureExchange(peers, series, roster, nodes);
      }
      return measurementsOf(series);
    }),
};
