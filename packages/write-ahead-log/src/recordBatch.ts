/**
 * A batch of records as it stands in a file: length and checksum (CRC-32) of four bytes each, then the records in CBOR.
 */
import { crc32 } from 'node:zlib';
import { cbor } from '@martenworks/core-types';

const headBytes = 8;
const checksumOffset = 4;
const batchLimitBytes = 64 * 1024 * 1024;

/** The bytes of a batch with its head, and the checksum in it. */
interface EncodedBatch {
  readonly bytes: Uint8Array;
  readonly checksum: number;
}

const encode = (records: readonly unknown[]): EncodedBatch => {
  const body = cbor.encode(records);
  const checksum = crc32(body);
  const bytes = new Uint8Array(headBytes + body.length);
  const head = new DataView(bytes.buffer);
  head.setUint32(0, body.length);
  head.setUint32(checksumOffset, checksum);
  bytes.set(body, headBytes);
  return { bytes, checksum };
};

/** A batch found in a file: its records in CBOR, and the byte after it. */
interface Batch {
  readonly body: Uint8Array;
  readonly checksum: number;
  readonly end: number;
}

const at = (bytes: Uint8Array, offset: number): Batch | null => {
  if (offset + headBytes > bytes.length) return null;
  const head = new DataView(bytes.buffer, bytes.byteOffset + offset);
  const length = head.getUint32(0);
  const end = offset + headBytes + length;
  if (length === 0 || length > batchLimitBytes || end > bytes.length) return null;
  const body = bytes.subarray(offset + headBytes, end);
  const checksum = head.getUint32(checksumOffset);
  return crc32(body) === checksum ? { body, checksum, end } : null;
};

const isAnyAfter = (bytes: Uint8Array, offset: number): boolean => {
  for (let begin = offset + 1; begin + headBytes < bytes.length; begin += 1) if (at(bytes, begin) !== null) return true;
  return false;
};

const records = (batch: Batch): readonly unknown[] => cbor.decode(batch.body) as readonly unknown[];

/**
 * Encodes batches and finds them: `at` is null where no whole batch that passes its checksum begins, `isAnyAfter` tells
 * whether one begins at any later byte.
 */
export const recordBatches = { encode, at, isAnyAfter, records };
