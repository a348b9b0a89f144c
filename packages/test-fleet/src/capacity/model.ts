import { frameLimit } from '@martenworks/peer-transport';
import { fits } from './curveFit.js';
import { runningPerFront, size } from './fleetSize.js';
import { tables } from './table.js';
import type { Measured } from './table.js';

const budget = {
  cpuMs: 30,
  memoryBytes: 256_000_000,
  wireBytes: 8_000,
  inForceMs: 3_000,
  freshMs: 1_500,
  frameBytes: frameLimit,
} as const;

type BudgetLine = keyof typeof budget;
type Of = (run: string, at?: number) => number;

export interface Line {
  readonly id: string;
  readonly role: string;
  readonly what: string;
  readonly unit: string;
  readonly from: string;
  readonly line: BudgetLine | null;
  readonly isScaled?: true;
  readonly value: (of: Of) => number;
}

const traffic = {
  longShare: 0.09,
  corePings: size.voters * 4,
  wayPings: size.voters * 2,
  claimsKept: size.requests * 600,
  changesASecond: size.changesADay / 86_400,
  rosterShareToCores: 0.5,
  blocksInAChain: 208,
  zones: 13,
  regions: 6,
};

const heavyNotices = size.requests * traffic.longShare * 2;
const requestsPerFront = size.requests / size.nodes;
const chainEvents = size.events / traffic.blocksInAChain;
const asksPerNode = requestsPerFront + (3 * size.requests * traffic.longShare) / size.nodes;
const askBytes = 300;
const patchBytes = 1_000;
const digestBytes = 2 * (13 * 16 + 60);

const ownerBytes = (of: Of): number =>
  ((2 * chainEvents) / size.nodes) * of('way-index/bytes') + 2 * asksPerNode * askBytes;

export const lines: readonly Line[] = [
  {
    id: 'F1',
    role: 'front',
    what: 'pings with loads, both ways',
    unit: 'B/s',
    line: 'wireBytes',
    from: '12 a second x (`pings/ask-bytes` + `pings/pong-bytes`)',
    value: (of) => traffic.corePings * (of('pings/ask-bytes') + of('pings/pong-bytes')),
  },
  {
    id: 'F2',
    role: 'front',
    what: 'pings with loads',
    unit: 'ms/s',
    line: 'cpuMs',
    from: '12 a second x `pings/front-cpu`',
    value: (of) => (traffic.corePings * of('pings/front-cpu')) / 1_000,
  },
  {
    id: 'F3',
    role: 'front',
    what: 'heavy-prefill notices in',
    unit: 'B/s',
    line: 'wireBytes',
    from: `3 x ${heavyNotices} a second x \`heavy/bytes\` / 400`,
    value: (of) => (size.voters * heavyNotices * of('heavy/bytes')) / size.nodes,
  },
  {
    id: 'F4',
    isScaled: true,
    role: 'front',
    what: 'index events in',
    unit: 'B/s',
    line: 'wireBytes',
    from: '3 x 280,000 a second x `relays/bytes`',
    value: (of) => size.voters * size.events * of('relays/bytes'),
  },
  {
    id: 'F5',
    role: 'front',
    what: 'index events',
    unit: 'ms/s',
    line: 'cpuMs',
    from: '3 x `relays/front-busy`',
    value: (of) => size.voters * of('relays/front-busy') * 1_000,
  },
  {
    id: 'F6',
    role: 'front',
    what: 'index',
    unit: 'B',
    line: 'memoryBytes',
    from: '`index/memory-from-frames`',
    value: (of) => of('index/memory-from-frames'),
  },
  {
    id: 'F7',
    role: 'front',
    what: 'layout pushes in',
    unit: 'B/s',
    line: 'wireBytes',
    from: '3 x 1,700 a day x `pushes/bytes`',
    value: (of) => size.voters * traffic.changesASecond * of('pushes/bytes'),
  },
  {
    id: 'F8',
    role: 'front',
    what: 'layout views',
    unit: 'ms/s',
    line: 'cpuMs',
    from: '1,700 a day x `layout/view-isolated`',
    value: (of) => traffic.changesASecond * of('layout/view-isolated'),
  },
  {
    id: 'F9',
    role: 'front',
    what: 'one replica record, told by three core nodes',
    unit: 'ms',
    line: null,
    from: '3 x `layout/replica-news`',
    value: (of) => size.voters * of('layout/replica-news'),
  },
  {
    id: 'F10',
    role: 'front',
    what: 'placing',
    unit: 'ms/s',
    line: 'cpuMs',
    from: '3.75 a second x `index/place`',
    value: (of) => (requestsPerFront * of('index/place')) / 1_000,
  },
  {
    id: 'N1',
    role: 'any node',
    what: 'roster exchanges, one begun and one answered a second',
    unit: 'B/s',
    line: 'wireBytes',
    from: '2 x `gossip/bytes`',
    value: (of) => 2 * of('gossip/bytes'),
  },
  {
    id: 'N2',
    role: 'watcher',
    what: 'beats',
    unit: 'ms/s',
    line: 'cpuMs',
    from: '2 a second x `watch/beat-cpu`',
    value: (of) => 2 * of('watch/beat-cpu'),
  },
  {
    id: 'C1',
    role: 'core node',
    what: 'pings answered',
    unit: 'cores',
    line: null,
    from: '1,600 a second x `pings/core-cpu`',
    value: (of) => (size.nodes * 4 * of('pings/core-cpu')) / 1e6,
  },
  {
    id: 'C2',
    role: 'core node',
    what: 'heavy-prefill notices',
    unit: 'cores',
    line: null,
    from: `${heavyNotices} a second x \`heavy/core-cpu\``,
    value: (of) => (heavyNotices * of('heavy/core-cpu')) / 1_000,
  },
  {
    id: 'C3',
    role: 'follower',
    what: 'events read and kept by one process, told to nobody',
    unit: 'cores',
    line: null,
    from: '`relays/follower-busy`',
    value: (of) => of('relays/follower-busy'),
  },
  {
    id: 'C4',
    role: 'core node',
    what: 'events told to all fronts',
    unit: 'cores',
    line: null,
    from: '280,000 a second x `relays/core-cpu-full`',
    value: (of) => (size.events * of('relays/core-cpu-full')) / 1e6,
  },
  {
    id: 'C5',
    isScaled: true,
    role: 'core node',
    what: 'one layout change told to all fronts',
    unit: 'ms',
    line: 'inForceMs',
    from: '4 x `pushes/core-cpu-by-tenants`',
    value: (of) => 4 * of('pushes/core-cpu-by-tenants'),
  },
  {
    id: 'C6',
    role: 'core node',
    what: 'one layout change decided',
    unit: 'ms',
    line: 'inForceMs',
    from: '`ballots/wall`',
    value: (of) => of('ballots/wall'),
  },
  {
    id: 'C7',
    role: 'core node',
    what: 'one front that starts: the index sent in one turn',
    unit: 'ms',
    line: 'freshMs',
    from: '`index/shelf-cpu`',
    value: (of) => of('index/shelf-cpu'),
  },
  {
    id: 'C8',
    role: 'core node',
    what: 'one front that starts: bytes from the three',
    unit: 'B',
    line: null,
    from: '3 x (`index/shelf-bytes` + `pushes/checkpoint-bytes` + `replicas/bytes`)',
    value: (of) => size.voters * (of('index/shelf-bytes') + of('pushes/checkpoint-bytes') + of('replicas/bytes')),
  },
  {
    id: 'C9',
    role: 'core node',
    what: 'rosters answered',
    unit: 'cores',
    line: null,
    from: '67 a second x `gossip/core-cpu`',
    value: (of) => (((size.nodes * traffic.rosterShareToCores) / size.voters) * of('gossip/core-cpu')) / 1e6,
  },
  {
    id: 'C10',
    role: 'core node',
    what: 'leases renewed',
    unit: 'cores',
    line: null,
    from: '2.5 a second x `leases/cpu` / 3',
    value: (of) => (2.5 * of('leases/cpu')) / size.voters / 1_000,
  },
  {
    id: 'C11',
    role: 'core node',
    what: 'leases renewed',
    unit: 'B/s',
    line: null,
    from: '2.5 a second x `leases/bytes` / 3',
    value: (of) => (2.5 * of('leases/bytes')) / size.voters,
  },
  {
    id: 'C12',
    role: 'core node',
    what: 'claims, every request keyed',
    unit: 'cores',
    line: null,
    from: '1,500 a second x `claims/core-cpu`',
    value: (of) => (size.requests * of('claims/core-cpu')) / 1e6,
  },
  {
    id: 'C13',
    role: 'core node',
    what: 'claims kept for ten minutes',
    unit: 'B',
    line: null,
    from: '`claims/memory`',
    value: (of) => of('claims/memory'),
  },
  {
    id: 'C16',
    role: 'core node',
    what: 'what one that was apart for an hour is sent to catch up',
    unit: 'B',
    line: 'frameBytes',
    from: '71 changes by `pushes/since-bytes`',
    value: (of) => of('pushes/since-bytes'),
  },
  {
    id: 'C14',
    role: 'replica list',
    what: 'a first list of all replicas on disk',
    unit: 'ms',
    line: null,
    from: '`replicas/first-list`',
    value: (of) => of('replicas/first-list'),
  },
  {
    id: 'C15',
    role: 'replica list',
    what: 'one record told to all fronts',
    unit: 'ms',
    line: null,
    from: '`replicas/news-cpu`',
    value: (of) => of('replicas/news-cpu') / 1_000,
  },
  {
    id: 'W1',
    role: "front, users' platform",
    what: 'pings, both ways',
    unit: 'B/s',
    line: 'wireBytes',
    from: '6 a second x `way-push/ping-bytes`',
    value: (of) => traffic.wayPings * of('way-push/ping-bytes'),
  },
  {
    id: 'W2',
    role: "front, users' platform",
    what: 'editions in',
    unit: 'B/s',
    line: 'wireBytes',
    from: '1,700 a day x `way-push/content-bytes`',
    value: (of) => traffic.changesASecond * of('way-push/content-bytes'),
  },
  {
    id: 'W3',
    role: "front, users' platform",
    what: 'notices of long prompts being read',
    unit: 'B/s',
    line: 'wireBytes',
    from: `${heavyNotices} a second x \`way-push/reading-bytes\``,
    value: (of) => heavyNotices * of('way-push/reading-bytes'),
  },
  {
    id: 'W4',
    isScaled: true,
    role: "front, users' platform",
    what: 'index news, were every event of a large part',
    unit: 'B/s',
    line: 'wireBytes',
    from: '280,000 a second x `way-index/bytes`',
    value: (of) => size.events * of('way-index/bytes'),
  },
  {
    id: 'W5',
    isScaled: true,
    role: "front, users' platform",
    what: 'index news, one event for a chain of 208 blocks',
    unit: 'B/s',
    line: 'wireBytes',
    from: '1,346 a second x `way-index/bytes`',
    value: (of) => chainEvents * of('way-index/bytes'),
  },
  {
    id: 'W6',
    isScaled: true,
    role: "front, users' platform",
    what: 'index news, one event for a chain of 208 blocks',
    unit: 'ms/s',
    line: 'cpuMs',
    from: '1,346 a second x `way-index/front-cpu`',
    value: (of) => (chainEvents * of('way-index/front-cpu')) / 1_000,
  },
  {
    id: 'W7',
    isScaled: true,
    role: "front, users' platform",
    what: 'index, one part for a chain of 208 blocks',
    unit: 'B',
    line: 'memoryBytes',
    from: '135,000 parts x slope of `way-index/front-memory`',
    value: (of) => (size.blocks / traffic.blocksInAChain) * (of('way-index/front-memory', 200_000) / 200_000),
  },
  {
    id: 'W16',
    isScaled: true,
    role: "front, users' platform",
    what: 'index in one frame as it starts, one part for a chain of 208 blocks',
    unit: 'B',
    line: 'frameBytes',
    from: '135,000 parts x `way-index/bytes`',
    value: (of) => (size.blocks / traffic.blocksInAChain) * of('way-index/bytes'),
  },
  {
    id: 'W8',
    role: "front, users' platform",
    what: 'placing',
    unit: 'ms/s',
    line: 'cpuMs',
    from: '3.75 a second x `way-place/cpu`',
    value: (of) => (requestsPerFront * of('way-place/cpu')) / 1_000,
  },
  {
    id: 'W9',
    role: "core node, users' platform",
    what: 'pings answered',
    unit: 'cores',
    line: null,
    from: '800 a second x `way-push/ping-cpu`',
    value: (of) => (size.nodes * 2 * of('way-push/ping-cpu')) / 1e6,
  },
  {
    id: 'W10',
    isScaled: true,
    role: "core node, users' platform",
    what: 'one edition told to the third it serves',
    unit: 'ms',
    line: 'inForceMs',
    from: '`way-push/content-cpu` x `way-push/content-bytes` at 3,100 / at 1,000',
    value: (of) => (of('way-push/content-cpu') * of('way-push/content-bytes')) / of('way-push/content-bytes', 1_000),
  },
  {
    id: 'W11',
    role: "core node, users' platform",
    what: 'notices of long prompts being read',
    unit: 'cores',
    line: null,
    from: `${heavyNotices} a second x \`way-push/reading-cpu\``,
    value: (of) => (heavyNotices * of('way-push/reading-cpu')) / 1e6,
  },
  {
    id: 'W12',
    role: "core node, users' platform",
    what: 'asking its third of 1,000 replicas for events, the calls themselves left out',
    unit: 'cores',
    line: null,
    from: '`way-index/follow-cpu` at 333',
    value: (of) => of('way-index/follow-cpu', size.replicas / size.voters) / 1_000,
  },
  {
    id: 'W13',
    role: 'weights rollout',
    what: 'steps while all replicas are behind',
    unit: 'cores',
    line: null,
    from: '17 a second x `way-weights/step-cpu`',
    value: (of) => of('way-weights/step-cpu') / 60,
  },
  {
    id: 'W14',
    isScaled: true,
    role: 'weights rollout',
    what: 'notices of 1,000 replicas to 400 fronts, processor time',
    unit: 'ms',
    line: null,
    from: '2,000 x `replicas/news-cpu`',
    value: (of) => 2 * of('replicas/news-cpu'),
  },
  {
    id: 'W15',
    role: "replica list, users' platform",
    what: 'readings',
    unit: 'cores',
    line: null,
    from: '1.25 a second x `way-list/reading-cpu`',
    value: (of) => (1.25 * of('way-list/reading-cpu')) / 1_000,
  },
  {
    id: 'D1',
    role: 'designed: index owner',
    what: 'events of chains to two owners each, and asks',
    unit: 'B/s',
    line: 'wireBytes',
    from: '2 x 1,346 / 400 x `way-index/bytes` + 2 x 4.76 asks x 300',
    value: (of) => ownerBytes(of),
  },
  {
    id: 'D2',
    role: 'designed: index owner',
    what: 'events and asks',
    unit: 'ms/s',
    line: 'cpuMs',
    from: '6.7 x `way-index/front-cpu` + 2 x 4.76 x `way-push/ping-cpu`',
    value: (of) =>
      (((2 * chainEvents) / size.nodes) * of('way-index/front-cpu') + 2 * asksPerNode * of('way-push/ping-cpu')) /
      1_000,
  },
  {
    id: 'D3',
    role: 'designed: follower',
    what: 'a sixth of the events on one control machine',
    unit: 'cores',
    line: null,
    from: '`relays/follower-busy` at 46,667 a second',
    value: (of) => of('relays/follower-busy', size.events / size.controlMachines),
  },
  {
    id: 'D4',
    role: 'weighed: zone relay on a node',
    what: 'freshness of 31 fronts, changes as patches of 1 KB',
    unit: 'B/s',
    line: 'wireBytes',
    from: '(2 x 31 + 4 x 3) x `way-push/ping-bytes` + 31 x 1,700 a day x 1 KB',
    value: (of) => (2 * 31 + 12) * of('way-push/ping-bytes') + 31 * traffic.changesASecond * patchBytes,
  },
  {
    id: 'D5',
    role: 'designed: region relay on a control machine',
    what: 'pings of 67 fronts, twice a second, and their streams',
    unit: 'cores',
    line: null,
    from: '134 a second x `way-push/ping-cpu` + 67 x 31 tells a second x slope of `replicas/news-cpu`',
    value: (of) => (134 * of('way-push/ping-cpu') + (67 * 31 * of('replicas/news-cpu')) / size.nodes) / 1e6,
  },
  {
    id: 'D6',
    role: 'designed: watcher',
    what: 'a ring of 31 nodes, drawn again at each change only',
    unit: 'ms/s',
    line: 'cpuMs',
    from: '2 a second x `watch/beat-cpu` at 31',
    value: (of) => 2 * of('watch/beat-cpu', 31),
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
    value: (of) =>
      ownerBytes(of) + 700 + 2 * of('way-push/ping-bytes') + traffic.changesASecond * patchBytes + digestBytes + 840,
  },
  {
    id: 'D9',
    role: 'designed: front, all of it',
    what: 'the same with 30 exceptions a second told',
    unit: 'B/s',
    line: 'wireBytes',
    from: 'D8 + 30 x `way-index/bytes`',
    value: (of) =>
      ownerBytes(of) +
      700 +
      2 * of('way-push/ping-bytes') +
      traffic.changesASecond * patchBytes +
      digestBytes +
      840 +
      30 * of('way-index/bytes'),
  },
];

const verdictOf = (line: Line, value: number): string => {
  if (line.line === null) return '';
  const limit = budget[line.line];
  return value <= limit
    ? `meets ${tables.figure(limit)}`
    : `**breaks** ${tables.figure(limit)}, ${tables.figure(value / limit)} times`;
};

type Status = 'runs today and measured' | 'modelled from a slope' | 'not built';

interface Worked {
  readonly id: string;
  readonly value: number;
  readonly verdict: string;
  readonly status: Status;
}

const runsIn = ({ from }: Line): string[] =>
  [...from.matchAll(/`([a-z-]+\/[a-z-]+)`/g)].map((found) => found[1] as string);

const isDesigned = ({ id }: Line): boolean => id.startsWith('D');

const work = (measured: readonly Measured[]): Worked[] => {
  const held = new Map(measured.map((one) => [one.run, one]));
  const of: Of = (run, at) => {
    const one = held.get(run);
    return one === undefined ? Number.NaN : fits.forecast(one.points, fits.fit(one.points), at ?? one.target).value;
  };
  const isMeasured = (run: string): boolean => {
    const one = held.get(run);
    return one !== undefined && fits.forecast(one.points, fits.fit(one.points), one.target).how !== 'extrapolated';
  };
  const statusOf = (line: Line): Status =>
    isDesigned(line)
      ? 'not built'
      : runsIn(line).every(isMeasured) && !line.isScaled
        ? 'runs today and measured'
        : 'modelled from a slope';
  return lines.map((line) => {
    const value = line.value(of);
    return { id: line.id, value, verdict: verdictOf(line, value), status: statusOf(line) };
  });
};

const markdown = (measured: readonly Measured[]): string => {
  const worked = new Map(work(measured).map((one) => [one.id, one]));
  const row = (line: Line): string =>
    `| ${line.id} | ${line.role} | ${line.what} | ${tables.figure(worked.get(line.id)?.value ?? Number.NaN)} ${line.unit} | ${line.from} | ${worked.get(line.id)?.verdict ?? ''} | ${worked.get(line.id)?.status ?? ''} |`;
  return [
    '| line | role | what | at the size | from | budget | status |',
    '|---|---|---|---|---|---|---|',
    ...lines.map(row),
  ].join('\n');
};

export const models = { work, runsIn, markdown, runningPerFront };
