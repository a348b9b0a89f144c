/**
 * Encodes changes and committed states as CBOR (RFC 8949) compressed with raw deflate (RFC 1951), for the log and for
 * messages. A change is compressed once per process: the proposal and the log use the same cached bytes.
 */
import { deflateRawSync, inflateRawSync } from 'node:zlib';
import { cbor, stateMachine } from '@martenworks/core-types';
import type { CommittedState, Change } from '@martenworks/core-types';
import { legacyRecords } from './legacyRecords.js';

const compressionLevel = 1;
const maxInflatedBytes = 256 * 1024 * 1024;

const compress = (value: unknown): Uint8Array => deflateRawSync(cbor.encode(value), { level: compressionLevel });

const decompress = (bytes: Uint8Array): unknown =>
  cbor.decode(inflateRawSync(bytes, { maxOutputLength: maxInflatedBytes }));

const encodedChanges = new WeakMap<Change, Uint8Array>();

/** Encodes single changes. */
export const compressedChanges = {
  /** The bytes of a change; the same array on every call. */
  encode: (change: Change): Uint8Array => {
    const cached = encodedChanges.get(change);
    if (cached !== undefined) return cached;
    const bytes = compress(change);
    encodedChanges.set(change, bytes);
    return bytes;
  },

  /** Decodes a change; throws on bytes that `encode` did not produce. */
  decode: (bytes: Uint8Array): Change => {
    const stored = decompress(bytes) as Change;
    const change = legacyRecords.upgradeChange(stored);
    if (change === stored) encodedChanges.set(change, bytes.slice());
    return change;
  },
};

/** Encodes complete committed states. */
export const compressedStates = {
  /** The bytes of a state; encoded on each call. */
  encode: (state: CommittedState): Uint8Array => compress(state),

  /** Decodes a state; throws on bytes that `encode` did not produce. */
  decode: (bytes: Uint8Array): CommittedState =>
    stateMachine.withDefaults(legacyRecords.upgradeState(decompress(bytes) as CommittedState)),
};
