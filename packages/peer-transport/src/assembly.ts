/** The receiving side of large messages: puts parts together again. */
import { maxFrameBytes, concatBytes } from './frames.js';
import type { PartFrame } from './frames.js';

interface Unfinished {
  readonly parts: Uint8Array[];
  bytes: number;
}

/** Holds the unfinished message of each stream, each bounded by the frame limit. */
export class Assembly {
  private readonly unfinished = new Map<string, Unfinished>();

  /** The whole message once its last part is here, null before that, and undefined where it passes the limit. */
  readonly take = ({ stream, isLast, bytes }: PartFrame): Uint8Array | null | undefined => {
    const message = this.unfinished.get(stream) ?? { parts: [], bytes: 0 };
    message.parts.push(bytes);
    message.bytes += bytes.length;
    if (message.bytes > maxFrameBytes) return undefined;
    if (!isLast) {
      this.unfinished.set(stream, message);
      return null;
    }
    this.unfinished.delete(stream);
    return concatBytes(message.parts);
  };

  /** Whether a message of this stream has begun and is not whole. */
  readonly isReceiving = (stream: string): boolean => this.unfinished.has(stream);
}
