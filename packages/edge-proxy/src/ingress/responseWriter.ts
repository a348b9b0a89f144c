/** Writes the body of one response to a caller, and counts the bytes that the caller hasn't read. */
import type { ServerResponse } from 'node:http';
import type { Reservation } from '@martenworks/server-limits';
import type { ResponseWriter } from './call.js';

/** What a writer needs besides the response. */
export interface ServerResponseWriterOptions {
  /** The bytes that the request holds; unread bytes of the response are counted in it. */
  readonly reservation: Reservation;
  /**
   * Whether the caller can tell the end of the body from a closed connection; otherwise only a reset shows that the body
   * is truncated.
   */
  readonly isDelimited: boolean;
  /** Milliseconds on the monotonic clock. */
  readonly now: () => number;
  /** Called instead of ending the response at once. */
  readonly end: () => void;
}

/** Writes to the response of Node's HTTP server. */
export class ServerResponseWriter implements ResponseWriter {
  private blockedSince: number | null = null;

  constructor(
    private readonly response: ServerResponse,
    private readonly options: ServerResponseWriterOptions,
  ) {}

  /** Writes bytes; resolves once the caller has read enough to be sent more, or has disconnected. */
  readonly write = (bytes: Uint8Array): Promise<void> =>
    new Promise((resolve) => {
      const { response } = this;
      if (response.destroyed || this.send(bytes)) return resolve();
      this.blockedSince ??= this.options.now();
      const done = (): void => {
        response.off('drain', done);
        response.off('close', done);
        this.unblock();
        resolve();
      };
      response.on('drain', done);
      response.on('close', done);
    });

  /** Ends the response. */
  readonly end = (): void => this.options.end();

  /** Ends the connection so that the caller can't take the response for complete. */
  readonly abort = (): void => {
    const { socket } = this.response;
    if (socket === null || this.response.writableFinished) this.response.destroy();
    else if (this.options.isDelimited) socket.destroy();
    else socket.resetAndDestroy();
  };

  /** Whether the caller has kept a write waiting for `blockedMs` milliseconds. */
  readonly isBlocked = (blockedMs: number): boolean =>
    this.blockedSince !== null && this.options.now() - this.blockedSince > blockedMs;

  private readonly send = (bytes: Uint8Array): boolean => {
    const { reservation } = this.options;
    reservation.charge(bytes.length);
    return this.response.write(bytes, () => reservation.shrink(bytes.length));
  };

  private readonly unblock = (): void => {
    this.blockedSince = null;
    this.options.reservation.pin(true);
  };
}
