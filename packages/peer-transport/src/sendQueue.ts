/** The sending side of a connection: large messages leave in bounded parts, as fast as the other end takes them. */
import type { Clock } from '@martenworks/core-types';
import type { PartFrame } from './frames.js';

/** Bytes of a message that travel in one part: 19 ms of a link of 7 Mbit/s. */
export const partBytes = 16 * 1_024;
const firstWindowBytes = 64 * 1_024;
const leastWindowBytes = 2 * partBytes;
const mostWindowBytes = 512 * 1_024;
const windowStepBytes = partBytes / 4;
const queueingTargetMs = 60;

interface QueuedMessage {
  readonly message: Uint8Array;
  begin: number;
}

interface UnacknowledgedPart {
  readonly stream: string;
  readonly bytes: number;
  readonly sentAt: number;
}

/**
 * Owns what waits on one connection. At most a window of bytes is unacknowledged; the window follows the delay that
 * this connection's own parts add on their path (as in LEDBAT), so that small frames don't wait long behind them in
 * buffers below. Streams take turns, a part each.
 */
export class SendQueue {
  private readonly waiting = new Map<string, QueuedMessage[]>();
  private readonly unacknowledged: UnacknowledgedPart[] = [];
  private unacknowledgedBytes = 0;
  private waitingBytes = 0;
  private windowBytes = firstWindowBytes;
  private leastDelayMs = Number.POSITIVE_INFINITY;

  constructor(
    private readonly clock: Clock,
    private readonly write: (part: PartFrame) => void,
  ) {}

  /** Whether a message of this stream would pass others of it if it were written at once. */
  readonly hasWaiting = (stream: string): boolean => this.waiting.has(stream);

  /** Whether bytes of this stream wait or have not been acknowledged. */
  readonly isSending = (stream: string): boolean =>
    this.waiting.has(stream) || this.unacknowledged.some((part) => part.stream === stream);

  /** Bytes that have not been written. */
  readonly bytes = (): number => this.waitingBytes;

  /** Queues a message, and sends of it what the window lets through. */
  readonly add = (stream: string, message: Uint8Array): void => {
    const queued = this.waiting.get(stream);
    if (queued === undefined) this.waiting.set(stream, [{ message, begin: 0 }]);
    else queued.push({ message, begin: 0 });
    this.waitingBytes += message.length;
    this.pump();
  };

  /** The other end has taken the oldest part: tells its stream, or null where none was under way. */
  readonly acknowledged = (): string | null => {
    const part = this.unacknowledged.shift();
    if (part === undefined) return null;
    this.unacknowledgedBytes -= part.bytes;
    this.adjustWindow(this.clock.now() - part.sentAt);
    this.pump();
    return part.stream;
  };

  private readonly adjustWindow = (delayMs: number): void => {
    this.leastDelayMs = Math.min(this.leastDelayMs, delayMs);
    const isFree = delayMs - this.leastDelayMs < queueingTargetMs;
    const next = this.windowBytes + (isFree ? windowStepBytes : -windowStepBytes);
    this.windowBytes = Math.min(mostWindowBytes, Math.max(leastWindowBytes, next));
  };

  private readonly pump = (): void => {
    while (this.unacknowledgedBytes < this.windowBytes) {
      const turn = this.waiting.entries().next();
      if (turn.done === true) return;
      const [stream, messages] = turn.value;
      this.waiting.delete(stream);
      this.sendPart(stream, messages[0] as QueuedMessage);
      if (messages[0]?.begin === messages[0]?.message.length) messages.shift();
      if (messages.length > 0) this.waiting.set(stream, messages);
    }
  };

  private readonly sendPart = (stream: string, queued: QueuedMessage): void => {
    const bytes = queued.message.subarray(queued.begin, queued.begin + partBytes);
    queued.begin += bytes.length;
    this.waitingBytes -= bytes.length;
    this.unacknowledgedBytes += bytes.length;
    this.unacknowledged.push({ stream, bytes: bytes.length, sentAt: this.clock.now() });
    this.write({ f: 'part', stream, isLast: queued.begin === queued.message.length, bytes });
  };
}
