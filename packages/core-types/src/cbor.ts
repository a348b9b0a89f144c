/** The CBOR encoding (RFC 8949) that nodes use between each other and on disk. */
import { Encoder } from 'cbor-x';

const encoder = new Encoder({ useRecords: false, mapsAsObjects: true, tagUint8Array: false });

/**
 * Plain CBOR, without the record extension of cbor-x: maps become objects, and byte strings `Uint8Array`s. `decode`
 * throws on bytes that are not CBOR.
 */
export const cbor = {
  encode: (value: unknown): Uint8Array => encoder.encode(value),
  decode: (bytes: Uint8Array): unknown => encoder.decode(bytes),
};
