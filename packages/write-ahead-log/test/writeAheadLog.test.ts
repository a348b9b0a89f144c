import { expect } from 'chai';
import { writeAheadLogs } from '@martenworks/write-ahead-log';
import type { OpenedLog } from '@martenworks/write-ahead-log';
import { SimDisk } from '@martenworks/test-fleet';

const live = (): boolean => true;

const opened = async (disk: SimDisk): Promise<OpenedLog> => {
  const outcome = await writeAheadLogs.open(disk.view(live), 'book');
  if (outcome.isErr()) throw new Error(JSON.stringify(outcome.error));
  return outcome.value;
};

const copyOf = (disk: SimDisk): SimDisk => {
  const copy = new SimDisk();
  for (const [name, held] of disk.files)
    copy.files.set(name, { synced: held.synced.slice(), unsynced: new Uint8Array() });
  return copy;
};

const segmentsOf = (disk: SimDisk): string[] =>
  [...disk.files.keys()].filter((name) => name.includes('segment')).sort();

describe('a log', () => {
  it('given records kept one by one, when its last file is cut at any byte, then it opens with a prefix that holds every record wholly before the cut', async () => {
    const disk = new SimDisk();
    const { wal } = await opened(disk);
    const ends: number[] = [];
    for (let at = 0; at < 6; at += 1) {
      expect((await wal.append({ at, text: 'x'.repeat(at * 7) })).isOk()).to.equal(true);
      ends.push(disk.files.get(segmentsOf(disk)[0] as string)?.synced.length ?? 0);
    }
    const name = segmentsOf(disk)[0] as string;
    const size = ends[ends.length - 1] as number;
    for (let cut = 0; cut <= size; cut += 1) {
      const copy = copyOf(disk);
      const held = copy.files.get(name);
      if (held === undefined) throw new Error('no file');
      held.synced = held.synced.slice(0, cut);
      const again = await opened(copy);
      const wanted = ends.filter((end) => end <= cut).length;
      expect(again.records.map((record) => (record as { at: number }).at)).to.deep.equal(
        Array.from({ length: wanted }, (_, at) => at),
      );
      expect((await again.wal.append({ at: 99 })).isOk()).to.equal(true);
      const third = await opened(copy);
      expect(third.records.length).to.equal(wanted + 1);
    }
  });

  it('given a damaged byte before the tail, when it is opened, then the damage is named and nothing is served', async () => {
    const disk = new SimDisk();
    const { wal } = await opened(disk);
    for (let at = 0; at < 3; at += 1) await wal.append({ at, text: 'abcdefgh' });
    const name = segmentsOf(disk)[0] as string;
    const held = disk.files.get(name);
    if (held === undefined) throw new Error('no file');
    held.synced[12] = (held.synced[12] ?? 0) ^ 0xff;
    const outcome = await writeAheadLogs.open(disk.view(live), 'book');
    expect(outcome._unsafeUnwrapErr()).to.include({ kind: 'corrupt', file: name, offset: 0 });
  });

  it('given a full disk, when a record is refused half written, then later records are kept and the refused one is absent', async () => {
    const disk = new SimDisk();
    const { wal } = await opened(disk);
    await wal.append({ at: 0 });
    disk.faults.isFull = true;
    expect((await wal.append({ at: 1 })).isErr()).to.equal(true);
    disk.faults.isFull = false;
    expect((await wal.append({ at: 2 })).isOk()).to.equal(true);
    disk.crash(1);
    const again = await opened(disk);
    expect(again.records).to.deep.equal([{ at: 0 }, { at: 2 }]);
  });

  it('given a crash, when unsynced bytes survive in part, then every acknowledged record is there', async () => {
    for (const share of [0, 0.3, 0.9, 1]) {
      const disk = new SimDisk();
      const { wal } = await opened(disk);
      await wal.append({ at: 0 });
      await wal.append({ at: 1 });
      disk.faults.failsSync = true;
      expect((await wal.append({ at: 2, text: 'y'.repeat(100) })).isErr()).to.equal(true);
      disk.faults.failsSync = false;
      disk.crash(share);
      const again = await opened(disk);
      expect(again.records.slice(0, 2)).to.deep.equal([{ at: 0 }, { at: 1 }]);
    }
  });

  it('given a snapshot, when it is opened again, then older files are gone and state is snapshot plus later records', async () => {
    const disk = new SimDisk();
    const { wal } = await opened(disk);
    for (let at = 0; at < 5; at += 1) await wal.append({ at });
    expect((await wal.snapshot(() => ({ sum: 10 }))).isOk()).to.equal(true);
    await wal.append({ at: 5 });
    const again = await opened(disk);
    expect(again.snapshot).to.deep.equal({ sum: 10 });
    expect(again.records).to.deep.equal([{ at: 5 }]);
    expect(segmentsOf(disk).length).to.equal(1);
  });
});
