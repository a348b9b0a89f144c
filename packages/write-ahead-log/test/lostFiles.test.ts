import { expect } from 'chai';
import type { Result } from 'neverthrow';
import { writeAheadLogs } from '@martenworks/write-ahead-log';
import type { OpenedLog, WriteAheadLogError } from '@martenworks/write-ahead-log';
import { SimDisk } from '@martenworks/test-fleet';

const isLive = (): boolean => true;
const filler = 'x'.repeat(400_000);

interface Entry {
  readonly at: number;
  readonly text: string;
}

const open = (disk: SimDisk): Promise<Result<OpenedLog, WriteAheadLogError>> =>
  writeAheadLogs.open(disk.view(isLive), 'book');

const opened = async (disk: SimDisk): Promise<OpenedLog> => (await open(disk))._unsafeUnwrap();

/** The record numbers in a log: those that its snapshot counts, and those of its records. */
const storedNumbers = ({ snapshot, records }: OpenedLog): number[] => [
  ...Array.from({ length: (snapshot as { count: number } | null)?.count ?? 0 }, (_, at) => at),
  ...(records as Entry[]).map(({ at }) => at),
];

const numbersBelow = (count: number): number[] => Array.from({ length: count }, (_, at) => at);

const append = async (log: OpenedLog, from: number, to: number): Promise<void> => {
  for (let at = from; at < to; at += 1) expect((await log.wal.append({ at, text: filler })).isOk()).to.equal(true);
};

const filesOfKind = (disk: SimDisk, kind: string): string[] =>
  [...disk.files.keys()].filter((name) => name.includes(kind)).sort();

const without = (disk: SimDisk, names: readonly string[]): SimDisk => {
  const copy = disk.copy();
  for (const name of names) copy.files.delete(name);
  return copy;
};

/** Creates a log of five segments with records 0 to 10, reopened after record 5 as by a restart. */
const fiveSegments = async (): Promise<SimDisk> => {
  const disk = new SimDisk();
  await append(await opened(disk), 0, 6);
  await append(await opened(disk), 6, 11);
  return disk;
};

describe('a log with missing files', () => {
  it('given segments without a snapshot, when one that is not the last is missing, then opening fails and the error names the next segment and the missing one', async () => {
    const disk = await fiveSegments();
    const segments = filesOfKind(disk, 'segment');
    expect(segments.length).to.be.at.least(4);
    expect(storedNumbers(await opened(disk.copy()))).to.deep.equal(numbersBelow(11));
    for (const [at, missing] of segments.slice(0, -1).entries()) {
      const fault = (await open(without(disk, [missing])))._unsafeUnwrapErr();
      expect(fault).to.include({ kind: 'corrupt', file: segments[at + 1], offset: 0 });
      expect(fault.detail).to.include(missing);
    }
  });

  it('given a snapshot and segments after it, when the snapshot or a segment that is not the last is missing, then opening fails and the error names the next file', async () => {
    const disk = new SimDisk();
    const log = await opened(disk);
    await append(log, 0, 3);
    await log.wal.snapshot(() => ({ count: 3 }));
    await append(log, 3, 11);
    const [snapshot] = filesOfKind(disk, 'checkpoint') as [string];
    const segments = filesOfKind(disk, 'segment');
    expect(storedNumbers(await opened(disk.copy()))).to.deep.equal(numbersBelow(11));
    for (const [missing, next] of [
      [snapshot, segments[0]],
      ...segments.slice(0, -1).map((name, at) => [name, segments[at + 1]]),
    ] as [string, string][])
      expect((await open(without(disk, [missing])))._unsafeUnwrapErr()).to.include({ kind: 'corrupt', file: next });
  });

  it('given files that a snapshot has replaced, when any subset of their removals is undone, then the log opens with all records', async () => {
    const disk = await fiveSegments();
    const log = await opened(disk);
    await append(log, 11, 12);
    const before = disk.copy();
    await log.wal.snapshot(() => ({ count: 12 }));
    await append(log, 12, 14);
    const stale = [...before.files.keys()].filter((name) => !disk.files.has(name));
    expect(stale.length).to.be.at.least(4);
    for (let mask = 0; mask < 2 ** stale.length; mask += 1) {
      const copy = disk.copy();
      for (const [at, name] of stale.entries())
        if ((mask >> at) % 2 === 1)
          copy.files.set(name, {
            synced: before.files.get(name)?.synced ?? new Uint8Array(),
            unsynced: new Uint8Array(),
          });
      expect(storedNumbers(await opened(copy))).to.deep.equal(numbersBelow(14));
    }
  });

  it('given a power failure before any disk operation of appends, new segments, a full disk, snapshots and restarts, with all, half or none of the unsynced bytes, when the log is opened, then it has a prefix with every acknowledged record and accepts more', async () => {
    const disk = new SimDisk();
    let acknowledged = 0;
    let attempted = 0;
    const images: { disk: SimDisk; acknowledged: number; attempted: number }[] = [];
    disk.beforeMutation = () => void images.push({ disk: disk.copy(), acknowledged, attempted });
    const write = async (log: OpenedLog, count: number): Promise<void> => {
      for (let end = acknowledged + count; acknowledged < end; ) {
        attempted = acknowledged + 1;
        await append(log, acknowledged, acknowledged + 1);
        acknowledged += 1;
      }
    };
    const first = await opened(disk);
    await write(first, 4);
    disk.faults.isFull = true;
    expect((await first.wal.append({ at: 99, text: filler })).isErr()).to.equal(true);
    disk.faults.isFull = false;
    await write(first, 2);
    await first.wal.snapshot(() => ({ count: acknowledged }));
    const second = await opened(disk);
    await write(second, 4);
    await second.wal.snapshot(() => ({ count: acknowledged }));
    await write(second, 1);
    disk.faults.failsSync = true;
    expect((await second.wal.append({ at: 98, text: 'short' })).isErr()).to.equal(true);
    disk.faults.failsSync = false;
    await write(second, 3);
    expect(images.length).to.be.greaterThan(40);
    for (const image of images)
      for (const share of [0, 0.5, 1]) {
        const copy = image.disk.copy();
        copy.crash(share);
        const log = await opened(copy);
        const stored = storedNumbers(log).filter((at) => at < 90);
        expect(stored).to.deep.equal(numbersBelow(stored.length));
        expect(stored.length).to.be.within(image.acknowledged, image.attempted);
        expect((await log.wal.append({ at: stored.length, text: '' })).isOk()).to.equal(true);
        expect(storedNumbers(await opened(copy)).filter((at) => at < 90)).to.deep.equal(
          numbersBelow(stored.length + 1),
        );
      }
  });

  it('given a snapshot that was written although its write was reported as failed, when more records are appended and the log is opened, then no file counts as missing', async () => {
    const disk = new SimDisk();
    const view = disk.view(isLive);
    const replaceThenFail: typeof view.replace = async (name, bytes) => {
      await view.replace(name, bytes);
      disk.faults.isFull = true;
      const result = await view.replace(name, bytes);
      disk.faults.isFull = false;
      return result;
    };
    const log = (await writeAheadLogs.open({ ...view, replace: replaceThenFail }, 'book'))._unsafeUnwrap();
    await append(log, 0, 4);
    expect((await log.wal.snapshot(() => ({ count: 4 }))).isErr()).to.equal(true);
    await append(log, 4, 8);
    expect(storedNumbers(await opened(disk))).to.deep.equal(numbersBelow(8));
  });
});
