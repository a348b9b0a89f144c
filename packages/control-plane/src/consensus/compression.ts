/**
 * Changes and committed states as CBOR under raw deflate (RFC 1951): the form in which they are logged and sent. A change
 * is compressed once in a process, and its bytes go with it from the proposal to the log.
 */
import { deflateRawSync, inflateRawSync } from 'node:zlib';
import { cbor, stateMachine } from '@martenworks/core-types';
import type { CommittedState, Change } from '@martenworks/core-types';
import { earlierRecords } from './earlierRecords.js';

const compressionLevel = 1;
const inflatedLimitBytes = 256 * 1024 * 1024;

const deflated = (value: unknown): Uint8Array => deflateRawSync(cbor.encode(value), { level: compressionLevel });

const inflated = (bytes: Uint8Array): unknown =>
  cbor.decode(inflateRawSync(bytes, { maxOutputLength: inflatedLimitBytes }));

const changeBytes = new WeakMap<Change, Uint8Array>();

/** Compression of single changes. */
export const compressedChanges = {
  /** The bytes of a change, the same ones each time it is asked for. */
  encode: (change: Change): Uint8Array => {
    const known = changeBytes.get(change);
    if (known !== undefined) return known;
    const bytes = deflated(change);
    changeBytes.set(change, bytes);
    return bytes;
  },

  /** The change in these bytes; throws on bytes that `encode` did not make. */
  decode: (bytes: Uint8Array): Change => {
    const stored = inflated(bytes) as Change;
    const change = earlierRecords.change(stored);
    if (change === stored) changeBytes.set(change, bytes.slice());
    return change;
  },
};

/** Compression of whole committed states. */
export const compressedStates = {
  /** The bytes of a state; encoded anew on each call. */
  encode: (state: CommittedState): Uint8Array => deflated(state),

  /** The state in these bytes; throws on bytes that `encode` did not make. */
  decode: (bytes: Uint8Array): CommittedState =>
    stateMachine.withDefaults(earlierRecords.state(inflated(bytes) as CommittedState)),
};
