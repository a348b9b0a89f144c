/** The pending calls of one connection. */
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { Clock, Timer } from '@martenworks/core-types';
import { peerError } from './errors.js';
import type { PeerError } from './errors.js';

const maxPendingCalls = 1024;

interface PendingCall {
  readonly complete: (reply: Result<unknown, PeerError>) => void;
  readonly stream: string;
  readonly timeoutMs: number;
  readonly startedAt: number;
  timer: Timer;
}

/** Tracks pending calls: each ends with its reply, at its timeout, or when the connection closes. */
export class PendingCalls {
  private readonly calls = new Map<number, PendingCall>();
  private nextId = 1;

  constructor(
    private readonly clock: Clock,
    /** The clock time in milliseconds at which a part of a stream last arrived or was acknowledged. */
    private readonly progressAt: (stream: string) => number,
  ) {}

  /** Whether the limit on pending calls is reached. */
  readonly isFull = (): boolean => this.calls.size >= maxPendingCalls;

  /** Starts a call.
   * @param timeoutMs milliseconds without progress on its stream after which the call ends with `timeout`
   * @param send sends the call with this id */
  readonly start = (
    stream: string,
    timeoutMs: number,
    send: (id: number) => void,
  ): Promise<Result<unknown, PeerError>> => {
    const id = this.nextId++;
    return new Promise((resolve) => {
      const timer = this.clock.after(timeoutMs, () => this.expire(id));
      this.calls.set(id, { complete: resolve, stream, timeoutMs, startedAt: this.clock.now(), timer });
      send(id);
    });
  };

  /** Ends the call with this id with its reply; a reply to no pending call is ignored. */
  readonly reply = (id: number, body: unknown): void => this.finish(id, ok(body));

  /** Ends all calls with `closed`. */
  readonly close = (): void => {
    for (const id of [...this.calls.keys()]) this.finish(id, err(peerError('closed')));
  };

  private readonly finish = (id: number, result: Result<unknown, PeerError>): void => {
    const call = this.calls.get(id);
    if (call === undefined) return;
    this.calls.delete(id);
    call.timer.cancel();
    call.complete(result);
  };

  private readonly expire = (id: number): void => {
    const call = this.calls.get(id);
    if (call === undefined) return;
    const progressAt = Math.max(call.startedAt, this.progressAt(call.stream));
    const remainingMs = progressAt + call.timeoutMs - this.clock.now();
    if (remainingMs > 0) call.timer = this.clock.after(remainingMs, () => this.expire(id));
    else this.finish(id, err(peerError('timeout')));
  };
}
