/** Claims of idempotency keys at a control node. */
import { logs, machine } from '@martenworks/core-types';
import type { Claimant, ClaimBallot } from '@martenworks/core-types';
import { claimTables } from '@martenworks/control-plane';
import type { PeerHandlers } from '@martenworks/peer-transport';
import { withConnectedNode } from '../measuredControlNode.js';
import { heapBytes, repeat, startMeasurement, range } from '../measuring.js';
import { Meter } from '../meteredNet.js';
import { withPeers } from '../peerProcessClient.js';
import type { PeerProcess } from '../peerProcessClient.js';
import { probePorts, temporaryDisk } from '../probePorts.js';
import { defineSeries, measurementsOf } from '../series.js';
import type { Probe } from './probe.js';

const concurrencies = [10, 50, 200, 500, 1_500];
const storedCounts = [10_000, 30_000, 60_000, 100_000];
const acceptBatchSize = 5_000;
const retentionMs = 3_600_000;
const connectionCount = 8;
const repeats = 3;
const msPerSecond = 1_000;

const defineAll = () =>
  defineSeries({
    cpu: 'claims/core-cpu',
    rate: 'claims/rate',
    bytes: 'claims/bytes',
    memory: 'claims/memory',
  });

type ClaimSeries = ReturnType<typeof defineAll>;
type Table = Awaited<ReturnType<typeof openTable>>;

const openTable = async () => {
  const { disk, clock, log } = probePorts(new Meter());
  return (await claimTables.open(disk, clock, log, retentionMs))._unsafeUnwrap();
};

const callHandler =
  (table: Table): PeerHandlers['onCall'] =>
  async (_connection, topic, body) => {
    const { key, turn, ballot, claimant } = body as {
      key: string;
      turn: number;
      ballot: ClaimBallot;
      claimant: Claimant;
    };
    return topic === 'claimPrepare' ? table.prepare(key, turn, ballot) : table.accept(key, turn, ballot, claimant);
  };

/** Measures claims with key numbers from `from`, which must be unused; returns the next unused number. */
const measureConcurrency = async (
  peers: PeerProcess,
  series: ClaimSeries,
  concurrency: number,
  from: number,
): Promise<number> => {
  const table = await openTable();
  const count = Math.max(100, Math.min(3_000, concurrency * 6));
  let next = from;
  const claim = (claims: number): Promise<unknown> => {
    const first = next;
    next += claims;
    return peers.run({ verb: 'claim', concurrency, count: claims, firstKey: first });
  };
  const options = { handlers: { onCall: callHandler(table) } };
  await withConnectedNode(peers, { count: connectionCount }, options, async ({ meter }) => {
    await claim(concurrency * 2);
    await repeat(repeats, 0, async () => {
      const usage = startMeasurement(meter);
      await claim(count);
      const { cpuUs, wallMs, sentBytes, receivedBytes } = usage();
      series.cpu.add(concurrency, cpuUs / count);
      series.rate.add(concurrency, (count / wallMs) * msPerSecond);
      series.bytes.add(concurrency, (sentBytes + receivedBytes) / count);
    });
  });
  await table.close();
  return next;
};

const claimantOf = (at: number): Claimant => ({
  id: `${at}`.padStart(32, '0'),
  gateway: `${at % 400}`.padStart(16, '0'),
  address: `10.0.0.${at % 256}:7100`,
  digest: `${at}`.padStart(32, 'd'),
});

const acceptClaims = async (table: Table, from: number, to: number): Promise<void> => {
  const accept = (at: number): Promise<unknown> => {
    const claimant = claimantOf(at);
    const key = `tenant-${(at - from) % 3_100}/${at}-idempotency-key`;
    return table.accept(key, 0, [1, claimant.id], claimant);
  };
  for (let begin = from; begin < to; begin += acceptBatchSize)
    await Promise.all(range(Math.min(acceptBatchSize, to - begin)).map((at) => accept(begin + at)));
};

/** Must run first, on a heap without data of the other measurements. */
const measureMemory = async (series: ClaimSeries): Promise<void> => {
  const opened = await claimTables.open(temporaryDisk(), machine.clock, logs.silent(), retentionMs);
  const table = opened._unsafeUnwrap();
  const empty = heapBytes();
  let stored = 0;
  for (const target of storedCounts) {
    await acceptClaims(table, stored, target);
    stored = target;
    series.memory.add(target, heapBytes() - empty);
  }
  await table.close();
};

/** Measures claims by their concurrency, and their memory by the number of stored claims. */
export const claimsProbe: Probe = {
  name: 'claims',
  measure: () =>
    withPeers(async (peers) => {
      const series = defineAll();
      await measureMemory(series);
      let from = 0;
      for (const concurrency of concurrencies) from = await measureConcurrency(peers, series, concurrency, from);
      return measurementsOf(series);
    }),
};
