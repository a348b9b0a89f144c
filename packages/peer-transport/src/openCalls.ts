/** The calls of one connection that wait for their reply. */
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { Clock, Timer } from '@martenworks/core-types';
import { peerError } from './errors.js';
import type { PeerError } from './errors.js';

const callLimit = 1024;

interface OpenCall {
  readonly settle: (reply: Result<unknown, PeerError>) => void;
  readonly stream: string;
  readonly timeoutMs: number;
  readonly askedAt: number;
  timer: Timer;
}

/** Owns the open calls: each ends with its reply, with its timeout, or with the connection. */
export class OpenCalls {
  private readonly calls = new Map<number, OpenCall>();
  private nextId = 1;

  constructor(
    private readonly clock: Clock,
    /** When a part of a stream last arrived or was acknowledged, in milliseconds of the clock. */
    private readonly progressAt: (stream: string) => number,
  ) {}

  /** Whether no further call may be opened. */
  readonly isFull = (): boolean => this.calls.size >= callLimit;

  /** Opens a call.
   * @param timeoutMs milliseconds without progress on its stream after which it ends as `timeout`
   * @param send writes the call under this id */
  readonly open = (
    stream: string,
    timeoutMs: number,
    send: (id: number) => void,
  ): Promise<Result<unknown, PeerError>> => {
    const id = this.nextId++;
    return new Promise((resolve) => {
      const timer = this.clock.after(timeoutMs, () => this.expire(id));
      this.calls.set(id, { settle: resolve, stream, timeoutMs, askedAt: this.clock.now(), timer });
      send(id);
    });
  };

  /** Ends the call of this id with its reply; a reply to none that is open is dropped. */
  readonly reply = (id: number, body: unknown): void => this.end(id, ok(body));

  /** Ends all calls as `closed`. */
  readonly close = (): void => {
    for (const id of [...this.calls.keys()]) this.end(id, err(peerError('closed')));
  };

  private readonly end = (id: number, outcome: Result<unknown, PeerError>): void => {
    const call = this.calls.get(id);
    if (call === undefined) return;
    this.calls.delete(id);
    call.timer.cancel();
    call.settle(outcome);
  };

  private readonly expire = (id: number): void => {
    const call = this.calls.get(id);
    if (call === undefined) return;
    const progressAt = Math.max(call.askedAt, this.progressAt(call.stream));
    const leftMs = progressAt + call.timeoutMs - this.clock.now();
    if (leftMs > 0) call.timer = this.clock.after(leftMs, () => this.expire(id));
    else this.end(id, err(peerError('timeout')));
  };
}
