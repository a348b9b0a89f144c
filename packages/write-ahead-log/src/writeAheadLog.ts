/** Appends records to the segments of a log and writes its snapshots. */
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { background, CommandQueue } from '@martenworks/core-types';
import type { Disk, DiskFile } from '@martenworks/core-types';
import type { WriteAheadLogError } from './errors.js';
import { fileChain } from './fileChain.js';
import type { Tip } from './fileChain.js';
import { fileNames } from './fileNames.js';
import { recordBatches } from './recordBatch.js';
import { snapshotFiles } from './snapshotFile.js';

const maxSegmentBytes = 1024 * 1024;

interface PendingRecord {
  readonly record: unknown;
  readonly complete: (result: Result<void, WriteAheadLogError>) => void;
}

/**
 * The writer of a log: appends records in batches, and syncs each batch before it acknowledges the records. Created by
 * `writeAheadLogs.open`.
 */
export class WriteAheadLog {
  private readonly writer = new CommandQueue();
  private pending: PendingRecord[] = [];
  private file: DiskFile | null = null;
  private validSize = 0;
  private isEndUnknown = false;

  constructor(
    private readonly disk: Disk,
    private readonly prefix: string,
    private segment: number,
    private firstSegment: number,
    private tip: Tip | null,
  ) {}

  private readonly segmentName = (number: number): string => fileNames.of(this.prefix, 'segment', number);

  /** Appends a record; records appended while a write is in progress form the next batch.
   * @returns once the record is synced, or with the disk error, after which the record may or may not be in the log */
  readonly append = (record: unknown): Promise<Result<void, WriteAheadLogError>> =>
    new Promise((resolve) => {
      this.pending.push({ record, complete: resolve });
      if (this.pending.length === 1) background.run('flush the write-ahead log', this.writer.run(this.flush));
    });

  private readonly flush = async (): Promise<void> => {
    const batch = this.pending;
    this.pending = [];
    if (batch.length === 0) return;
    const written = await this.write(batch.map((one) => one.record));
    for (const one of batch) one.complete(written);
  };

  private readonly write = async (records: readonly unknown[]): Promise<Result<void, WriteAheadLogError>> => {
    const repaired = await this.repairUnknownEnd();
    if (repaired.isErr()) return repaired;
    if (this.validSize >= maxSegmentBytes) await this.roll();
    const file = await this.openSegment();
    if (file.isErr()) return err(file.error);
    const { bytes, checksum } = recordBatches.encode(
      this.validSize === 0 ? [fileChain.linkTo(this.tip), ...records] : records,
    );
    const appended = await file.value.append(bytes);
    const synced = appended.isErr() ? appended : await file.value.sync();
    if (synced.isErr()) {
      this.isEndUnknown = true;
      return synced;
    }
    this.validSize += bytes.length;
    this.tip = { number: this.segment, checksum };
    return ok(undefined);
  };

  private readonly openSegment = async (): Promise<Result<DiskFile, WriteAheadLogError>> => {
    if (this.file !== null) return ok(this.file);
    const opened = await this.disk.open(this.segmentName(this.segment));
    if (opened.isErr()) return err(opened.error);
    this.file = opened.value;
    this.validSize = 0;
    return ok(this.file);
  };

  /** After a failed write, the segment may end anywhere: truncates it to its last valid batch and starts a new one. */
  private readonly repairUnknownEnd = async (): Promise<Result<void, WriteAheadLogError>> => {
    if (!this.isEndUnknown) return ok(undefined);
    const truncated = await this.disk.truncate(this.segmentName(this.segment), this.validSize);
    if (truncated.isErr()) return truncated;
    await this.roll();
    this.isEndUnknown = false;
    return ok(undefined);
  };

  private readonly roll = async (): Promise<void> => {
    if (this.file === null) return;
    await this.file.close();
    this.file = null;
    this.segment += 1;
    this.validSize = 0;
  };

  /** Writes a snapshot and removes the older files.
   * @param capture returns the state; called once all records appended before are written */
  readonly snapshot = (capture: () => unknown): Promise<Result<void, WriteAheadLogError>> =>
    this.writer.run(async () => {
      const repaired = await this.repairUnknownEnd();
      if (repaired.isErr()) return repaired;
      await this.roll();
      const written = await snapshotFiles.write(this.disk, this.prefix, this.segment, capture(), this.tip);
      if (written.isErr()) return err(written.error);
      this.tip = written.value;
      return this.removeFilesBeforeSnapshot();
    });

  private readonly removeFilesBeforeSnapshot = async (): Promise<Result<void, WriteAheadLogError>> => {
    const listed = await this.disk.list();
    if (listed.isErr()) return err(listed.error);
    for (const name of listed.value) {
      const parsed = fileNames.parse(this.prefix, name);
      if (parsed !== null && parsed.number < this.segment) await this.disk.remove(name);
    }
    this.firstSegment = this.segment;
    return ok(undefined);
  };

  /** The number of the segment to which the next record is appended, unless it is full. */
  readonly currentSegment = (): number => this.segment;

  /** Removes the segments before the one with this number, but never the current one. */
  readonly removeSegmentsBefore = (segment: number): Promise<Result<void, WriteAheadLogError>> =>
    this.writer.run(async () => {
      for (; this.firstSegment < Math.min(segment, this.segment); this.firstSegment += 1) {
        const removed = await this.disk.remove(this.segmentName(this.firstSegment));
        if (removed.isErr()) return removed;
      }
      return ok(undefined);
    });

  /** The number of segments, including the current one. */
  readonly segmentCount = (): number => this.segment - this.firstSegment + 1;

  /** Closes the current segment once all writes are done. */
  readonly close = async (): Promise<void> => {
    await this.writer.run(async () => {
      await this.file?.close();
      this.file = null;
      this.segment += 1;
    });
  };
}
