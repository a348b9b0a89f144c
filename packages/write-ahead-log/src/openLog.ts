/** Opens a log, repairs its end, and removes logs. */
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { Disk } from '@martenworks/core-types';
import type { WriteAheadLogError } from './errors.js';
import { fileNames } from './fileNames.js';
import { readLog } from './logReader.js';
import type { LogOptions, LogContents } from './logReader.js';
import { WriteAheadLog } from './writeAheadLog.js';

/**
 * An open log and its contents. `snapshot` is null if there is none; `cutBytes` is the size of a truncated torn tail.
 */
export interface OpenedLog {
  readonly wal: WriteAheadLog;
  readonly snapshot: unknown;
  readonly records: readonly unknown[];
  readonly cutBytes: number;
}

/**
 * Truncates a torn tail, or makes the end of the log durable before it is used: a process that was killed between a
 * write and its sync leaves records that can be read but would be lost at a power failure.
 */
const repairEnd = async (disk: Disk, { end }: LogContents): Promise<Result<void, WriteAheadLogError>> => {
  if (end === null) return ok(undefined);
  return end.tornBytes > 0 ? disk.truncate(end.file, end.validSize) : disk.sync(end.file);
};

/** Opens, checks and removes logs; a log is all files of one prefix on a disk. */
export const writeAheadLogs = {
  /**
   * Opens the log with this prefix: returns its newest snapshot and the records after it, and truncates a torn tail.
   * Everything that is returned is durable. Fails with `corrupt` if a file is damaged before its tail or its
   * predecessor is missing.
   */
  open: async (
    disk: Disk,
    prefix: string,
    options: LogOptions = {},
  ): Promise<Result<OpenedLog, WriteAheadLogError>> => {
    const read = await readLog(disk, prefix, options);
    if (read.isErr()) return err(read.error);
    const repaired = await repairEnd(disk, read.value);
    if (repaired.isErr()) return err(repaired.error);
    const { snapshot, records, firstSegment, nextSegment, tip, end } = read.value;
    const wal = new WriteAheadLog(disk, prefix, nextSegment, firstSegment, tip);
    return ok({ wal, snapshot, records, cutBytes: end?.tornBytes ?? 0 });
  },

  /** Verifies the log with this prefix; nothing on disk is changed. */
  check: async (disk: Disk, prefix: string, options: LogOptions = {}): Promise<Result<void, WriteAheadLogError>> =>
    (await readLog(disk, prefix, options)).map(() => undefined),

  /**
   * Removes all files of the log, snapshots before segments and the oldest first, and returns their names. If a power
   * failure interrupts this, the remaining files lack the beginning of the log, so that it is not opened as complete.
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
