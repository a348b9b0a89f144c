/** Opens a log, repairs its end, and removes logs. */
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { Disk } from '@martenworks/core-types';
import type { WriteAheadLogError } from './errors.js';
import { fileNames } from './fileNames.js';
import { readLog } from './logReader.js';
import type { LogOptions, ReadLog } from './logReader.js';
import { WriteAheadLog } from './writeAheadLog.js';

/** An opened log: what it held, and the bytes of a torn tail that were cut. `snapshot` is null where there was none. */
export interface OpenedLog {
  readonly wal: WriteAheadLog;
  readonly snapshot: unknown;
  readonly records: readonly unknown[];
  readonly cutBytes: number;
}

/**
 * Makes the end of a log durable before anyone builds on it: a process that was killed between a write and its sync left
 * records that can be read now and that a loss of power would still take away. A torn tail is cut.
 */
const settleEnd = async (disk: Disk, { end }: ReadLog): Promise<Result<void, WriteAheadLogError>> => {
  if (end === null) return ok(undefined);
  return end.tornBytes > 0 ? disk.truncate(end.file, end.goodSize) : disk.sync(end.file);
};

/** Opens, checks and removes logs; a log is all files of one prefix on a disk. */
export const writeAheadLogs = {
  /**
   * Opens the log of this prefix: its newest snapshot, the records after it, and its end, from which a torn tail is
   * cut. All that is returned is durable. A file that is damaged before its tail, or follows one that is missing, is a `corrupt` fault.
   */
  open: async (
    disk: Disk,
    prefix: string,
    options: LogOptions = {},
  ): Promise<Result<OpenedLog, WriteAheadLogError>> => {
    const read = await readLog(disk, prefix, options);
    if (read.isErr()) return err(read.error);
    const settled = await settleEnd(disk, read.value);
    if (settled.isErr()) return err(settled.error);
    const { snapshot, records, firstSegment, nextSegment, tip, end } = read.value;
    const wal = new WriteAheadLog(disk, prefix, nextSegment, firstSegment, tip);
    return ok({ wal, snapshot, records, cutBytes: end?.tornBytes ?? 0 });
  },

  /** Reads the log of this prefix and changes nothing. */
  check: async (disk: Disk, prefix: string, options: LogOptions = {}): Promise<Result<void, WriteAheadLogError>> =>
    (await readLog(disk, prefix, options)).map(() => undefined),

  /**
   * Removes all files of the log, snapshots and then segments, the oldest first: what a loss of power leaves in between
   * has lost its beginning.
   */
  discard: async (disk: Disk, prefix: string): Promise<Result<readonly string[], WriteAheadLogError>> => {
    const listed = await disk.list();
    if (listed.isErr()) return err(listed.error);
    const files = (['checkpoint', 'segment'] as const).flatMap((kind) =>
      fileNames.numbers(prefix, listed.value, kind).map((number) => fileNames.of(prefix, kind, number)),
    );
    for (const name of files) {
      const removed = await disk.remove(name);
      if (removed.isErr()) return err(removed.error);
    }
    return ok(files);
  },
};
