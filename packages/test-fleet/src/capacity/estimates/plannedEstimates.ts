/** Costs of designs that are not implemented. */
import { fleetSize } from '../fleetSize.js';
import { prefixEventsPerSecond, traffic, requestsPerSecondPerEdge } from './assumptions.js';
import type { CapacityEstimate, CostOf } from './capacityEstimate.js';

const queriesPerNode =
  requestsPerSecondPerEdge + (3 * fleetSize.requestsPerSecond * traffic.longPromptShare) / fleetSize.nodes;
const queryBytes = 300;
const patchBytes = 1_000;
const digestBytes = 2 * (13 * 16 + 60);

const ownerBytes = (costOf: CostOf): number =>
  ((2 * prefixEventsPerSecond) / fleetSize.nodes) * costOf('way-index/bytes') + 2 * queriesPerNode * queryBytes;

const loadBytes = 700;
const heartbeatBytes = 840;
const exceptionsPerSecond = 30;

const edgeBytes = (costOf: CostOf): number =>
  ownerBytes(costOf) +
  loadBytes +
  2 * costOf('way-push/ping-bytes') +
  traffic.changesPerSecond * patchBytes +
  digestBytes +
  heartbeatBytes;

/** In the order of the table. */
export const plannedEstimates: readonly CapacityEstimate[] = [
  {
    id: 'D1',
    role: 'designed: index owner',
    what: 'events per prefix to two owners each, and index queries',
    unit: 'B/s',
    budgetItem: 'networkBytes',
    formula: '2 x 1,346 / 400 x `way-index/bytes` + 2 x 4.76 queries x 300',
    value: (costOf) => ownerBytes(costOf),
  },
  {
    id: 'D2',
    role: 'designed: index owner',
    what: 'events and index queries',
    unit: 'ms/s',
    budgetItem: 'cpuMs',
    formula: '6.7 x `way-index/front-cpu` + 2 x 4.76 x `way-push/ping-cpu`',
    value: (costOf) =>
      (((2 * prefixEventsPerSecond) / fleetSize.nodes) * costOf('way-index/front-cpu') +
        2 * queriesPerNode * costOf('way-push/ping-cpu')) /
      1_000,
  },
  {
    id: 'D3',
    role: 'designed: follower',
    what: 'a sixth of the events on one control machine',
    unit: 'cores',
    budgetItem: null,
    formula: '`relays/follower-busy` at 46,667 per second',
    value: (costOf) => costOf('relays/follower-busy', fleetSize.eventsPerSecond / fleetSize.controlMachines),
  },
  {
    id: 'D4',
    role: 'alternative: zone relay on a node',
    what: 'pings of 31 edges, changes as patches of 1 KB',
    unit: 'B/s',
    budgetItem: 'networkBytes',
    formula: '(2 x 31 + 4 x 3) x `way-push/ping-bytes` + 31 x 1,700 per day x 1 KB',
    value: (costOf) => (2 * 31 + 12) * costOf('way-push/ping-bytes') + 31 * traffic.changesPerSecond * patchBytes,
  },
  {
    id: 'D5',
    role: 'designed: region relay on a control machine',
    what: 'pings of 67 edges, twice a second, and their event streams',
    unit: 'cores',
    budgetItem: null,
    formula: '134 per second x `way-push/ping-cpu` + 67 x 31 messages per second x slope of `replicas/news-cpu`',
    value: (costOf) =>
      (134 * costOf('way-push/ping-cpu') + (67 * 31 * costOf('replicas/news-cpu')) / fleetSize.nodes) / 1e6,
  },
  {
    id: 'D6',
    role: 'designed: watcher',
    what: 'a hash ring of 31 nodes, recomputed only at changes',
    unit: 'ms/s',
    budgetItem: 'cpuMs',
    formula: '2 per second x `watch/beat-cpu` at 31',
    value: (costOf) => 2 * costOf('watch/beat-cpu', 31),
  },
  {
    id: 'D7',
    role: 'designed: any node',
    what: 'digests of 13 zones per second, both ways',
    unit: 'B/s',
    budgetItem: 'networkBytes',
    formula: '2 x (13 x 16 + 60)',
    value: () => digestBytes,
  },
  {
    id: 'D8',
    role: 'designed: edge, total',
    what: 'owners and queries (D1), loads 700, pings, patches, digests (D7), heartbeats 840',
    unit: 'B/s',
    budgetItem: 'networkBytes',
    formula: 'D1 + 700 + 2 x `way-push/ping-bytes` + 1,700 per day x 1 KB + D7 + 840',
    value: edgeBytes,
  },
  {
    id: 'D9',
    role: 'designed: edge, total',
    what: 'the same with 30 exceptions sent per second',
    unit: 'B/s',
    budgetItem: 'networkBytes',
    formula: 'D8 + 30 x `way-index/bytes`',
    value: (costOf) => edgeBytes(costOf) + exceptionsPerSecond * costOf('way-index/bytes'),
  },
];
