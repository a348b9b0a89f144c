/** Reads the batches of one file up to the first torn or damaged one. */
import { fileChain } from './fileChain.js';
import type { Link } from './fileChain.js';
import { recordBatches } from './recordBatch.js';

/** The records of a file without its link, and `end`, the offset after its last complete batch. */
export interface FileScan {
  readonly records: readonly unknown[];
  /** Null in files of older releases, which wrote no links. */
  readonly link: Link | null;
  /** The checksum of the last batch; null where there is none. */
  readonly checksum: number | null;
  readonly end: number;
}

/** Scans the bytes of a segment or snapshot. */
export const scanFile = (bytes: Uint8Array): FileScan => {
  const records: unknown[] = [];
  let end = 0;
  let checksum: number | null = null;
  for (let batch = recordBatches.decodeAt(bytes, 0); batch !== null; batch = recordBatches.decodeAt(bytes, end)) {
    for (const record of recordBatches.decodeRecords(batch)) records.push(record);
    end = batch.end;
    checksum = batch.checksum;
  }
  const { isLink } = fileChain;
  return { records: records.filter((record) => !isLink(record)), link: records.find(isLink) ?? null, checksum, end };
};
