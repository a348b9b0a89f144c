/** Gateways that start: how much of the index snapshot arrives, and whether the connection stays open. */
import type { ReplicaRecord } from '@martenworks/core-types';
import { PrefixIndex } from '@martenworks/prefix-index';
import { blocksPerReplica } from '../fleetSize.js';
import { withConnectedNode } from '../measuredControlNode.js';
import { sleep, repeat, range } from '../measuring.js';
import type { PeerCounters } from '../peerCommands.js';
import { withPeers } from '../peerProcessClient.js';
import type { PeerProcess } from '../peerProcessClient.js';
import { sampleData } from '../sampleData.js';
import { defineSeries, measurementsOf } from '../series.js';
import { snapshotBytes } from './prefixIndex.js';
import type { Probe } from './probe.js';

const blockCounts = [28_000, 280_000, 560_000, 840_000, 1_120_000];
const repeats = 2;
const pollMs = 100;
const maxPolls = 40;
const suspectMs = 3_600_000;

const defineAll = () =>
  defineSeries({
    arrived: 'joins/arrived',
    stays: 'joins/stays',
  });

const fill = (index: PrefixIndex, records: readonly ReplicaRecord[]): void => {
  index.reconcile(records, () => 0);
  for (const [at, { name }] of records.entries()) {
    if (index.lastSeqOf(name, 1) > 0) continue;
    const blocks = range(blocksPerReplica).map((block) => sampleData.blockName(at * blocksPerReplica + block));
    index.apply(sampleData.stored(name, 1, blocks), 0);
  }
};

/** Waits until no more bytes arrive, for at least three polls, and returns the last counters. */
const untilIdle = async (peers: PeerProcess): Promise<PeerCounters> => {
  let last = -1;
  for (let poll = 0; poll < maxPolls; poll += 1) {
    await sleep(pollMs);
    const counters = await peers.run({ verb: 'readCounters' });
    if (counters.receivedBytes === last && poll > 1) break;
    last = counters.receivedBytes;
  }
  return peers.run({ verb: 'readCounters' });
};

/** Measures by the number of blocks in the index. */
export const joinsProbe: Probe = {
  name: 'joins',
  measure: () =>
    withPeers(async (peers) => {
      const series = defineAll();
      const index = new PrefixIndex(suspectMs);
      for (const target of blockCounts) {
        const records = sampleData.records(Math.ceil(target / blocksPerReplica));
        fill(index, records);
        const bytes = snapshotBytes(index);
        const options = { records, prefixCaches: () => index.snapshot(1) };
        await repeat(repeats, 0, () =>
          withConnectedNode(peers, { count: 1 }, options, async () => {
            const before = await peers.run({ verb: 'readCounters' });
            await peers.run({ verb: 'send', topic: 'subscribe' });
            const after = await untilIdle(peers);
            series.arrived.add(target, (after.receivedBytes - before.receivedBytes) / bytes);
            series.stays.add(target, after.closedConnections > before.closedConnections ? 0 : 1);
          }),
        );
      }
      return measurementsOf(series);
    }),
};
