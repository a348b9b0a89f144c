import { crc32 } from 'node:zlib';
import { Encoder } from 'cbor-x';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { background, CommandQueue } from '@martenworks/core-types';
import type { Disk, DiskError, DiskFile } from '@martenworks/core-types';

const coder = new Encoder({ useRecords: false, mapsAsObjects: true, tagUint8Array: false });
const headBytes = 8;
const recordLimit = 64 * 1024 * 1024;
const segmentLimit = 1024 * 1024;
const digits = 10;

interface CorruptFault {
  readonly kind: 'corrupt';
  readonly file: string;
  readonly offset: number;
  readonly detail: string;
}

export type WriteAheadLogError = DiskError | CorruptFault;

export interface Opened {
  readonly wal: WriteAheadLog;
  readonly snapshot: unknown;
  readonly records: readonly unknown[];
  readonly cutBytes: number;
}

/** The last batch of a segment, or a snapshot: the number of its file and the checksum of its bytes. */
interface Tip {
  readonly number: number;
  readonly checksum: number;
}

/** Stands first in each segment, and behind the state in each snapshot: what it follows, null for the first segment of a log. */
interface Link {
  readonly walLink: { readonly after: Tip | null };
}

const isLink = (record: unknown): record is Link =>
  typeof record === 'object' && record !== null && 'walLink' in record;

const isSameTip = (a: Tip | null, b: Tip | null): boolean =>
  a === b || (a !== null && b !== null && a.number === b.number && a.checksum === b.checksum);

interface EncodedBatch {
  readonly bytes: Uint8Array;
  readonly checksum: number;
}

const encodeBatch = (records: readonly unknown[]): EncodedBatch => {
  const body = coder.encode(records);
  const checksum = crc32(body);
  const bytes = new Uint8Array(headBytes + body.length);
  const head = new DataView(bytes.buffer);
  head.setUint32(0, body.length);
  head.setUint32(4, checksum);
  bytes.set(body, headBytes);
  return { bytes, checksum };
};

interface Batch {
  readonly body: Uint8Array;
  readonly checksum: number;
  readonly end: number;
}

const batchAt = (bytes: Uint8Array, offset: number): Batch | null => {
  if (offset + headBytes > bytes.length) return null;
  const head = new DataView(bytes.buffer, bytes.byteOffset + offset);
  const length = head.getUint32(0);
  const end = offset + headBytes + length;
  if (length === 0 || length > recordLimit || end > bytes.length) return null;
  const body = bytes.subarray(offset + headBytes, end);
  const checksum = head.getUint32(4);
  return crc32(body) === checksum ? { body, checksum, end } : null;
};

const hasBatchAfter = (bytes: Uint8Array, offset: number): boolean => {
  for (let at = offset + 1; at + headBytes < bytes.length; at += 1) if (batchAt(bytes, at) !== null) return true;
  return false;
};

interface Scan {
  readonly records: readonly unknown[];
  /** Null in files of releases that wrote none. */
  readonly link: Link | null;
  /** The checksum of the last batch; null where there is none. */
  readonly checksum: number | null;
  readonly end: number;
}

const scan = (bytes: Uint8Array): Scan => {
  const records: unknown[] = [];
  let end = 0;
  let checksum: number | null = null;
  for (let batch = batchAt(bytes, 0); batch !== null; batch = batchAt(bytes, end)) {
    for (const record of coder.decode(batch.body) as unknown[]) records.push(record);
    end = batch.end;
    checksum = batch.checksum;
  }
  return { records: records.filter((record) => !isLink(record)), link: records.find(isLink) ?? null, checksum, end };
};

interface Waiting {
  readonly record: unknown;
  readonly settle: (result: Result<void, WriteAheadLogError>) => void;
}

export class WriteAheadLog {
  private readonly writer = new CommandQueue();
  private waiting: Waiting[] = [];
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

  private readonly nameOf = (kind: 'segment' | 'checkpoint', number: number): string =>
    names.of(this.prefix, kind, number);

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
    if (this.isSuspect) {
      const mended = await this.mend();
      if (mended.isErr()) return mended;
    }
    if (this.goodSize >= segmentLimit) await this.roll();
    if (this.file === null) {
      const opened = await this.disk.open(this.nameOf('segment', this.segment));
      if (opened.isErr()) return err(opened.error);
      this.file = opened.value;
      this.goodSize = 0;
    }
    const link: Link = { walLink: { after: this.tip } };
    const { bytes, checksum } = encodeBatch(this.goodSize === 0 ? [link, ...records] : records);
    const appended = await this.file.append(bytes);
    const synced = appended.isErr() ? appended : await this.file.sync();
    if (synced.isErr()) {
      this.isSuspect = true;
      return synced;
    }
    this.goodSize += bytes.length;
    this.tip = { number: this.segment, checksum };
    return ok(undefined);
  };

  private readonly mend = async (): Promise<Result<void, WriteAheadLogError>> => {
    const cut = await this.disk.truncate(this.nameOf('segment', this.segment), this.goodSize);
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

  readonly snapshot = (capture: () => unknown): Promise<Result<void, WriteAheadLogError>> =>
    this.writer.run(async () => {
      if (this.isSuspect) {
        const mended = await this.mend();
        if (mended.isErr()) return mended;
      }
      await this.roll();
      const link: Link = { walLink: { after: this.tip } };
      const { bytes, checksum } = encodeBatch([capture(), link]);
      const written = await this.disk.replace(this.nameOf('checkpoint', this.segment), bytes);
      if (written.isErr()) return written;
      this.tip = { number: this.segment, checksum };
      const stale = await this.disk.list();
      if (stale.isErr()) return stale.map(() => undefined);
      for (const name of stale.value) {
        const parsed = names.parse(this.prefix, name);
        if (parsed !== null && parsed.number < this.segment) await this.disk.remove(name);
      }
      this.firstSegment = this.segment;
      return ok(undefined);
    });

  readonly currentSegment = (): number => this.segment;

  readonly dropBefore = (segment: number): Promise<Result<void, WriteAheadLogError>> =>
    this.writer.run(async () => {
      for (; this.firstSegment < Math.min(segment, this.segment); this.firstSegment += 1) {
        const removed = await this.disk.remove(this.nameOf('segment', this.firstSegment));
        if (removed.isErr()) return removed;
      }
      return ok(undefined);
    });

  readonly segmentCount = (): number => this.segment - this.firstSegment + 1;

  readonly close = async (): Promise<void> => {
    await this.writer.run(async () => {
      await this.file?.close();
      this.file = null;
      this.segment += 1;
    });
  };
}

const names = {
  of: (prefix: string, kind: 'segment' | 'checkpoint', number: number): string =>
    `${prefix}-${kind}-${String(number).padStart(digits, '0')}`,
  parse: (prefix: string, name: string): { kind: 'segment' | 'checkpoint'; number: number } | null => {
    const found = new RegExp(`^${prefix}-(segment|checkpoint)-(\\d{${digits}})$`).exec(name);
    return found === null ? null : { kind: found[1] as 'segment' | 'checkpoint', number: Number(found[2]) };
  },
};

/** A log as it is read, before anything on disk is changed. */
interface ReadLog {
  readonly snapshot: unknown;
  readonly records: readonly unknown[];
  readonly firstSegment: number;
  readonly nextSegment: number;
  readonly tip: Tip | null;
  readonly tornTail: { readonly file: string; readonly goodSize: number; readonly bytes: number } | null;
}

export interface LogOptions {
  /** Old segments are dropped without a snapshot (`dropBefore`), so that the first one kept may follow any. */
  readonly isTrimmed?: boolean;
}

const corrupt = (file: string, offset: number, detail: string): CorruptFault => ({
  kind: 'corrupt',
  file,
  offset,
  detail,
});

const fileNumbers = (prefix: string, listed: readonly string[], kind: 'segment' | 'checkpoint'): number[] =>
  listed
    .map((name) => names.parse(prefix, name))
    .filter((file) => file?.kind === kind)
    .map((file) => file?.number as number)
    .sort((a, b) => a - b);

interface ReadSnapshot {
  readonly state: unknown;
  readonly tip: Tip;
  /** What the first segment after it may follow. */
  readonly mayFollow: readonly (Tip | null)[];
}

const readSnapshot = async (
  disk: Disk,
  prefix: string,
  number: number,
): Promise<Result<ReadSnapshot, WriteAheadLogError>> => {
  const name = names.of(prefix, 'checkpoint', number);
  const bytes = await disk.read(name);
  if (bytes.isErr()) return err(bytes.error);
  const { records, link, checksum } = scan(bytes.value ?? new Uint8Array());
  if (records.length !== 1 || checksum === null) return err(corrupt(name, 0, 'checkpoint does not pass its check'));
  const tip = { number, checksum };
  return ok({ state: records[0], tip, mayFollow: link === null ? [tip] : [tip, link.walLink.after] });
};

const describeTip = (prefix: string, tip: Tip | null): string =>
  tip === null
    ? 'nothing'
    : `${names.of(prefix, 'segment', tip.number)} or the checkpoint of that number, as it was written`;

const readLog = async (
  disk: Disk,
  prefix: string,
  { isTrimmed = false }: LogOptions,
): Promise<Result<ReadLog, WriteAheadLogError>> => {
  const listed = await disk.list();
  if (listed.isErr()) return err(listed.error);
  const newest = fileNumbers(prefix, listed.value, 'checkpoint').at(-1);
  const snapshot = newest === undefined ? null : await readSnapshot(disk, prefix, newest);
  if (snapshot?.isErr() === true) return err(snapshot.error);
  const base = snapshot === null ? null : snapshot._unsafeUnwrap();
  const first = newest ?? 0;
  const segments = fileNumbers(prefix, listed.value, 'segment').filter((number) => number >= first);
  const records: unknown[] = [];
  let mayFollow: readonly (Tip | null)[] | null = base === null ? (isTrimmed ? null : [null]) : base.mayFollow;
  let tip = base === null ? null : base.tip;
  let isLinked = false;
  let tornTail: ReadLog['tornTail'] = null;
  for (const number of segments) {
    const name = names.of(prefix, 'segment', number);
    const bytes = await disk.read(name);
    if (bytes.isErr()) return err(bytes.error);
    const held = bytes.value ?? new Uint8Array();
    const read = scan(held);
    if (read.end < held.length) {
      if (number !== segments.at(-1) || hasBatchAfter(held, read.end))
        return err(corrupt(name, read.end, 'a record before the tail does not pass its check'));
      tornTail = { file: name, goodSize: read.end, bytes: held.length - read.end };
    }
    if (read.checksum === null) continue;
    if (read.link === null && isLinked) return err(corrupt(name, 0, 'does not tell what it follows'));
    const after = read.link?.walLink.after ?? null;
    if (read.link !== null && mayFollow !== null && !mayFollow.some((one) => isSameTip(one, after)))
      return err(corrupt(name, 0, `follows ${describeTip(prefix, after)}, which is missing`));
    isLinked ||= read.link !== null;
    for (const record of read.records) records.push(record);
    tip = { number, checksum: read.checksum };
    mayFollow = [tip];
  }
  const last = segments.at(-1);
  return ok({
    snapshot: base === null ? null : base.state,
    records,
    firstSegment: segments[0] ?? first,
    nextSegment: last === undefined ? first : last + 1,
    tip,
    tornTail,
  });
};

export const writeAheadLogs = {
  /** Opens the log of this prefix: its newest snapshot, the records after it, and its end, from which a torn tail is cut. A file that is damaged before its tail, or follows one that is missing, is a `corrupt` fault. */
  open: async (disk: Disk, prefix: string, options: LogOptions = {}): Promise<Result<Opened, WriteAheadLogError>> => {
    const read = await readLog(disk, prefix, options);
    if (read.isErr()) return err(read.error);
    const { snapshot, records, firstSegment, nextSegment, tip, tornTail } = read.value;
    if (tornTail !== null) {
      const cut = await disk.truncate(tornTail.file, tornTail.goodSize);
      if (cut.isErr()) return err(cut.error);
    }
    const wal = new WriteAheadLog(disk, prefix, nextSegment, firstSegment, tip);
    return ok({ wal, snapshot, records, cutBytes: tornTail?.bytes ?? 0 });
  },

  /** Reads the log of this prefix and changes nothing. */
  check: async (disk: Disk, prefix: string, options: LogOptions = {}): Promise<Result<void, WriteAheadLogError>> =>
    (await readLog(disk, prefix, options)).map(() => undefined),

  /** Removes all files of the log, snapshots and then segments, the oldest first: what a loss of power leaves in between has lost its beginning. */
  discard: async (disk: Disk, prefix: string): Promise<Result<readonly string[], WriteAheadLogError>> => {
    const listed = await disk.list();
    if (listed.isErr()) return err(listed.error);
    const files = (['checkpoint', 'segment'] as const).flatMap((kind) =>
      fileNumbers(prefix, listed.value, kind).map((number) => names.of(prefix, kind, number)),
    );
    for (const name of files) {
      const removed = await disk.remove(name);
      if (removed.isErr()) return err(removed.error);
    }
    return ok(files);
  },
};
