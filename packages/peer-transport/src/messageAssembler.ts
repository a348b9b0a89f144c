/** The receiving side of large messages: assembles them from their parts. */
import { maxFrameBytes, concatBytes } from './frames.js';
import type { PartFrame } from './frames.js';

interface PartialMessage {
  readonly parts: Uint8Array[];
  bytes: number;
}

/** Buffers the incomplete message of each stream, up to the maximum frame size each. */
export class MessageAssembler {
  private readonly partialMessages = new Map<string, PartialMessage>();

  /**
   * Adds a part. Returns the complete message after its last part, null before that, or undefined if it is too large.
   */
  readonly add = ({ stream, isLast, bytes }: PartFrame): Uint8Array | null | undefined => {
    const message = this.partialMessages.get(stream) ?? { parts: [], bytes: 0 };
    message.parts.push(bytes);
    message.bytes += bytes.length;
    if (message.bytes > maxFrameBytes) return undefined;
    if (!isLast) {
      this.partialMessages.set(stream, message);
      return null;
    }
    this.partialMessages.delete(stream);
    return concatBytes(message.parts);
  };

  /** Whether there is an incomplete message of this stream. */
  readonly isReceiving = (stream: string): boolean => this.partialMessages.has(stream);
}
