/** Reads a log from its newest snapshot on, and verifies that none of its files is damaged or missing. */
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
import type { StoredSnapshot } from './snapshotFile.js';

/** The end of the last segment, which may be torn or not synced if the process that wrote it was killed. */
interface LogEnd {
  readonly file: string;
  readonly validSize: number;
  /** The number of bytes of an interrupted write. */
  readonly tornBytes: number;
}

/** The contents of a log, read without changing anything on disk. */
export interface LogContents {
  readonly snapshot: unknown;
  readonly records: readonly unknown[];
  readonly firstSegment: number;
  readonly nextSegment: number;
  readonly tip: Tip | null;
  /** Null where there is no segment. */
  readonly end: LogEnd | null;
}

/** Options of a log. */
export interface LogOptions {
  /**
   * Old segments are removed without a snapshot (`removeSegmentsBefore`), so that the first one may have any
   * predecessor.
   */
  readonly isTrimmed?: boolean;
}

const describeTip = (prefix: string, tip: Tip | null): string =>
  tip === null
    ? 'the start of the log'
    : `the original ${fileNames.of(prefix, 'segment', tip.number)} or the checkpoint of that number`;

/** Collects the segments of a log in ascending order, and verifies that each is linked to the file before it. */
class SegmentReader {
  readonly records: unknown[] = [];
  tip: Tip | null;
  end: LogEnd | null = null;
  /** Null where the next segment may have any predecessor. */
  private allowedPredecessors: readonly (Tip | null)[] | null;
  private hasLinks = false;

  constructor(
    private readonly prefix: string,
    base: StoredSnapshot | null,
    isTrimmed: boolean,
  ) {
    this.tip = base === null ? null : base.tip;
    this.allowedPredecessors = base === null ? (isTrimmed ? null : [null]) : base.allowedPredecessors;
  }

  readonly add = (number: number, isLast: boolean, bytes: Uint8Array): Result<void, CorruptionError> => {
    const name = fileNames.of(this.prefix, 'segment', number);
    const scan = scanFile(bytes);
    if (scan.end < bytes.length) {
      if (!isLast || recordBatches.hasBatchAfter(bytes, scan.end))
        return err(corruption(name, scan.end, 'a batch before the tail of the log fails its checksum'));
    }
    this.end = { file: name, validSize: scan.end, tornBytes: bytes.length - scan.end };
    if (scan.checksum === null) return ok(undefined);
    const checked = this.checkLink(name, scan);
    if (checked.isErr()) return checked;
    for (const record of scan.records) this.records.push(record);
    this.tip = { number, checksum: scan.checksum };
    this.allowedPredecessors = [this.tip];
    return ok(undefined);
  };

  private readonly checkLink = (name: string, { link }: FileScan): Result<void, CorruptionError> => {
    if (link === null)
      return this.hasLinks ? err(corruption(name, 0, 'has no link to its predecessor')) : ok(undefined);
    const { after } = link.walLink;
    if (this.allowedPredecessors !== null && !this.allowedPredecessors.some((tip) => fileChain.isSameTip(tip, after)))
      return err(corruption(name, 0, `follows ${describeTip(this.prefix, after)}, which is missing`));
    this.hasLinks = true;
    return ok(undefined);
  };
}

/** Reads the log with this prefix; nothing on disk is changed. */
export const readLog = async (
  disk: Disk,
  prefix: string,
  { isTrimmed = false }: LogOptions,
): Promise<Result<LogContents, WriteAheadLogError>> => {
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
    const added = reader.add(number, number === last, bytes.value ?? new Uint8Array());
    if (added.isErr()) return err(added.error);
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
