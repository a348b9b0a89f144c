/**
 * The format of a batch of records in a file: length and CRC-32 checksum, four bytes each, then the records in CBOR.
 */
import { crc32 } from 'node:zlib';
import { cbor } from '@martenworks/core-types';

const headerBytes = 8;
const checksumOffset = 4;
const maxBatchBytes = 64 * 1024 * 1024;

/** An encoded batch with its header, and the checksum in the header. */
interface EncodedBatch {
  readonly bytes: Uint8Array;
  readonly checksum: number;
}

const encode = (records: readonly unknown[]): EncodedBatch => {
  const body = cbor.encode(records);
  const checksum = crc32(body);
  const bytes = new Uint8Array(headerBytes + body.length);
  const header = new DataView(bytes.buffer);
  header.setUint32(0, body.length);
  header.setUint32(checksumOffset, checksum);
  bytes.set(body, headerBytes);
  return { bytes, checksum };
};

/** A batch in a file: its records in CBOR, its checksum, and the offset after it. */
interface Batch {
  readonly body: Uint8Array;
  readonly checksum: number;
  readonly end: number;
}

const decodeAt = (bytes: Uint8Array, offset: number): Batch | null => {
  if (offset + headerBytes > bytes.length) return null;
  const header = new DataView(bytes.buffer, bytes.byteOffset + offset);
  const length = header.getUint32(0);
  const end = offset + headerBytes + length;
  if (length === 0 || length > maxBatchBytes || end > bytes.length) return null;
  const body = bytes.subarray(offset + headerBytes, end);
  const checksum = header.getUint32(checksumOffset);
  return crc32(body) === checksum ? { body, checksum, end } : null;
};

const hasBatchAfter = (bytes: Uint8Array, offset: number): boolean => {
  for (let start = offset + 1; start + headerBytes < bytes.length; start += 1)
    if (decodeAt(bytes, start) !== null) return true;
  return false;
};

const decodeRecords = (batch: Batch): readonly unknown[] => cbor.decode(batch.body) as readonly unknown[];

/**
 * Encodes and decodes batches. `decodeAt` returns null where no complete batch with a valid checksum starts at the
 * offset; `hasBatchAfter` returns whether one starts at any later byte.
 */
export const recordBatches = { encode, decodeAt, hasBatchAfter, decodeRecords };
