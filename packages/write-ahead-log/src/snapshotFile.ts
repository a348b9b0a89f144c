/** Reads and writes the snapshot file of a log. */
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { Disk } from '@martenworks/core-types';
import { corruption } from './errors.js';
import type { WriteAheadLogError } from './errors.js';
import { fileChain } from './fileChain.js';
import type { Tip } from './fileChain.js';
import { fileNames } from './fileNames.js';
import { scanFile } from './fileScan.js';
import { recordBatches } from './recordBatch.js';

/** A snapshot as it was read. */
export interface ReadSnapshot {
  readonly state: unknown;
  readonly tip: Tip;
  /** What the first segment after it may follow. */
  readonly mayFollow: readonly (Tip | null)[];
}

const read = async (disk: Disk, prefix: string, number: number): Promise<Result<ReadSnapshot, WriteAheadLogError>> => {
  const name = fileNames.of(prefix, 'checkpoint', number);
  const bytes = await disk.read(name);
  if (bytes.isErr()) return err(bytes.error);
  const { records, link, checksum } = scanFile(bytes.value ?? new Uint8Array());
  if (records.length !== 1 || checksum === null) return err(corruption(name, 0, 'checkpoint does not pass its check'));
  const tip = { number, checksum };
  return ok({ state: records[0], tip, mayFollow: link === null ? [tip] : [tip, link.walLink.after] });
};

const write = async (
  disk: Disk,
  prefix: string,
  number: number,
  state: unknown,
  after: Tip | null,
): Promise<Result<Tip, WriteAheadLogError>> => {
  const { bytes, checksum } = recordBatches.encode([state, fileChain.linkAfter(after)]);
  const written = await disk.replace(fileNames.of(prefix, 'checkpoint', number), bytes);
  return written.map(() => ({ number, checksum }));
};

/** `write` ends once the snapshot is synced, and tells the tip that the next file follows. */
export const snapshotFiles = { read, write };
