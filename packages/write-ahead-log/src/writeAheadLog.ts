/** Appends records to the segments of a log, and writes its snapshots. */
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

const segmentLimitBytes = 1024 * 1024;

interface WaitingRecord {
  readonly record: unknown;
  readonly settle: (result: Result<void, WriteAheadLogError>) => void;
}

/**
 * The writing end of a log: appends records in batches, each synced before it is acknowledged. Opened by
 * `writeAheadLogs.open`.
 */
export class WriteAheadLog {
  private readonly writer = new CommandQueue();
  private waiting: WaitingRecord[] = [];
  private file: DiskFile | null = null;
  private goodSize = 0;
  private isSuspect = false;

  constructor(
    private readonly disk: Disk,
    private readonly prefix: string,
    private segment: number,
    private firstSegment: number,
    private tip: Tip | null,
  ) {}

  private readonly segmentName = (number: number): string => fileNames.of(this.prefix, 'segment', number);

  /** Writes a record at the end; records asked for while a write runs go into the next batch together.
   * @returns once the record is synced, or with the disk's error: the record may then be in the log or not */
  readonly append = (record: unknown): Promise<Result<void, WriteAheadLogError>> =>
    new Promise((resolve) => {
      this.waiting.push({ record, settle: resolve });
      if (this.waiting.length === 1) background.run('flush the write-ahead log', this.writer.run(this.flush));
    });

  private readonly flush = async (): Promise<void> => {
    const batch = this.waiting;
    this.waiting = [];
    if (batch.length === 0) return;
    const written = await this.write(batch.map((one) => one.record));
    for (const one of batch) one.settle(written);
  };

  private readonly write = async (records: readonly unknown[]): Promise<Result<void, WriteAheadLogError>> => {
    const repaired = await this.repairIfSuspect();
    if (repaired.isErr()) return repaired;
    if (this.goodSize >= segmentLimitBytes) await this.roll();
    const file = await this.openSegment();
    if (file.isErr()) return err(file.error);
    const { bytes, checksum } = recordBatches.encode(
      this.goodSize === 0 ? [fileChain.linkAfter(this.tip), ...records] : records,
    );
    const appended = await file.value.append(bytes);
    const synced = appended.isErr() ? appended : await file.value.sync();
    if (synced.isErr()) {
      this.isSuspect = true;
      return synced;
    }
    this.goodSize += bytes.length;
    this.tip = { number: this.segment, checksum };
    return ok(undefined);
  };

  private readonly openSegment = async (): Promise<Result<DiskFile, WriteAheadLogError>> => {
    if (this.file !== null) return ok(this.file);
    const opened = await this.disk.open(this.segmentName(this.segment));
    if (opened.isErr()) return err(opened.error);
    this.file = opened.value;
    this.goodSize = 0;
    return ok(this.file);
  };

  /** After a failed write the end of the segment is unknown: it is cut to its last good batch and left. */
  private readonly repairIfSuspect = async (): Promise<Result<void, WriteAheadLogError>> => {
    if (!this.isSuspect) return ok(undefined);
    const cut = await this.disk.truncate(this.segmentName(this.segment), this.goodSize);
    if (cut.isErr()) return cut;
    await this.roll();
    this.isSuspect = false;
    return ok(undefined);
  };

  private readonly roll = async (): Promise<void> => {
    if (this.file === null) return;
    await this.file.close();
    this.file = null;
    this.segment += 1;
    this.goodSize = 0;
  };

  /** Writes a snapshot and removes the files before it.
   * @param capture gives the state; called once all records asked for before are written */
  readonly snapshot = (capture: () => unknown): Promise<Result<void, WriteAheadLogError>> =>
    this.writer.run(async () => {
      const repaired = await this.repairIfSuspect();
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

  /** Number of the segment that the next record goes into, unless it is full. */
  readonly currentSegment = (): number => this.segment;

  /** Removes the segments before this one, and never the current one. */
  readonly dropBefore = (segment: number): Promise<Result<void, WriteAheadLogError>> =>
    this.writer.run(async () => {
      for (; this.firstSegment < Math.min(segment, this.segment); this.firstSegment += 1) {
        const removed = await this.disk.remove(this.segmentName(this.firstSegment));
        if (removed.isErr()) return removed;
      }
      return ok(undefined);
    });

  /** Segments that are kept, the current one among them. */
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
