/** Calls that come as `Request` of the Fetch standard, for an edge behind an HTTP server that isn't its own. */
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { background } from '@martenworks/core-types';
import type { WebHandler } from '@martenworks/core-types';
import { bodyErrors } from '../errors.js';
import type { BodyError } from '../errors.js';
import type { Call, ResponseWriter } from './call.js';

const bodiless = new Set([101, 103, 204, 205, 304]);

const flat = (headers: Headers): string[] => [...headers].flat();

const pairsOf = (list: readonly string[]): [string, string][] =>
  list.flatMap((name, at): [string, string][] => (at % 2 === 0 ? [[name, list[at + 1] ?? '']] : []));

const bodyOf = async (request: Request, limitBytes: number): Promise<Result<Uint8Array, BodyError>> => {
  if (Number(request.headers.get('content-length') ?? 0) > limitBytes) return err(bodyErrors.tooLarge);
  try {
    const bytes = new Uint8Array(await request.arrayBuffer());
    return bytes.length > limitBytes ? err(bodyErrors.tooLarge) : ok(bytes);
  } catch {
    return err(bodyErrors.callerDisconnected);
  }
};

/**
 * One call that came as a `Request`. What `answer` is told becomes the `Response`; a cut answer is a body that breaks.
 */
class WebCall implements Call {
  readonly method: string;
  readonly target: string;
  readonly host: string;
  readonly headers: readonly string[];
  readonly headerBytes: number;
  readonly response: Promise<Response>;
  private settle: (response: Response) => void = () => {};
  private readonly goneListeners: (() => void)[] = [];
  private isOver = false;
  private wake: () => void = () => {};

  constructor(private readonly request: Request) {
    const { pathname, search, host } = new URL(request.url);
    this.method = request.method;
    this.target = `${pathname}${search}`;
    this.headers = flat(request.headers);
    this.host = request.headers.get('host') ?? host;
    this.headerBytes = this.headers.reduce((sum, text) => sum + text.length + 2, 0) + this.target.length;
    this.response = new Promise((resolve) => (this.settle = resolve));
    request.signal.addEventListener('abort', this.callerGone, { once: true });
  }

  private readonly callerGone = (): void => {
    if (this.isOver) return;
    this.over();
    for (const listener of this.goneListeners.splice(0)) listener();
  };

  private readonly over = (): void => {
    this.isOver = true;
    this.request.signal.removeEventListener('abort', this.callerGone);
    this.wake();
  };

  readonly body = (limitBytes: number): Promise<Result<Uint8Array, BodyError>> => bodyOf(this.request, limitBytes);

  readonly onDisconnect = (listener: () => void): void => {
    if (this.request.signal.aborted) {
      listener();
      return;
    }
    this.goneListeners.push(listener);
  };

  readonly respond = (status: number, headers: readonly string[], isLast: boolean): ResponseWriter => {
    const list = pairsOf(isLast ? [...headers, 'Connection', 'close'] : headers);
    let pipe: ReadableStreamDefaultController<Uint8Array> | null = null;
    const stream = new ReadableStream<Uint8Array>({
      start: (controller) => {
        pipe = controller;
      },
      pull: () => this.wake(),
      cancel: this.callerGone,
    });
    const act = (listener: (open: ReadableStreamDefaultController<Uint8Array>) => void): void => {
      if (pipe !== null && !this.isOver) listener(pipe);
    };
    this.settle(new Response(bodiless.has(status) ? null : stream, { status, headers: list }));
    return {
      write: async (bytes) => {
        act((open) => open.enqueue(bytes));
        if (!this.isOver && (pipe?.desiredSize ?? 1) <= 0) await new Promise<void>((wake) => (this.wake = wake));
      },
      end: () =>
        act((open) => {
          this.over();
          open.close();
        }),
      abort: () =>
        act((open) => {
          this.over();
          open.error(Object.assign(new Error('the answer was cut'), { code: 'ECONNRESET' }));
        }),
    };
  };
}

/** Adapts an edge to the handler of an HTTP server port. */
export const webCalls = {
  /** Answers a `Request` by whoever receives calls: an edge without its own server. */
  handler:
    (receive: (call: Call) => Promise<void>): WebHandler =>
    (request) => {
      const call = new WebCall(request);
      return new Promise((resolve, fail) => {
        background.run('deliver a response', call.response.then(resolve));
        receive(call).catch(fail);
      });
    },
};
