/** Calls that come as `Request` of the Fetch standard, for an edge behind an HTTP server that isn't its own. */
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { background } from '@martenworks/core-types';
import type { WebHandler } from '@martenworks/core-types';
import { bodyErrors } from '../errors.js';
import type { BodyError } from '../errors.js';
import type { Call, ResponseWriter } from './call.js';

const bodilessStatuses = new Set([101, 103, 204, 205, 304]);

const headerList = (headers: Headers): string[] => [...headers].flat();

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
  private resolveResponse: (response: Response) => void = () => {};
  private readonly disconnectListeners: (() => void)[] = [];
  private isFinished = false;
  private resumeWriter: () => void = () => {};

  constructor(private readonly request: Request) {
    const { pathname, search, host } = new URL(request.url);
    this.method = request.method;
    this.target = `${pathname}${search}`;
    this.headers = headerList(request.headers);
    this.host = request.headers.get('host') ?? host;
    this.headerBytes = this.headers.reduce((sum, text) => sum + text.length + 2, 0) + this.target.length;
    this.response = new Promise((resolve) => (this.resolveResponse = resolve));
    request.signal.addEventListener('abort', this.callerGone, { once: true });
  }

  private readonly callerGone = (): void => {
    if (this.isFinished) return;
    this.finish();
    for (const listener of this.disconnectListeners.splice(0)) listener();
  };

  private readonly finish = (): void => {
    this.isFinished = true;
    this.request.signal.removeEventListener('abort', this.callerGone);
    this.resumeWriter();
  };

  readonly body = (limitBytes: number): Promise<Result<Uint8Array, BodyError>> => bodyOf(this.request, limitBytes);

  readonly onDisconnect = (listener: () => void): void => {
    if (this.request.signal.aborted) {
      listener();
      return;
    }
    this.disconnectListeners.push(listener);
  };

  readonly respond = (status: number, headers: readonly string[], isLast: boolean): ResponseWriter => {
    const list = pairsOf(isLast ? [...headers, 'Connection', 'close'] : headers);
    let streamController: ReadableStreamDefaultController<Uint8Array> | null = null;
    const stream = new ReadableStream<Uint8Array>({
      start: (controller) => {
        streamController = controller;
      },
      pull: () => this.resumeWriter(),
      cancel: this.callerGone,
    });
    const withStream = (listener: (open: ReadableStreamDefaultController<Uint8Array>) => void): void => {
      if (streamController !== null && !this.isFinished) listener(streamController);
    };
    this.resolveResponse(new Response(bodilessStatuses.has(status) ? null : stream, { status, headers: list }));
    return {
      write: async (bytes) => {
        withStream((open) => open.enqueue(bytes));
        if (!this.isFinished && (streamController?.desiredSize ?? 1) <= 0)
          await new Promise<void>((wake) => (this.resumeWriter = wake));
      },
      end: () =>
        withStream((open) => {
          this.finish();
          open.close();
        }),
      abort: () =>
        withStream((open) => {
          this.finish();
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
