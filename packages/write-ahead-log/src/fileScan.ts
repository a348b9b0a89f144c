/** Reads the batches of one file, up to the first that is torn or damaged. */
import { fileChain } from './fileChain.js';
import type { Link } from './fileChain.js';
import { recordBatches } from './recordBatch.js';

/** The records of a file without its link, and the byte after its last whole batch. */
export interface FileScan {
  readonly records: readonly unknown[];
  /** Null in files of releases that wrote none. */
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
  for (let batch = recordBatches.at(bytes, 0); batch !== null; batch = recordBatches.at(bytes, end)) {
    for (const record of recordBatches.records(batch)) records.push(record);
    end = batch.end;
    checksum = batch.checksum;
  }
  const { isLink } = fileChain;
  return { records: records.filter((record) => !isLink(record)), link: records.find(isLink) ?? null, checksum, end };
};
