import { deflateRawSync, inflateRawSync } from 'node:zlib';
import { Encoder } from 'cbor-x';
import type { CommittedState, Change } from '@martenworks/core-types';
import { earlierRecords } from './earlierRecords.js';
import { stateMachine } from '@martenworks/core-types';

/**
 * Changes and agreed states as CBOR under raw deflate: the form in which they are logged and sent.
 * A change is compressed once in a process, and its bytes go with it from the proposal to the log.
 */

const coder = new Encoder({ useRecords: false, mapsAsObjects: true, tagUint8Array: false });
const compressionLevel = 1;
const inflatedLimitBytes = 256 * 1024 * 1024;

const deflated = (value: unknown): Uint8Array => deflateRawSync(coder.encode(value), { level: compressionLevel });

const inflated = (bytes: Uint8Array): unknown =>
  coder.decode(inflateRawSync(bytes, { maxOutputLength: inflatedLimitBytes }));

const changeBytes = new WeakMap<Change, Uint8Array>();

export const compressedChanges = {
  /** The bytes of a change, the same ones each time it is asked for. */
  encode: (change: Change): Uint8Array => {
    const held = changeBytes.get(change);
    if (held !== undefined) return held;
    const bytes = deflated(change);
    changeBytes.set(change, bytes);
    return bytes;
  },

  /** The change in these bytes; throws on bytes that `encode` did not make. */
  decode: (bytes: Uint8Array): Change => {
    const held = inflated(bytes) as Change;
    const change = earlierRecords.change(held);
    if (change === held) changeBytes.set(change, bytes.slice());
    return change;
  },
};

export const compressedStates = {
  encode: (state: CommittedState): Uint8Array => deflated(state),

  /** The state in these bytes; throws on bytes that `encode` did not make. */
  decode: (bytes: Uint8Array): CommittedState =>
    stateMachine.filled(earlierRecords.state(inflated(bytes) as CommittedState)),
};
