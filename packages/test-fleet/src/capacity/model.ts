import { frameLimit } from '@martenworks/peer-transport';
import { fits } from './curveFit.js';
import { runningPerFront, fleetSize } from './fleetSize.js';
import { tables } from './table.js';
import type { Measurement } from './table.js';

const budget = {
  cpuMs: 30,
  memoryBytes: 256_000_000,
  wireBytes: 8_000,
  inForceMs: 3_000,
  freshMs: 1_500,
  frameBytes: frameLimit,
} as const;

type BudgetLine = keyof typeof budget;
type CostOf = (run: string, at?: number) => number;

export interface CapacityEstimate {
  readonly id: string;
  readonly role: string;
  readonly what: string;
  readonly unit: string;
  readonly from: string;
  readonly line: BudgetLine | null;
  readonly isScaled?: true;
  readonly value: (costOf: CostOf) => number;
}

const traffic = {
  longShare: 0.09,
  corePings: fleetSize.voters * 4,
  wayPings: fleetSize.voters * 2,
  claimsKept: fleetSize.requests * 600,
  changesASecond: fleetSize.changesADay / 86_400,
  rosterShareToCores: 0.5,
  blocksInAChain: 208,
  zones: 13,
  regions: 6,
};

const heavyNotices = fleetSize.requests * traffic.longShare * 2;
const requestsPerFront = fleetSize.requests / fleetSize.nodes;
const chainEvents = fleetSize.events / traffic.blocksInAChain;
const asksPerNode = requestsPerFront + (3 * fleetSize.requests * traffic.longShare) / fleetSize.nodes;
const askBytes = 300;
const patchBytes = 1_000;
const digestBytes = 2 * (13 * 16 + 60);

const ownerBytes = (costOf: CostOf): number =>
  ((2 * chainEvents) / fleetSize.nodes) * costOf('way-index/bytes') + 2 * asksPerNode * askBytes;

export const capacityEstimates: readonly CapacityEstimate[] = [
  {
    id: 'F1',
    role: 'front',
    what: 'pings with loads, both ways',
    unit: 'B/s',
    line: 'wireBytes',
    from: '12 a second x (`pings/ask-bytes` + `pings/pong-bytes`)',
    value: (costOf) => traffic.corePings * (costOf('pings/ask-bytes') + costOf('pings/pong-bytes')),
  },
  {
    id: 'F2',
    role: 'front',
    what: 'pings with loads',
    unit: 'ms/s',
    line: 'cpuMs',
    from: '12 a second x `pings/front-cpu`',
    value: (costOf) => (traffic.corePings * costOf('pings/front-cpu')) / 1_000,
  },
  {
    id: 'F3',
    role: 'front',
    what: 'heavy-prefill notices in',
    unit: 'B/s',
    line: 'wireBytes',
    from: `3 x ${heavyNotices} a second x \`heavy/bytes\` / 400`,
    value: (costOf) => (fleetSize.voters * heavyNotices * costOf('heavy/bytes')) / fleetSize.nodes,
  },
  {
    id: 'F4',
    isScaled: true,
    role: 'front',
    what: 'index events in',
    unit: 'B/s',
    line: 'wireBytes',
    from: '3 x 280,000 a second x `relays/bytes`',
    value: (costOf) => fleetSize.voters * fleetSize.events * costOf('relays/bytes'),
  },
  {
    id: 'F5',
    role: 'front',
    what: 'index events',
    unit: 'ms/s',
    line: 'cpuMs',
    from: '3 x `relays/front-busy`',
    value: (costOf) => fleetSize.voters * costOf('relays/front-busy') * 1_000,
  },
  {
    id: 'F6',
    role: 'front',
    what: 'index',
    unit: 'B',
    line: 'memoryBytes',
    from: '`index/memory-from-frames`',
    value: (costOf) => costOf('index/memory-from-frames'),
  },
  {
    id: 'F7',
    role: 'front',
    what: 'layout pushes in',
    unit: 'B/s',
    line: 'wireBytes',
    from: '3 x 1,700 a day x `pushes/bytes`',
    value: (costOf) => fleetSize.voters * traffic.changesASecond * costOf('pushes/bytes'),
  },
  {
    id: 'F8',
    role: 'front',
    what: 'layout views',
    unit: 'ms/s',
    line: 'cpuMs',
    from: '1,700 a day x `layout/view-isolated`',
    value: (costOf) => traffic.changesASecond * costOf('layout/view-isolated'),
  },
  {
    id: 'F9',
    role: 'front',
    what: 'one replica record, told by three core nodes',
    unit: 'ms',
    line: null,
    from: '3 x `layout/replica-news`',
    value: (costOf) => fleetSize.voters * costOf('layout/replica-news'),
  },
  {
    id: 'F10',
    role: 'front',
    what: 'placing',
    unit: 'ms/s',
    line: 'cpuMs',
    from: '3.75 a second x `index/place`',
    value: (costOf) => (requestsPerFront * costOf('index/place')) / 1_000,
  },
  {
    id: 'N1',
    role: 'any node',
    what: 'roster exchanges, one begun and one answered a second',
    unit: 'B/s',
    line: 'wireBytes',
    from: '2 x `gossip/bytes`',
    value: (costOf) => 2 * costOf('gossip/bytes'),
  },
  {
    id: 'N2',
    role: 'watcher',
    what: 'beats',
    unit: 'ms/s',
    line: 'cpuMs',
    from: '2 a second x `watch/beat-cpu`',
    value: (costOf) => 2 * costOf('watch/beat-cpu'),
  },
  {
    id: 'C1',
    role: 'core node',
    what: 'pings answered',
    unit: 'cores',
    line: null,
    from: '1,600 a second x `pings/core-cpu`',
    value: (costOf) => (fleetSize.nodes * 4 * costOf('pings/core-cpu')) / 1e6,
  },
  {
    id: 'C2',
    role: 'core node',
    what: 'heavy-prefill notices',
    unit: 'cores',
    line: null,
    from: `${heavyNotices} a second x \`heavy/core-cpu\``,
    value: (costOf) => (heavyNotices * costOf('heavy/core-cpu')) / 1_000,
  },
  {
    id: 'C3',
    role: 'follower',
    what: 'events read and kept by one process, told to nobody',
    unit: 'cores',
    line: null,
    from: '`relays/follower-busy`',
    value: (costOf) => costOf('relays/follower-busy'),
  },
  {
    id: 'C4',
    role: 'core node',
    what: 'events told to all fronts',
    unit: 'cores',
    line: null,
    from: '280,000 a second x `relays/core-cpu-full`',
    value: (costOf) => (fleetSize.events * costOf('relays/core-cpu-full')) / 1e6,
  },
  {
    id: 'C5',
    isScaled: true,
    role: 'core node',
    what: 'one layout change told to all fronts',
    unit: 'ms',
    line: 'inForceMs',
    from: '4 x `pushes/core-cpu-by-tenants`',
    value: (costOf) => 4 * costOf('pushes/core-cpu-by-tenants'),
  },
  {
    id: 'C6',
    role: 'core node',
    what: 'one layout change decided',
    unit: 'ms',
    line: 'inForceMs',
    from: '`ballots/wall`',
    value: (costOf) => costOf('ballots/wall'),
  },
  {
    id: 'C7',
    role: 'core node',
    what: 'one front that starts: the index sent in one turn',
    unit: 'ms',
    line: 'freshMs',
    from: '`index/shelf-cpu`',
    value: (costOf) => costOf('index/shelf-cpu'),
  },
  {
    id: 'C8',
    role: 'core node',
    what: 'one front that starts: bytes from the three',
    unit: 'B',
    line: null,
    from: '3 x (`index/shelf-bytes` + `pushes/checkpoint-bytes` + `replicas/bytes`)',
    value: (costOf) =>
      fleetSize.voters * (costOf('index/shelf-bytes') + costOf('pushes/checkpoint-bytes') + costOf('replicas/bytes')),
  },
  {
    id: 'C9',
    role: 'core node',
    what: 'rosters answered',
    unit: 'cores',
    line: null,
    from: '67 a second x `gossip/core-cpu`',
    value: (costOf) =>
      (((fleetSize.nodes * traffic.rosterShareToCores) / fleetSize.voters) * costOf('gossip/core-cpu')) / 1e6,
  },
  {
    id: 'C10',
    role: 'core node',
    what: 'leases renewed',
    unit: 'cores',
    line: null,
    from: '2.5 a second x `leases/cpu` / 3',
    value: (costOf) => (2.5 * costOf('leases/cpu')) / fleetSize.voters / 1_000,
  },
  {
    id: 'C11',
    role: 'core node',
    what: 'leases renewed',
    unit: 'B/s',
    line: null,
    from: '2.5 a second x `leases/bytes` / 3',
    value: (costOf) => (2.5 * costOf('leases/bytes')) / fleetSize.voters,
  },
  {
    id: 'C12',
    role: 'core node',
    what: 'claims, every request keyed',
    unit: 'cores',
    line: null,
    from: '1,500 a second x `claims/core-cpu`',
    value: (costOf) => (fleetSize.requests * costOf('claims/core-cpu')) / 1e6,
  },
  {
    id: 'C13',
    role: 'core node',
    what: 'claims kept for ten minutes',
    unit: 'B',
    line: null,
    from: '`claims/memory`',
    value: (costOf) => costOf('claims/memory'),
  },
  {
    id: 'C16',
    role: 'core node',
    what: 'what one that was apart for an hour is sent to catch up',
    unit: 'B',
    line: 'frameBytes',
    from: '71 changes by `pushes/since-bytes`',
    value: (costOf) => costOf('pushes/since-bytes'),
  },
  {
    id: 'C14',
    role: 'replica list',
    what: 'a first list of all replicas on disk',
    unit: 'ms',
    line: null,
    from: '`replicas/first-list`',
    value: (costOf) => costOf('replicas/first-list'),
  },
  {
    id: 'C15',
    role: 'replica list',
    what: 'one record told to all fronts',
    unit: 'ms',
    line: null,
    from: '`replicas/news-cpu`',
    value: (costOf) => costOf('replicas/news-cpu') / 1_000,
  },
  {
    id: 'W1',
    role: "front, users' platform",
    what: 'pings, both ways',
    unit: 'B/s',
    line: 'wireBytes',
    from: '6 a second x `way-push/ping-bytes`',
    value: (costOf) => traffic.wayPings * costOf('way-push/ping-bytes'),
  },
  {
    id: 'W2',
    role: "front, users' platform",
    what: 'editions in',
    unit: 'B/s',
    line: 'wireBytes',
    from: '1,700 a day x `way-push/content-bytes`',
    value: (costOf) => traffic.changesASecond * costOf('way-push/content-bytes'),
  },
  {
    id: 'W3',
    role: "front, users' platform",
    what: 'notices of long prompts being read',
    unit: 'B/s',
    line: 'wireBytes',
    from: `${heavyNotices} a second x \`way-push/reading-bytes\``,
    value: (costOf) => heavyNotices * costOf('way-push/reading-bytes'),
  },
  {
    id: 'W4',
    isScaled: true,
    role: "front, users' platform",
    what: 'index news, were every event of a large part',
    unit: 'B/s',
    line: 'wireBytes',
    from: '280,000 a second x `way-index/bytes`',
    value: (costOf) => fleetSize.events * costOf('way-index/bytes'),
  },
  {
    id: 'W5',
    isScaled: true,
    role: "front, users' platform",
    what: 'index news, one event for a chain of 208 blocks',
    unit: 'B/s',
    line: 'wireBytes',
    from: '1,346 a second x `way-index/bytes`',
    value: (costOf) => chainEvents * costOf('way-index/bytes'),
  },
  {
    id: 'W6',
    isScaled: true,
    role: "front, users' platform",
    what: 'index news, one event for a chain of 208 blocks',
    unit: 'ms/s',
    line: 'cpuMs',
    from: '1,346 a second x `way-index/front-cpu`',
    value: (costOf) => (chainEvents * costOf('way-index/front-cpu')) / 1_000,
  },
  {
    id: 'W7',
    isScaled: true,
    role: "front, users' platform",
    what: 'index, one part for a chain of 208 blocks',
    unit: 'B',
    line: 'memoryBytes',
    from: '135,000 parts x slope of `way-index/front-memory`',
    value: (costOf) =>
      (fleetSize.blocks / traffic.blocksInAChain) * (costOf('way-index/front-memory', 200_000) / 200_000),
  },
  {
    id: 'W16',
    isScaled: true,
    role: "front, users' platform",
    what: 'index in one frame as it starts, one part for a chain of 208 blocks',
    unit: 'B',
    line: 'frameBytes',
    from: '135,000 parts x `way-index/bytes`',
    value: (costOf) => (fleetSize.blocks / traffic.blocksInAChain) * costOf('way-index/bytes'),
  },
  {
    id: 'W8',
    role: "front, users' platform",
    what: 'placing',
    unit: 'ms/s',
    line: 'cpuMs',
    from: '3.75 a second x `way-place/cpu`',
    value: (costOf) => (requestsPerFront * costOf('way-place/cpu')) / 1_000,
  },
  {
    id: 'W9',
    role: "core node, users' platform",
    what: 'pings answered',
    unit: 'cores',
    line: null,
    from: '800 a second x `way-push/ping-cpu`',
    value: (costOf) => (fleetSize.nodes * 2 * costOf('way-push/ping-cpu')) / 1e6,
  },
  {
    id: 'W10',
    isScaled: true,
    role: "core node, users' platform",
    what: 'one edition told to the third it serves',
    unit: 'ms',
    line: 'inForceMs',
    from: '`way-push/content-cpu` x `way-push/content-bytes` at 3,100 / at 1,000',
    value: (costOf) =>
      (costOf('way-push/content-cpu') * costOf('way-push/content-bytes')) / costOf('way-push/content-bytes', 1_000),
  },
  {
    id: 'W11',
    role: "core node, users' platform",
    what: 'notices of long prompts being read',
    unit: 'cores',
    line: null,
    from: `${heavyNotices} a second x \`way-push/reading-cpu\``,
    value: (costOf) => (heavyNotices * costOf('way-push/reading-cpu')) / 1e6,
  },
  {
    id: 'W12',
    role: "core node, users' platform",
    what: 'asking its third of 1,000 replicas for events, the calls themselves left out',
    unit: 'cores',
    line: null,
    from: '`way-index/follow-cpu` at 333',
    value: (costOf) => costOf('way-index/follow-cpu', fleetSize.replicas / fleetSize.voters) / 1_000,
  },
  {
    id: 'W13',
    role: 'weights rollout',
    what: 'steps while all replicas are behind',
    unit: 'cores',
    line: null,
    from: '17 a second x `way-weights/step-cpu`',
    value: (costOf) => costOf('way-weights/step-cpu') / 60,
  },
  {
    id: 'W14',
    isScaled: true,
    role: 'weights rollout',
    what: 'notices of 1,000 replicas to 400 fronts, processor time',
    unit: 'ms',
    line: null,
    from: '2,000 x `replicas/news-cpu`',
    value: (costOf) => 2 * costOf('replicas/news-cpu'),
  },
  {
    id: 'W15',
    role: "replica list, users' platform",
    what: 'readings',
    unit: 'cores',
    line: null,
    from: '1.25 a second x `way-list/reading-cpu`',
    value: (costOf) => (1.25 * costOf('way-list/reading-cpu')) / 1_000,
  },
  {
    id: 'D1',
    role: 'designed: index owner',
    what: 'events of chains to two owners each, and asks',
    unit: 'B/s',
    line: 'wireBytes',
    from: '2 x 1,346 / 400 x `way-index/bytes` + 2 x 4.76 asks x 300',
    value: (costOf) => ownerBytes(costOf),
  },
  {
    id: 'D2',
    role: 'designed: index owner',
    what: 'events and asks',
    unit: 'ms/s',
    line: 'cpuMs',
    from: '6.7 x `way-index/front-cpu` + 2 x 4.76 x `way-push/ping-cpu`',
    value: (costOf) =>
      (((2 * chainEvents) / fleetSize.nodes) * costOf('way-index/front-cpu') +
        2 * asksPerNode * costOf('way-push/ping-cpu')) /
      1_000,
  },
  {
    id: 'D3',
    role: 'designed: follower',
    what: 'a sixth of the events on one control machine',
    unit: 'cores',
    line: null,
    from: '`relays/follower-busy` at 46,667 a second',
    value: (costOf) => costOf('relays/follower-busy', fleetSize.events / fleetSize.controlMachines),
  },
  {
    id: 'D4',
    role: 'weighed: zone relay on a node',
    what: 'freshness of 31 fronts, changes as patches of 1 KB',
    unit: 'B/s',
    line: 'wireBytes',
    from: '(2 x 31 + 4 x 3) x `way-push/ping-bytes` + 31 x 1,700 a day x 1 KB',
    value: (costOf) => (2 * 31 + 12) * costOf('way-push/ping-bytes') + 31 * traffic.changesASecond * patchBytes,
  },
  {
    id: 'D5',
    role: 'designed: region relay on a control machine',
    what: 'pings of 67 fronts, twice a second, and their streams',
    unit: 'cores',
    line: null,
    from: '134 a second x `way-push/ping-cpu` + 67 x 31 tells a second x slope of `replicas/news-cpu`',
    value: (costOf) =>
      (134 * costOf('way-push/ping-cpu') + (67 * 31 * costOf('replicas/news-cpu')) / fleetSize.nodes) / 1e6,
  },
  {
    id: 'D6',
    role: 'designed: watcher',
    what: 'a ring of 31 nodes, drawn again at each change only',
    unit: 'ms/s',
    line: 'cpuMs',
    from: '2 a second x `watch/beat-cpu` at 31',
    value: (costOf) => 2 * costOf('watch/beat-cpu', 31),
  },
  {
    id: 'D7',
    role: 'designed: any node',
    what: 'digests of 13 zones each second, both ways',
    unit: 'B/s',
    line: 'wireBytes',
    from: '2 x (13 x 16 + 60)',
    value: () => digestBytes,
  },
  {
    id: 'D8',
    role: 'designed: front, all of it',
    what: 'owners and asks (D1), loads 700, freshness, patches, digests (D7), beats 840',
    unit: 'B/s',
    line: 'wireBytes',
    from: 'D1 + 700 + 2 x `way-push/ping-bytes` + 1,700 a day x 1 KB + D7 + 840',
    value: (costOf) =>
      ownerBytes(costOf) +
      700 +
      2 * costOf('way-push/ping-bytes') +
      traffic.changesASecond * patchBytes +
      digestBytes +
      840,
  },
  {
    id: 'D9',
    role: 'designed: front, all of it',
    what: 'the same with 30 exceptions a second told',
    unit: 'B/s',
    line: 'wireBytes',
    from: 'D8 + 30 x `way-index/bytes`',
    value: (costOf) =>
      ownerBytes(costOf) +
      700 +
      2 * costOf('way-push/ping-bytes') +
      traffic.changesASecond * patchBytes +
      digestBytes +
      840 +
      30 * costOf('way-index/bytes'),
  },
];

const verdictOf = (line: CapacityEstimate, value: number): string => {
  if (line.line === null) return '';
  const limit = budget[line.line];
  return value <= limit
    ? `meets ${tables.figure(limit)}`
    : `**breaks** ${tables.figure(limit)}, ${tables.figure(value / limit)} times`;
};

type Status = 'runs today and measured' | 'modelled from a slope' | 'not built';

interface EvaluatedEstimate {
  readonly id: string;
  readonly value: number;
  readonly verdict: string;
  readonly status: Status;
}

const runsIn = ({ from }: CapacityEstimate): string[] =>
  [...from.matchAll(/`([a-z-]+\/[a-z-]+)`/g)].map((found) => found[1] as string);

const isDesigned = ({ id }: CapacityEstimate): boolean => id.startsWith('D');

const evaluate = (measured: readonly Measurement[]): EvaluatedEstimate[] => {
  const held = new Map(measured.map((one) => [one.run, one]));
  const costOf: CostOf = (run, at) => {
    const one = held.get(run);
    return one === undefined ? Number.NaN : fits.forecast(one.points, fits.fit(one.points), at ?? one.target).value;
  };
  const isMeasured = (run: string): boolean => {
    const one = held.get(run);
    return one !== undefined && fits.forecast(one.points, fits.fit(one.points), one.target).how !== 'extrapolated';
  };
  const statusOf = (line: CapacityEstimate): Status =>
    isDesigned(line)
      ? 'not built'
      : runsIn(line).every(isMeasured) && !line.isScaled
        ? 'runs today and measured'
        : 'modelled from a slope';
  return capacityEstimates.map((line) => {
    const value = line.value(costOf);
    return { id: line.id, value, verdict: verdictOf(line, value), status: statusOf(line) };
  });
};

const markdown = (measured: readonly Measurement[]): string => {
  const worked = new Map(evaluate(measured).map((one) => [one.id, one]));
  const row = (line: CapacityEstimate): string =>
    `| ${line.id} | ${line.role} | ${line.what} | ${tables.figure(worked.get(line.id)?.value ?? Number.NaN)} ${line.unit} | ${line.from} | ${worked.get(line.id)?.verdict ?? ''} | ${worked.get(line.id)?.status ?? ''} |`;
  return [
    '| line | role | what | at the size | from | budget | status |',
    '|---|---|---|---|---|---|---|',
    ...capacityEstimates.map(row),
  ].join('\n');
};

export const capacityModel = { work: evaluate, runsIn, markdown, runningPerFront };
