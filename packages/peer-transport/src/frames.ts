/** Frames between nodes: a length of four bytes, big end first, and a message in CBOR. */
import { cbor } from '@martenworks/core-types';

export const frameLimit = 16 * 1024 * 1024;
const headBytes = 4;

/** A bounded piece of a large message; pieces of one stream follow each other in order. */
export interface PartFrame {
  readonly f: 'part';
  readonly stream: string;
  readonly isLast: boolean;
  readonly bytes: Uint8Array;
}

export type Frame<TGreeting> =
  | { readonly f: 'hello'; readonly hello: TGreeting }
  | { readonly f: 'tell'; readonly topic: string; readonly body: unknown }
  | { readonly f: 'ask'; readonly id: number; readonly topic: string; readonly body: unknown }
  | { readonly f: 'reply'; readonly id: number; readonly body: unknown }
  | PartFrame
  | { readonly f: 'got' };

const withLength = (body: Uint8Array): Uint8Array => {
  const frame = new Uint8Array(headBytes + body.length);
  new DataView(frame.buffer).setUint32(0, body.length);
  frame.set(body, headBytes);
  return frame;
};

const pack = (message: unknown): Uint8Array => withLength(cbor.encode(message));

/** The parts as one array of bytes. */
export const joined = (parts: readonly Uint8Array[]): Uint8Array => {
  const whole = new Uint8Array(parts.reduce((size, part) => size + part.length, 0));
  let begin = 0;
  for (const part of parts) {
    whole.set(part, begin);
    begin += part.length;
  }
  return whole;
};

export class Unpacker {
  private parts: Uint8Array[] = [];
  private size = 0;
  private wanted = headBytes;

  constructor(
    private readonly deliver: (message: unknown) => void,
    private readonly complain: (cause: string) => void,
  ) {}

  readonly take = (bytes: Uint8Array): void => {
    this.parts.push(bytes);
    this.size += bytes.length;
    if (this.size < this.wanted) return;
    let rest = this.parts.length === 1 ? bytes : joined(this.parts);
    for (;;) {
      if (rest.length < headBytes) {
        this.wanted = headBytes;
        break;
      }
      const length = new DataView(rest.buffer, rest.byteOffset).getUint32(0);
      if (length > frameLimit) {
        this.complain('frame over the limit');
        return;
      }
      this.wanted = headBytes + length;
      if (rest.length < this.wanted) break;
      const body = rest.subarray(headBytes, this.wanted);
      rest = rest.subarray(this.wanted);
      let message: unknown;
      try {
        message = cbor.decode(body);
      } catch {
        this.complain('frame is not CBOR');
        return;
      }
      this.deliver(message);
    }
    this.parts = rest.length === 0 ? [] : [rest];
    this.size = rest.length;
  };
}

const kinds: readonly unknown[] = ['hello', 'tell', 'ask', 'reply', 'part', 'got'] satisfies Frame<unknown>['f'][];

const isFrame = (message: unknown): boolean =>
  typeof message === 'object' && message !== null && kinds.includes((message as { f?: unknown }).f);

export const frames = { isFrame, pack, encode: cbor.encode, decode: cbor.decode, withLength };
