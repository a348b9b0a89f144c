/** Calls received as Fetch API `Request` objects, for an edge behind an HTTP server other than its own. */
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { background } from '@martenworks/core-types';
import type { WebHandler } from '@martenworks/core-types';
import { bodyReadErrors } from '@martenworks/server-limits';
import type { BodyReadError } from '@martenworks/server-limits';
import type { Call, ResponseWriter } from './call.js';

const bodilessStatuses = new Set([101, 103, 204, 205, 304]);

const headerList = (headers: Headers): string[] => [...headers].flat();

const pairsOf = (list: readonly string[]): [string, string][] =>
  list.flatMap((name, at): [string, string][] => (at % 2 === 0 ? [[name, list[at + 1] ?? '']] : []));

const bodyOf = async (request: Request, limitBytes: number): Promise<Result<Uint8Array, BodyReadError>> => {
  if (Number(request.headers.get('content-length') ?? 0) > limitBytes) return err(bodyReadErrors.tooLarge);
  try {
    const bytes = new Uint8Array(await request.arrayBuffer());
    return bytes.length > limitBytes ? err(bodyReadErrors.tooLarge) : ok(bytes);
  } catch {
    return err(bodyReadErrors.disconnected);
  }
};

/**
 * One call received as a `Request`. `respond` resolves the `Response`; aborting makes its body stream fail.
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
    request.signal.addEventListener('abort', this.handleDisconnect, { once: true });
  }

  private readonly handleDisconnect = (): void => {
    if (this.isFinished) return;
    this.finish();
    for (const listener of this.disconnectListeners.splice(0)) listener();
  };

  private readonly finish = (): void => {
    this.isFinished = true;
    this.request.signal.removeEventListener('abort', this.handleDisconnect);
    this.resumeWriter();
  };

  readonly body = (limitBytes: number): Promise<Result<Uint8Array, BodyReadError>> => bodyOf(this.request, limitBytes);

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
      cancel: this.handleDisconnect,
    });
    const withStream = (action: (controller: ReadableStreamDefaultController<Uint8Array>) => void): void => {
      if (streamController !== null && !this.isFinished) action(streamController);
    };
    this.resolveResponse(new Response(bodilessStatuses.has(status) ? null : stream, { status, headers: list }));
    return {
      write: async (bytes) => {
        withStream((controller) => controller.enqueue(bytes));
        if (!this.isFinished && (streamController?.desiredSize ?? 1) <= 0)
          await new Promise<void>((resume) => (this.resumeWriter = resume));
      },
      end: () =>
        withStream((controller) => {
          this.finish();
          controller.close();
        }),
      abort: () =>
        withStream((controller) => {
          this.finish();
          controller.error(Object.assign(new Error('response truncated'), { code: 'ECONNRESET' }));
        }),
    };
  };
}

/** Adapts an edge to the handler of an HTTP server. */
export const webCalls = {
  /** Returns a handler that passes each `Request` to `serve` as a call. */
  handler:
    (serve: (call: Call) => Promise<void>): WebHandler =>
    (request) => {
      const call = new WebCall(request);
      return new Promise((resolve, fail) => {
        background.run('deliver a response', call.response.then(resolve));
        serve(call).catch(fail);
      });
    },
};
