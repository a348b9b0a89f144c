/** Collects the chunks of a body in blocks, so that the memory it takes depends on its bytes and not on their chunks. */
import type { Reservation } from './memoryBudget.js';

const firstBlockBytes = 4_096;
const maxBlockBytes = 65_536;

/** The bytes of one body as they arrive, counted in the reservation of their request. */
export class BodyBuffer {
  private readonly blocks: Buffer[] = [];
  private block = Buffer.alloc(0);
  private filled = 0;
  private size = 0;
  private reservedBytes = 0;

  constructor(private readonly reservation: Reservation) {}

  /** The bytes collected so far. */
  readonly length = (): number => this.size;

  /** Copies a chunk; false if there is no room for it, after which the buffer is empty. */
  readonly add = (chunk: Uint8Array): boolean => {
    let rest = chunk;
    while (rest.length > 0) {
      if (this.filled === this.block.length && !this.addBlock(rest.length)) return false;
      const part = rest.subarray(0, this.block.length - this.filled);
      this.block.set(part, this.filled);
      this.filled += part.length;
      this.size += part.length;
      rest = rest.subarray(part.length);
    }
    return true;
  };

  /**
   * Returns the body as one array and forgets the blocks. Both exist while it copies, which is not counted: one body is
   * copied at a time.
   */
  readonly take = (): Uint8Array => {
    if (this.blocks.length <= 1) return this.block.subarray(0, this.filled);
    const body = Buffer.concat(this.blocks, this.size);
    this.reservation.shrink(this.reservedBytes - this.size);
    this.clear();
    return body;
  };

  /** Forgets the collected bytes; the reservation is the caller's to release. */
  readonly clear = (): void => {
    this.blocks.length = 0;
    this.block = Buffer.alloc(0);
    this.filled = 0;
  };

  private readonly addBlock = (wantedBytes: number): boolean => {
    const bytes = Math.min(maxBlockBytes, Math.max(firstBlockBytes, this.size, wantedBytes));
    if (!this.reservation.grow(bytes)) {
      this.clear();
      return false;
    }
    this.reservedBytes += bytes;
    this.block = Buffer.allocUnsafeSlow(bytes);
    this.blocks.push(this.block);
    this.filled = 0;
    return true;
  };
}
