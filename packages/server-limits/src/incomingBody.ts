/** Reads the body of one request within the bounds of the request and of the process. */
import type { IncomingMessage } from 'node:http';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { BodyBuffer } from './bodyBuffer.js';
import type { Reservation } from './memoryBudget.js';

/**
 * Why a body was not read: over the limit of one request, no room in the process, paused for too long, or the client
 * disconnected.
 */
export interface BodyReadError {
  readonly code: 'BODY_TOO_LARGE' | 'NO_ROOM' | 'BODY_STALLED' | 'CALLER_GONE';
}

/** The errors as shared values. */
export const bodyReadErrors = {
  tooLarge: { code: 'BODY_TOO_LARGE' },
  noRoom: { code: 'NO_ROOM' },
  stalled: { code: 'BODY_STALLED' },
  disconnected: { code: 'CALLER_GONE' },
} as const satisfies Record<string, BodyReadError>;

/** What a body needs to be read and, after a refusal, to be discarded. */
export interface IncomingBodyOptions {
  /** The bytes that the request holds; pinned once its body is complete. */
  readonly reservation: Reservation;
  /** Milliseconds on the monotonic clock. */
  readonly now: () => number;
}

/** How much of a refused body is read, in bytes, and how long it may pause, in milliseconds. */
export interface DiscardLimits {
  readonly maxBytes: number;
  readonly pauseMs: number;
}

/**
 * The body of one request. It is either read whole, or discarded after a refusal. It is read as it arrives and not by way
 * of a stream's queue, which bounds bytes but not chunks.
 */
export class IncomingBody {
  private readonly buffer: BodyBuffer;
  private settle: ((body: Result<Uint8Array, BodyReadError>) => void) | null = null;
  private refusal: BodyReadError | null = null;
  private lastChunkAt: number;

  constructor(
    private readonly incoming: IncomingMessage,
    private readonly options: IncomingBodyOptions,
  ) {
    this.buffer = new BodyBuffer(options.reservation);
    this.lastChunkAt = options.now();
  }

  /** Reads the body whole, up to `limitBytes`; a body that can't be kept is refused and no longer collected. */
  readonly read = (limitBytes: number): Promise<Result<Uint8Array, BodyReadError>> => {
    const { incoming } = this;
    if (this.refusal !== null) return Promise.resolve(err(this.refusal));
    if (Number(incoming.headers['content-length'] ?? 0) > limitBytes)
      return Promise.resolve(err(bodyReadErrors.tooLarge));
    return new Promise((resolve) => {
      this.settle = resolve;
      incoming.on('data', (chunk: Buffer) => this.collect(chunk, limitBytes));
      incoming.on('end', this.complete);
      incoming.on('error', this.disconnect);
      incoming.on('close', this.disconnect);
    });
  };

  /** Refuses the request, whose body is not complete; its bytes are free at once. */
  readonly refuse = (error: BodyReadError): void => {
    this.refusal ??= error;
    this.buffer.clear();
    this.options.reservation.release();
    this.finish(err(error));
  };

  /** Whether the body is awaited and nothing of it has come for `pauseMs` milliseconds. */
  readonly isStalled = (pauseMs: number): boolean =>
    this.settle !== null && this.options.now() - this.lastChunkAt > pauseMs;

  /**
   * Discards what is left of the body after a refusal, so that the caller can read the response before the connection is
   * closed (RFC 9112, section 9.6). Calls `onEnd` once: after the end of the body, or when a limit is exceeded.
   */
  readonly discard = ({ maxBytes, pauseMs }: DiscardLimits, onEnd: () => void): void => {
    const { incoming } = this;
    let discardedBytes = 0;
    const end = (): void => {
      clearTimeout(timer);
      incoming.off('data', count);
      incoming.off('end', end);
      incoming.off('close', end);
      onEnd();
    };
    const timer = setTimeout(end, pauseMs);
    const count = (chunk: Buffer): void => {
      discardedBytes += chunk.length;
      if (discardedBytes > maxBytes) end();
      else timer.refresh();
    };
    incoming.removeAllListeners('data');
    incoming.on('data', count);
    incoming.once('end', end);
    incoming.once('close', end);
    incoming.resume();
  };

  private readonly disconnect = (): void => {
    if (this.settle !== null) this.refuse(bodyReadErrors.disconnected);
  };

  private readonly collect = (chunk: Buffer, limitBytes: number): void => {
    if (this.settle === null) return;
    this.lastChunkAt = this.options.now();
    if (this.buffer.length() + chunk.length > limitBytes) this.refuse(bodyReadErrors.tooLarge);
    else if (!this.buffer.add(chunk)) this.refuse(bodyReadErrors.noRoom);
  };

  private readonly complete = (): void => {
    if (this.settle === null) return;
    this.options.reservation.pin(true);
    this.finish(ok(this.buffer.take()));
  };

  private readonly finish = (body: Result<Uint8Array, BodyReadError>): void => {
    const { settle } = this;
    this.settle = null;
    settle?.(body);
  };
}
