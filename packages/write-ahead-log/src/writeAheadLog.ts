import { crc32 } from 'node:zlib';
import { Encoder } from 'cbor-x';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { Owner } from '@martenworks/core-types';
import type { Disk, DiskFault, DiskFile } from '@martenworks/core-types';

const coder = new Encoder({ useRecords: false, mapsAsObjects: true, tagUint8Array: false });
const headBytes = 8;
const recordLimit = 64 * 1024 * 1024;
const segmentLimit = 1024 * 1024;
const digits = 10;

export interface CorruptFault {
  readonly kind: 'corrupt';
  readonly file: string;
  readonly offset: number;
  readonly detail: string;
}

export type WriteAheadLogFault = DiskFault | CorruptFault;

export interface Opened {
  readonly wal: WriteAheadLog;
  readonly checkpoint: unknown;
  readonly records: readonly unknown[];
  readonly cutBytes: number;
}

const encodeBatch = (records: readonly unknown[]): Uint8Array => {
  const body = coder.encode(records);
  const bytes = new Uint8Array(headBytes + body.length);
  const head = new DataView(bytes.buffer);
  head.setUint32(0, body.length);
  head.setUint32(4, crc32(body));
  bytes.set(body, headBytes);
  return bytes;
};

const batchAt = (bytes: Uint8Array, offset: number): { body: Uint8Array; end: number } | null => {
  if (offset + headBytes > bytes.length) return null;
  const head = new DataView(bytes.buffer, bytes.byteOffset + offset);
  const length = head.getUint32(0);
  const end = offset + headBytes + length;
  if (length === 0 || length > recordLimit || end > bytes.length) return null;
  const body = bytes.subarray(offset + headBytes, end);
  return crc32(body) === head.getUint32(4) ? { body, end } : null;
};

const hasBatchAfter = (bytes: Uint8Array, offset: number): boolean => {
  for (let at = offset + 1; at + headBytes < bytes.length; at += 1) if (batchAt(bytes, at) !== null) return true;
  return false;
};

interface Scan {
  readonly records: unknown[];
  readonly end: number;
}

const scan = (bytes: Uint8Array): Scan => {
  const records: unknown[] = [];
  let end = 0;
  for (let batch = batchAt(bytes, 0); batch !== null; batch = batchAt(bytes, end)) {
    records.push(...(coder.decode(batch.body) as unknown[]));
    end = batch.end;
  }
  return { records, end };
};

interface Waiting {
  readonly record: unknown;
  readonly settle: (receipt: Result<void, WriteAheadLogFault>) => void;
}

export class WriteAheadLog {
  private readonly writer = new Owner();
  private waiting: Waiting[] = [];
  private file: DiskFile | null = null;
  private goodSize = 0;
  private isSuspect = false;

  constructor(
    private readonly disk: Disk,
    private readonly prefix: string,
    private segment: number,
    private firstSegment: number,
  ) {}

  private readonly nameOf = (kind: 'segment' | 'checkpoint', number: number): string =>
    names.of(this.prefix, kind, number);

  readonly append = (record: unknown): Promise<Result<void, WriteAheadLogFault>> =>
    new Promise((settle) => {
      this.waiting.push({ record, settle });
      if (this.waiting.length === 1) void this.writer.run(this.flush);
    });

  private readonly flush = async (): Promise<void> => {
    const batch = this.waiting;
    this.waiting = [];
    if (batch.length === 0) return;
    const written = await this.write(encodeBatch(batch.map((one) => one.record)));
    for (const one of batch) one.settle(written);
  };

  private readonly write = async (bytes: Uint8Array): Promise<Result<void, WriteAheadLogFault>> => {
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
    const appended = await this.file.append(bytes);
    const synced = appended.isErr() ? appended : await this.file.sync();
    if (synced.isErr()) {
      this.isSuspect = true;
      return synced;
    }
    this.goodSize += bytes.length;
    return ok(undefined);
  };

  private readonly mend = async (): Promise<Result<void, WriteAheadLogFault>> => {
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

  readonly checkpoint = (capture: () => unknown): Promise<Result<void, WriteAheadLogFault>> =>
    this.writer.run(async () => {
      if (this.isSuspect) {
        const mended = await this.mend();
        if (mended.isErr()) return mended;
      }
      await this.roll();
      const written = await this.disk.replace(this.nameOf('checkpoint', this.segment), encodeBatch([capture()]));
      if (written.isErr()) return written;
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

  readonly dropBefore = (segment: number): Promise<Result<void, WriteAheadLogFault>> =>
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

export const writeAheadLogs = {
  open: async (disk: Disk, prefix: string): Promise<Result<Opened, WriteAheadLogFault>> => {
    const listed = await disk.list();
    if (listed.isErr()) return err(listed.error);
    const files = listed.value.map((name) => names.parse(prefix, name)).filter((file) => file !== null);
    const checkpointNumbers = files
      .filter((file) => file.kind === 'checkpoint')
      .map((file) => file.number)
      .sort((a, b) => b - a);
    let checkpoint: unknown = null;
    let first = 0;
    const newest = checkpointNumbers[0];
    if (newest !== undefined) {
      const name = names.of(prefix, 'checkpoint', newest);
      const bytes = await disk.read(name);
      if (bytes.isErr()) return err(bytes.error);
      const read = scan(bytes.value ?? new Uint8Array());
      if (read.records.length !== 1)
        return err({ kind: 'corrupt', file: name, offset: 0, detail: 'checkpoint does not pass its check' });
      checkpoint = read.records[0];
      first = newest;
    }
    const segments = files
      .filter((file) => file.kind === 'segment' && file.number >= first)
      .map((file) => file.number)
      .sort((a, b) => a - b);
    const records: unknown[] = [];
    let cutBytes = 0;
    for (const number of segments) {
      const name = names.of(prefix, 'segment', number);
      const bytes = await disk.read(name);
      if (bytes.isErr()) return err(bytes.error);
      const held = bytes.value ?? new Uint8Array();
      const read = scan(held);
      records.push(...read.records);
      if (read.end === held.length) continue;
      if (number !== segments[segments.length - 1] || hasBatchAfter(held, read.end)) {
        return err({
          kind: 'corrupt',
          file: name,
          offset: read.end,
          detail: 'a record before the tail does not pass its check',
        });
      }
      const cut = await disk.truncate(name, read.end);
      if (cut.isErr()) return err(cut.error);
      cutBytes += held.length - read.end;
    }
    const last = segments[segments.length - 1];
    const next = last === undefined ? first : last + 1;
    return ok({ wal: new WriteAheadLog(disk, prefix, next, segments[0] ?? first), checkpoint, records, cutBytes });
  },
};
