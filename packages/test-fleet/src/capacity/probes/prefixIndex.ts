/** The prefix-cache index of a gateway: memory, events, its encoded snapshot, and placement. */
import { blocksPerReplica, poolCount, poolSizes } from '../fleetSize.js';
import { heapBytes, meanCpuMs, meanCpuUs, repeat, range } from '../measuring.js';
import { sampleData } from '../sampleData.js';
import { defineSeries, measurementsOf } from '../series.js';
import type { KvCacheEvent, ReplicaRecord } from '@martenworks/core-types';
import { FrameDecoder, frames } from '@martenworks/peer-transport';
import { PrefixIndex, choosePlacement } from '@martenworks/prefix-index';
import type { Probe } from './probe.js';

const blockCountsFromFrames = [10_000, 50_000, 100_000, 200_000, 400_000];
const blockCounts = [10_000, 100_000, 500_000, 1_000_000, 2_000_000, 4_000_000];
const maxBlocksSnapshotTimed = 1_000_000;
const maxBlocksSnapshotSized = 500_000;
const eventsPerFrame = 20;
const eventsPerRepeat = 20_000;
const repeats = 3;
const suspectMs = 3_600_000;
const promptBlocks = 266;
const cachedBlocks = 208;
const promptTokens = 17_020;
const placementsPerRepeat = 100;
/** The first of block numbers that no other step uses. */
const firstNewBlock = 900_000_000;
const firstPromptBlock = 700_000_000;

const defineAll = () =>
  defineSeries({
    memory: 'index/memory',
    memoryFromFrames: 'index/memory-from-frames',
    event: 'index/take',
    snapshotBytes: 'index/shelf-bytes',
    snapshotMs: 'index/shelf-cpu',
    placement: 'index/place',
  });

type IndexSeries = ReturnType<typeof defineAll>;

const newIndex = (): PrefixIndex => new PrefixIndex(suspectMs);
const recordsFor = (blocks: number): ReplicaRecord[] => sampleData.records(Math.ceil(blocks / blocksPerReplica));
const encodeSnapshot = (index: PrefixIndex): Uint8Array[] =>
  index.snapshot(1).map((body) => frames.encodeFrame({ f: 'tell', topic: 'indexSnapshot', body }));

/** Returns the size in bytes of the encoded snapshot of an index. */
export const snapshotBytes = (index: PrefixIndex): number =>
  encodeSnapshot(index).reduce((sum, frame) => sum + frame.length, 0);

const frameOf = (index: PrefixIndex, record: ReplicaRecord, firstBlock: number): Uint8Array => {
  const firstSeq = index.lastSeqOf(record.name, 1) + 1;
  const body = range(eventsPerFrame).map((at) =>
    sampleData.stored(record.name, firstSeq + at, [sampleData.blockName(firstBlock + at)]),
  );
  return frames.encodeFrame({ f: 'tell', topic: 'kv', body });
};

/** Block names decoded from a frame share its buffer, so their memory differs from that of names created one by one. */
const measureFromFrames = (series: IndexSeries): void => {
  const empty = heapBytes();
  const index = newIndex();
  const decoder = new FrameDecoder(
    (message) => {
      for (const event of (message as { body: KvCacheEvent[] }).body) index.apply(event, 0);
    },
    () => {},
  );
  let blockCount = 0;
  for (const target of blockCountsFromFrames) {
    const records = recordsFor(target);
    index.reconcile(records, () => 0);
    for (; blockCount < target; blockCount += eventsPerFrame) {
      const record = records[Math.floor(blockCount / blocksPerReplica)] as ReplicaRecord;
      decoder.push(frameOf(index, record, blockCount));
    }
    series.memoryFromFrames.add(target, heapBytes() - empty);
  }
};

const fill = (index: PrefixIndex, from: number, to: number): void => {
  const records = recordsFor(to);
  index.reconcile(records, () => 0);
  for (let at = from; at < to; at += 1) {
    const { name } = records[Math.floor(at / blocksPerReplica)] as ReplicaRecord;
    const block = Buffer.from(sampleData.blockName(at + 1)).toString('latin1');
    index.apply(sampleData.stored(name, index.lastSeqOf(name, 1) + 1, [block]), 0);
  }
};

/** Returns events that store a block and remove it again, spread over the replicas. */
const storeAndRemoveEvents = (index: PrefixIndex, names: readonly string[]): KvCacheEvent[] => {
  const lastSeqs = new Map<string, number>();
  return range(eventsPerRepeat / 2).flatMap((pair) => {
    const at = pair * 2;
    const name = names[(at * 7) % names.length] as string;
    const seq = lastSeqs.get(name) ?? index.lastSeqOf(name, 1);
    lastSeqs.set(name, seq + 2);
    const blocks = [sampleData.blockName(firstNewBlock + at)];
    return [
      sampleData.stored(name, seq + 1, blocks),
      { ...sampleData.stored(name, seq + 2, blocks), kind: 'removed' as const },
    ];
  });
};

const measureIndex = async (series: IndexSeries): Promise<void> => {
  const empty = heapBytes();
  const index = newIndex();
  let blockCount = 0;
  for (const target of blockCounts) {
    fill(index, blockCount, target);
    blockCount = target;
    series.memory.add(target, heapBytes() - empty);
    const names = recordsFor(target).map((record) => record.name);
    await repeat(repeats, 0, () => {
      const events = storeAndRemoveEvents(index, names);
      series.event.add(
        target,
        meanCpuUs(events.length, (at) => index.apply(events[at] as KvCacheEvent, 1)),
      );
    });
    if (target <= maxBlocksSnapshotTimed)
      await repeat(repeats, 0, () =>
        series.snapshotMs.add(
          target,
          meanCpuMs(1, () => void encodeSnapshot(index)),
        ),
      );
    if (target <= maxBlocksSnapshotSized) series.snapshotBytes.add(target, snapshotBytes(index));
  }
};

const measurePlacement = async (series: IndexSeries, replicas: number): Promise<void> => {
  const [poolName, pool] = Object.entries(sampleData.configOf(1, 0).pools)[0] ?? [];
  if (pool === undefined) return;
  const records = sampleData.records(replicas * poolCount).filter((record) => record.pool === poolName);
  const blocks = range(promptBlocks).map((at) => sampleData.blockName(firstPromptBlock + at));
  const index = newIndex();
  index.reconcile(records, () => 0);
  for (const [at, record] of records.entries())
    index.apply(sampleData.stored(record.name, 1, blocks.slice(0, at % 3 === 0 ? cachedBlocks : 0)), 0);
  const query = {
    pool,
    blocks,
    promptTokens,
    isolatedTenant: null,
    candidates: records.map((record, at) => ({ record, running: at % 20, pendingTokens: (at * 97) % 2_000 })),
    holders: records,
    now: 1,
    zone: '',
    useIndex: true,
    tieBreak: 0.5,
    pullExcessMs: () => 0,
  };
  await repeat(repeats, 1, (isMeasured) => {
    const us = meanCpuUs(placementsPerRepeat, () => void choosePlacement(index, query));
    if (isMeasured) series.placement.add(replicas, us);
  });
};

/** Measures the index by its number of blocks, and placement by the number of replicas in a pool. */
export const indexProbe: Probe = {
  name: 'index',
  measure: async () => {
    const series = defineAll();
    measureFromFrames(series);
    await measureIndex(series);
    for (const replicas of poolSizes) await measurePlacement(series, replicas);
    return measurementsOf(series);
  },
};
