/** The sending side of large messages: sends them in bounded parts, with flow control by acknowledgements. */
import type { Clock } from '@martenworks/core-types';
import type { PartFrame } from './frames.js';

/** The maximum size of a part: 19 ms on a link of 7 Mbit/s. */
export const maxPartBytes = 16 * 1_024;
const initialWindowBytes = 64 * 1_024;
const minWindowBytes = 2 * maxPartBytes;
const maxWindowBytes = 512 * 1_024;
const windowStepBytes = maxPartBytes / 4;
const targetQueueingDelayMs = 60;

interface QueuedMessage {
  readonly message: Uint8Array;
  offset: number;
}

interface UnacknowledgedPart {
  readonly stream: string;
  readonly bytes: number;
  readonly sentAt: number;
}

/**
 * The queue of messages to send on one connection. The number of unacknowledged bytes is limited by a window that
 * adapts to the queueing delay of the connection's own parts (as in LEDBAT, RFC 6817), so that small frames do not wait
 * long behind them in socket and network buffers. Streams are served round-robin, one part at a time.
 */
export class SendQueue {
  private readonly queued = new Map<string, QueuedMessage[]>();
  private readonly unacknowledged: UnacknowledgedPart[] = [];
  private unacknowledgedBytes = 0;
  private unsentBytes = 0;
  private windowBytes = initialWindowBytes;
  private baseDelayMs = Number.POSITIVE_INFINITY;

  constructor(
    private readonly clock: Clock,
    private readonly write: (part: PartFrame) => void,
  ) {}

  /** Whether messages of this stream are queued, which a message that is written directly would overtake. */
  readonly hasQueued = (stream: string): boolean => this.queued.has(stream);

  /** Whether bytes of this stream are queued or unacknowledged. */
  readonly isSending = (stream: string): boolean =>
    this.queued.has(stream) || this.unacknowledged.some((part) => part.stream === stream);

  /** The number of bytes that have not been written. */
  readonly queuedBytes = (): number => this.unsentBytes;

  /** Queues a message, and sends as many parts as the window allows. */
  readonly add = (stream: string, message: Uint8Array): void => {
    const messages = this.queued.get(stream);
    if (messages === undefined) this.queued.set(stream, [{ message, offset: 0 }]);
    else messages.push({ message, offset: 0 });
    this.unsentBytes += message.length;
    this.pump();
  };

  /** Records the acknowledgement of the oldest part. Returns its stream, or null if no part was unacknowledged. */
  readonly recordAcknowledgement = (): string | null => {
    const part = this.unacknowledged.shift();
    if (part === undefined) return null;
    this.unacknowledgedBytes -= part.bytes;
    this.adjustWindow(this.clock.now() - part.sentAt);
    this.pump();
    return part.stream;
  };

  private readonly adjustWindow = (delayMs: number): void => {
    this.baseDelayMs = Math.min(this.baseDelayMs, delayMs);
    const isBelowTarget = delayMs - this.baseDelayMs < targetQueueingDelayMs;
    const next = this.windowBytes + (isBelowTarget ? windowStepBytes : -windowStepBytes);
    this.windowBytes = Math.min(maxWindowBytes, Math.max(minWindowBytes, next));
  };

  private readonly pump = (): void => {
    while (this.unacknowledgedBytes < this.windowBytes) {
      const next = this.queued.entries().next();
      if (next.done === true) return;
      const [stream, messages] = next.value;
      this.queued.delete(stream);
      this.sendPart(stream, messages[0] as QueuedMessage);
      if (messages[0]?.offset === messages[0]?.message.length) messages.shift();
      if (messages.length > 0) this.queued.set(stream, messages);
    }
  };

  private readonly sendPart = (stream: string, queued: QueuedMessage): void => {
    const bytes = queued.message.subarray(queued.offset, queued.offset + maxPartBytes);
    queued.offset += bytes.length;
    this.unsentBytes -= bytes.length;
    this.unacknowledgedBytes += bytes.length;
    this.unacknowledged.push({ stream, bytes: bytes.length, sentAt: this.clock.now() });
    this.write({ f: 'part', stream, isLast: queued.offset === queued.message.length, bytes });
  };
}
