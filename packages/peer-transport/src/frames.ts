/** Frames between nodes: a length of four bytes, big end first, and a message in CBOR. */
import { cbor } from '@martenworks/core-types';

/** Most bytes of one message, and of one frame. */
export const maxFrameBytes = 16 * 1024 * 1024;
const headBytes = 4;

/** A bounded piece of a large message; pieces of one stream follow each other in order. */
export interface PartFrame {
  readonly f: 'part';
  readonly stream: string;
  readonly isLast: boolean;
  readonly bytes: Uint8Array;
}

/**
 * What travels on a connection: a hello, a message (`tell`), a call (`ask`) and its `reply`, a part of any of these,
 * and the acknowledgement of a part (`got`).
 */
export type Frame =
  | { readonly f: 'hello'; readonly hello: unknown }
  | { readonly f: 'tell'; readonly topic: string; readonly body: unknown }
  | { readonly f: 'ask'; readonly id: number; readonly topic: string; readonly body: unknown }
  | { readonly f: 'reply'; readonly id: number; readonly body: unknown }
  | PartFrame
  | { readonly f: 'got' };

const withLengthPrefix = (body: Uint8Array): Uint8Array => {
  const frame = new Uint8Array(headBytes + body.length);
  new DataView(frame.buffer).setUint32(0, body.length);
  frame.set(body, headBytes);
  return frame;
};

const encodeFrame = (message: unknown): Uint8Array => withLengthPrefix(cbor.encode(message));

/** The parts as one array of bytes. */
export const concatBytes = (parts: readonly Uint8Array[]): Uint8Array => {
  const whole = new Uint8Array(parts.reduce((size, part) => size + part.length, 0));
  let begin = 0;
  for (const part of parts) {
    whole.set(part, begin);
    begin += part.length;
  }
  return whole;
};

/** Cuts a stream of bytes into frames, and decodes them. Stops for good once it has complained. */
export class FrameDecoder {
  private parts: Uint8Array[] = [];
  private size = 0;
  private wanted = headBytes;

  constructor(
    private readonly deliver: (message: unknown) => void,
    private readonly complain: (cause: string) => void,
  ) {}

  /** Takes the next bytes, and delivers each message that they complete. */
  readonly push = (bytes: Uint8Array): void => {
    this.parts.push(bytes);
    this.size += bytes.length;
    if (this.size < this.wanted) return;
    const rest = this.deliverWhole(this.parts.length === 1 ? bytes : concatBytes(this.parts));
    if (rest === null) return;
    this.parts = rest.length === 0 ? [] : [rest];
    this.size = rest.length;
  };

  /** Delivers the whole frames among these bytes and returns the rest, or null after a complaint. */
  private readonly deliverWhole = (bytes: Uint8Array): Uint8Array | null => {
    let rest = bytes;
    for (;;) {
      if (rest.length < headBytes) {
        this.wanted = headBytes;
        return rest;
      }
      const length = new DataView(rest.buffer, rest.byteOffset).getUint32(0);
      if (length > maxFrameBytes) {
        this.complain('frame over the limit');
        return null;
      }
      this.wanted = headBytes + length;
      if (rest.length < this.wanted) return rest;
      const body = rest.subarray(headBytes, this.wanted);
      rest = rest.subarray(this.wanted);
      if (!this.deliverFrame(body)) return null;
    }
  };

  private readonly deliverFrame = (body: Uint8Array): boolean => {
    let message: unknown;
    try {
      message = cbor.decode(body);
    } catch {
      this.complain('frame is not CBOR');
      return false;
    }
    this.deliver(message);
    return true;
  };
}

const isPart = (fields: Record<string, unknown>): boolean =>
  typeof fields.stream === 'string' && typeof fields.isLast === 'boolean' && fields.bytes instanceof Uint8Array;

/** Checks the fields of each kind of frame but its body, which is for the topic's own reader. */
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
      return isPart(fields);
    default:
      return false;
  }
};

/**
 * Encodes, decodes and checks frames; `encodeFrame` gives a message's bytes with the length in front, `withLengthPrefix` takes it
 * encoded already. `decode` throws on bytes that are no CBOR.
 */
export const frames = { isFrame, encodeFrame, encode: cbor.encode, decode: cbor.decode, withLengthPrefix };
