/** Scripts of clients whose chunked bodies never end. */
import type { ClientScript } from './misbehavingClient.js';

const largeChunkBytes = 65_536;
const tinyChunksPerPart = 8_192;
const noPart = Buffer.alloc(0);

const chunk = (bytes: number): Buffer =>
  Buffer.concat([Buffer.from(`${bytes.toString(16)}\r\n`, 'latin1'), Buffer.alloc(bytes, 'x'), Buffer.from('\r\n')]);

const largeChunk = chunk(largeChunkBytes);
const tinyChunks = Buffer.from('1\r\nx\r\n'.repeat(tinyChunksPerPart), 'latin1');

/** Builders of scripts; `head` is the request line and the headers. */
export const chunkedBodies = {
  /** A body of `bytes` bytes in large chunks that never ends. */
  large: (head: string, bytes: number): ClientScript => ({
    head,
    part: largeChunk,
    repetitions: Math.floor(bytes / largeChunkBytes),
    reads: true,
  }),

  /** A body of about `count` chunks of one byte that never ends. */
  tiny: (head: string, count: number): ClientScript => ({
    head,
    part: tinyChunks,
    repetitions: Math.ceil(count / tinyChunksPerPart),
    reads: true,
  }),

  /** A connection on which nothing is sent. */
  none: (): ClientScript => ({ head: '', part: noPart, repetitions: 0, reads: true }),
};
