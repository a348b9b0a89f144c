/** Reads a log from its newest snapshot on, and checks that no file of it is damaged or missing. */
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { Disk } from '@martenworks/core-types';
import { corruption } from './errors.js';
import type { CorruptionError, WriteAheadLogError } from './errors.js';
import { fileChain } from './fileChain.js';
import type { Tip } from './fileChain.js';
import { fileNames } from './fileNames.js';
import { scanFile } from './fileScan.js';
import type { FileScan } from './fileScan.js';
import { recordBatches } from './recordBatch.js';
import { snapshotFiles } from './snapshotFile.js';
import type { ReadSnapshot } from './snapshotFile.js';

/** The end of the last segment: the process that wrote it may have ended in the midst of a write, or before its sync. */
interface LogEnd {
  readonly file: string;
  readonly goodSize: number;
  /** Bytes of a write that was interrupted. */
  readonly tornBytes: number;
}

/** A log as it is read, before anything on disk is changed. */
export interface ReadLog {
  readonly snapshot: unknown;
  readonly records: readonly unknown[];
  readonly firstSegment: number;
  readonly nextSegment: number;
  readonly tip: Tip | null;
  /** Null where there is no segment. */
  readonly end: LogEnd | null;
}

/** How a log is kept. */
export interface LogOptions {
  /** Old segments are dropped without a snapshot (`dropBefore`), so that the first one kept may follow any. */
  readonly isTrimmed?: boolean;
}

const describeTip = (prefix: string, tip: Tip | null): string =>
  tip === null
    ? 'nothing'
    : `${fileNames.of(prefix, 'segment', tip.number)} or the checkpoint of that number, as it was written`;

/** Takes the segments of a log in their order; each must follow the file before it. */
class SegmentReader {
  readonly records: unknown[] = [];
  tip: Tip | null;
  end: LogEnd | null = null;
  /** Null where the next segment may follow any. */
  private mayFollow: readonly (Tip | null)[] | null;
  private isLinked = false;

  constructor(
    private readonly prefix: string,
    base: ReadSnapshot | null,
    isTrimmed: boolean,
  ) {
    this.tip = base === null ? null : base.tip;
    this.mayFollow = base === null ? (isTrimmed ? null : [null]) : base.mayFollow;
  }

  readonly take = (number: number, isLast: boolean, bytes: Uint8Array): Result<void, CorruptionError> => {
    const name = fileNames.of(this.prefix, 'segment', number);
    const scan = scanFile(bytes);
    if (scan.end < bytes.length) {
      if (!isLast || recordBatches.isAnyAfter(bytes, scan.end))
        return err(corruption(name, scan.end, 'a record before the tail does not pass its check'));
    }
    this.end = { file: name, goodSize: scan.end, tornBytes: bytes.length - scan.end };
    if (scan.checksum === null) return ok(undefined);
    const linked = this.checkLink(name, scan);
    if (linked.isErr()) return linked;
    for (const record of scan.records) this.records.push(record);
    this.tip = { number, checksum: scan.checksum };
    this.mayFollow = [this.tip];
    return ok(undefined);
  };

  private readonly checkLink = (name: string, { link }: FileScan): Result<void, CorruptionError> => {
    if (link === null) return this.isLinked ? err(corruption(name, 0, 'does not tell what it follows')) : ok(undefined);
    const { after } = link.walLink;
    if (this.mayFollow !== null && !this.mayFollow.some((tip) => fileChain.isSameTip(tip, after)))
      return err(corruption(name, 0, `follows ${describeTip(this.prefix, after)}, which is missing`));
    this.isLinked = true;
    return ok(undefined);
  };
}

/** Reads the log of this prefix and changes nothing on disk. */
export const readLog = async (
  disk: Disk,
  prefix: string,
  { isTrimmed = false }: LogOptions,
): Promise<Result<ReadLog, WriteAheadLogError>> => {
  const listed = await disk.list();
  if (listed.isErr()) return err(listed.error);
  const newestSnapshot = fileNames.numbers(prefix, listed.value, 'checkpoint').at(-1);
  const read = newestSnapshot === undefined ? ok(null) : await snapshotFiles.read(disk, prefix, newestSnapshot);
  if (read.isErr()) return err(read.error);
  const snapshot = read.value;
  const first = newestSnapshot ?? 0;
  const segments = fileNames.numbers(prefix, listed.value, 'segment').filter((number) => number >= first);
  const last = segments.at(-1);
  const reader = new SegmentReader(prefix, snapshot, isTrimmed);
  for (const number of segments) {
    const bytes = await disk.read(fileNames.of(prefix, 'segment', number));
    if (bytes.isErr()) return err(bytes.error);
    const taken = reader.take(number, number === last, bytes.value ?? new Uint8Array());
    if (taken.isErr()) return err(taken.error);
  }
  return ok({
    snapshot: snapshot === null ? null : snapshot.state,
    records: reader.records,
    firstSegment: segments[0] ?? first,
    nextSegment: last === undefined ? first : last + 1,
    tip: reader.tip,
    end: reader.end,
  });
};
