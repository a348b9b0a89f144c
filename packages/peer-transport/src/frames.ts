/** Frames between nodes: a length of four bytes in big-endian order, followed by a message in CBOR. */
import { cbor } from '@martenworks/core-types';

/** The maximum size of a message and of a frame without its length prefix. */
export const maxFrameBytes = 16 * 1024 * 1024;
const lengthPrefixBytes = 4;

/** A part of a large message; the parts of one stream are sent in order. */
export interface PartFrame {
  readonly f: 'part';
  readonly stream: string;
  readonly isLast: boolean;
  readonly bytes: Uint8Array;
}

/**
 * A frame: the hello, a one-way message (`tell`), a call (`ask`) and its `reply`, a part of any of these, or the
 * acknowledgement of a part (`got`).
 */
export type Frame =
  | { readonly f: 'hello'; readonly hello: unknown }
  | { readonly f: 'tell'; readonly topic: string; readonly body: unknown }
  | { readonly f: 'ask'; readonly id: number; readonly topic: string; readonly body: unknown }
  | { readonly f: 'reply'; readonly id: number; readonly body: unknown }
  | PartFrame
  | { readonly f: 'got' };

const withLengthPrefix = (body: Uint8Array): Uint8Array => {
  const frame = new Uint8Array(lengthPrefixBytes + body.length);
  new DataView(frame.buffer).setUint32(0, body.length);
  frame.set(body, lengthPrefixBytes);
  return frame;
};

const encodeFrame = (message: unknown): Uint8Array => withLengthPrefix(cbor.encode(message));

/** Concatenates byte arrays. */
export const concatBytes = (parts: readonly Uint8Array[]): Uint8Array => {
  const bytes = new Uint8Array(parts.reduce((size, part) => size + part.length, 0));
  let offset = 0;
  for (const part of parts) {
    bytes.set(part, offset);
    offset += part.length;
  }
  return bytes;
};

/** Splits a byte stream into frames and decodes them. No frames are decoded after the first error. */
export class FrameDecoder {
  private chunks: Uint8Array[] = [];
  private bufferedBytes = 0;
  private neededBytes = lengthPrefixBytes;

  constructor(
    private readonly onMessage: (message: unknown) => void,
    private readonly onError: (cause: string) => void,
  ) {}

  /** Adds the next bytes, and delivers each message that they complete. */
  readonly push = (bytes: Uint8Array): void => {
    this.chunks.push(bytes);
    this.bufferedBytes += bytes.length;
    if (this.bufferedBytes < this.neededBytes) return;
    const rest = this.deliverComplete(this.chunks.length === 1 ? bytes : concatBytes(this.chunks));
    if (rest === null) return;
    this.chunks = rest.length === 0 ? [] : [rest];
    this.bufferedBytes = rest.length;
  };

  /** Delivers the complete frames in these bytes. Returns the remaining bytes, or null after an error. */
  private readonly deliverComplete = (bytes: Uint8Array): Uint8Array | null => {
    let rest = bytes;
    for (;;) {
      if (rest.length < lengthPrefixBytes) {
        this.neededBytes = lengthPrefixBytes;
        return rest;
      }
      const length = new DataView(rest.buffer, rest.byteOffset).getUint32(0);
      if (length > maxFrameBytes) {
        this.onError('frame over the limit');
        return null;
      }
      this.neededBytes = lengthPrefixBytes + length;
      if (rest.length < this.neededBytes) return rest;
      const body = rest.subarray(lengthPrefixBytes, this.neededBytes);
      rest = rest.subarray(this.neededBytes);
      if (!this.deliverFrame(body)) return null;
    }
  };

  private readonly deliverFrame = (body: Uint8Array): boolean => {
    let message: unknown;
    try {
      message = cbor.decode(body);
    } catch {
      this.onError('frame is not CBOR');
      return false;
    }
    this.onMessage(message);
    return true;
  };
}

const isPartFrame = (fields: Record<string, unknown>): boolean =>
  typeof fields.stream === 'string' && typeof fields.isLast === 'boolean' && fields.bytes instanceof Uint8Array;

/** Validates the fields of a frame except its body, which the handler of its topic validates. */
const isFrame = (message: unknown): message is Frame => {
  if (typeof message !== 'object' || message === null) return false;
  const fields = message as Record<string, unknown>;
  switch (fields.f as Frame['f']) {
    case 'hello':
    case 'got':
      return true;
    case 'tell':
      return typeof fields.topic === 'string';
    case 'ask':
      return typeof fields.id === 'number' && typeof fields.topic === 'string';
    case 'reply':
      return typeof fields.id === 'number';
    case 'part':
      return isPartFrame(fields);
    default:
      return false;
  }
};

/**
 * Encodes, decodes and validates frames. `encodeFrame` encodes a message with its length prefix, and `withLengthPrefix`
 * adds the prefix to an encoded message. `decode` throws on bytes that are not CBOR.
 */
export const frames = { isFrame, encodeFrame, encode: cbor.encode, decode: cbor.decode, withLengthPrefix };
