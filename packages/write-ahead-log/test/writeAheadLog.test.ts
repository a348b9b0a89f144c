import { expect } from 'chai';
import { writeAheadLogs } from '@martenworks/write-ahead-log';
import type { OpenedLog } from '@martenworks/write-ahead-log';
import { SimDisk } from '@martenworks/test-fleet';

const isLive = (): boolean => true;

const opened = async (disk: SimDisk): Promise<OpenedLog> => {
  const outcome = await writeAheadLogs.open(disk.view(isLive), 'book');
  if (outcome.isErr()) throw new Error(JSON.stringify(outcome.error));
  return outcome.value;
};

const copyOf = (disk: SimDisk): SimDisk => {
  const copy = new SimDisk();
  for (const [name, file] of disk.files)
    copy.files.set(name, { synced: file.synced.slice(), unsynced: new Uint8Array() });
  return copy;
};

const segmentsOf = (disk: SimDisk): string[] =>
  [...disk.files.keys()].filter((name) => name.includes('segment')).sort();

describe('a log', () => {
  it('given records appended one by one, when the last file is truncated at any byte, then the log opens with all records that end before that byte', async () => {
    const disk = new SimDisk();
    const { wal } = await opened(disk);
    const ends: number[] = [];
    for (let at = 0; at < 6; at += 1) {
      expect((await wal.append({ at, text: 'x'.repeat(at * 7) })).isOk()).to.equal(true);
      ends.push(disk.files.get(segmentsOf(disk)[0] as string)?.synced.length ?? 0);
    }
    const name = segmentsOf(disk)[0] as string;
    const size = ends[ends.length - 1] as number;
    for (let newSize = 0; newSize <= size; newSize += 1) {
      const copy = copyOf(disk);
      const file = copy.files.get(name);
      if (file === undefined) throw new Error('no file');
      file.synced = file.synced.slice(0, newSize);
      const reopened = await opened(copy);
      const expectedCount = ends.filter((end) => end <= newSize).length;
      expect(reopened.records.map((record) => (record as { at: number }).at)).to.deep.equal(
        Array.from({ length: expectedCount }, (_, at) => at),
      );
      expect((await reopened.wal.append({ at: 99 })).isOk()).to.equal(true);
      const reopenedAgain = await opened(copy);
      expect(reopenedAgain.records.length).to.equal(expectedCount + 1);
    }
  });

  it('given a damaged byte before the tail, when the log is opened, then it fails with the damaged file and offset', async () => {
    const disk = new SimDisk();
    const { wal } = await opened(disk);
    for (let at = 0; at < 3; at += 1) await wal.append({ at, text: 'abcdefgh' });
    const name = segmentsOf(disk)[0] as string;
    const file = disk.files.get(name);
    if (file === undefined) throw new Error('no file');
    file.synced[12] = (file.synced[12] ?? 0) ^ 0xff;
    const outcome = await writeAheadLogs.open(disk.view(isLive), 'book');
    expect(outcome._unsafeUnwrapErr()).to.include({ kind: 'corrupt', file: name, offset: 0 });
  });

  it('given a full disk, when the append of a record fails half way, then later records are stored and the failed one is absent', async () => {
    const disk = new SimDisk();
    const { wal } = await opened(disk);
    await wal.append({ at: 0 });
    disk.faults.isFull = true;
    expect((await wal.append({ at: 1 })).isErr()).to.equal(true);
    disk.faults.isFull = false;
    expect((await wal.append({ at: 2 })).isOk()).to.equal(true);
    disk.crash(1);
    const reopened = await opened(disk);
    expect(reopened.records).to.deep.equal([{ at: 0 }, { at: 2 }]);
  });

  it('given a crash, when unsynced bytes survive in part, then the log has every acknowledged record', async () => {
    for (const share of [0, 0.3, 0.9, 1]) {
      const disk = new SimDisk();
      const { wal } = await opened(disk);
      await wal.append({ at: 0 });
      await wal.append({ at: 1 });
      disk.faults.failsSync = true;
      expect((await wal.append({ at: 2, text: 'y'.repeat(100) })).isErr()).to.equal(true);
      disk.faults.failsSync = false;
      disk.crash(share);
      const reopened = await opened(disk);
      expect(reopened.records.slice(0, 2)).to.deep.equal([{ at: 0 }, { at: 1 }]);
    }
  });

  it('given a snapshot, when the log is opened again, then older files are removed and the state is the snapshot and the later records', async () => {
    const disk = new SimDisk();
    const { wal } = await opened(disk);
    for (let at = 0; at < 5; at += 1) await wal.append({ at });
    expect((await wal.snapshot(() => ({ sum: 10 }))).isOk()).to.equal(true);
    await wal.append({ at: 5 });
    const reopened = await opened(disk);
    expect(reopened.snapshot).to.deep.equal({ sum: 10 });
    expect(reopened.records).to.deep.equal([{ at: 5 }]);
    expect(segmentsOf(disk).length).to.equal(1);
  });
});
