/** Reads and writes the snapshot files of a log. */
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

/** A snapshot read from its file. */
export interface StoredSnapshot {
  readonly state: unknown;
  readonly tip: Tip;
  /**
   * The tips to which the first segment after the snapshot may be linked: the snapshot itself, or the file before it where
   * the write of the snapshot was reported as failed although it is on disk.
   */
  readonly allowedPredecessors: readonly (Tip | null)[];
}

const read = async (
  disk: Disk,
  prefix: string,
  number: number,
): Promise<Result<StoredSnapshot, WriteAheadLogError>> => {
  const name = fileNames.of(prefix, 'checkpoint', number);
  const bytes = await disk.read(name);
  if (bytes.isErr()) return err(bytes.error);
  const { records, link, checksum } = scanFile(bytes.value ?? new Uint8Array());
  if (records.length !== 1 || checksum === null)
    return err(corruption(name, 0, 'checkpoint is incomplete or fails its checksum'));
  const tip = { number, checksum };
  return ok({ state: records[0], tip, allowedPredecessors: link === null ? [tip] : [tip, link.walLink.after] });
};

const write = async (
  disk: Disk,
  prefix: string,
  number: number,
  state: unknown,
  after: Tip | null,
): Promise<Result<Tip, WriteAheadLogError>> => {
  const { bytes, checksum } = recordBatches.encode([state, fileChain.linkTo(after)]);
  const written = await disk.replace(fileNames.of(prefix, 'checkpoint', number), bytes);
  return written.map(() => ({ number, checksum }));
};

/**
 * Reads and writes snapshots. `write` resolves once the snapshot is durable, with the tip to which the next file is
 * linked.
 */
export const snapshotFiles = { read, write };
