/** An undici agent that asks before a request's first byte is written and as its response head arrives. */
import { Agent, type Dispatcher } from 'undici';
import type { HttpResponseHead } from '@martenworks/core-types';

const noContentStatuses = new Set([204, 304]);
const firstFinalStatus = 200;

/** Asked as a request is written to its connection, and as the head of its answer is there. */
export interface Gates {
  readonly mayWrite: () => boolean;
  readonly accepts: (head: HttpResponseHead) => boolean;
}

/** Why the agent ended a request by itself. */
type GateCode = 'GATED' | 'WRITTEN_BEFORE' | 'HEAD_REFUSED';

class GateError extends Error {
  constructor(readonly code: GateCode) {
    super(`the request was ended: ${code}`);
  }
}

type GatedOptions = Dispatcher.DispatchOptions & { readonly gates?: Gates };
type Abort = (cause?: Error) => void;

/** The callbacks of undici's own request handler that the gates come before. */
interface RequestHandler {
  onConnect: (abort: Abort, context: unknown) => void;
  onHeaders: (status: number, headers: readonly Buffer[], resume: () => void, text: string) => boolean;
}

const isDelimited = (method: string, status: number, headers: readonly string[]): boolean =>
  method === 'HEAD' ||
  noContentStatuses.has(status) ||
  headers.some((name, at) => {
    if (at % 2 !== 0) return false;
    const lowerName = name.toLowerCase();
    if (lowerName === 'content-length') return true;
    return lowerName === 'transfer-encoding' && /(?:^|,)\s*chunked\s*$/i.test(headers[at + 1] ?? '');
  });

/**
 * An agent that asks before it writes: `mayWrite` within the turn in which the request's first byte goes to the socket,
 * for requests with and without a body alike, and once only. A second write of the same request, which the library
 * would make to retry it, is refused.
 */
export class GatedAgent extends Agent {
  override dispatch(options: GatedOptions, handler: Dispatcher.DispatchHandler): boolean {
    const { gates } = options;
    if (gates !== undefined) this.guard(handler as unknown as RequestHandler, options.method, gates);
    return super.dispatch(options, handler);
  }

  private readonly guard = (handler: RequestHandler, method: string, gates: Gates): void => {
    const connected = handler.onConnect.bind(handler);
    const headed = handler.onHeaders.bind(handler);
    let isWritten = false;
    let end: Abort = () => {};
    handler.onConnect = (abort, context) => {
      end = abort;
      if (isWritten) return abort(new GateError('WRITTEN_BEFORE'));
      if (!gates.mayWrite()) return abort(new GateError('GATED'));
      isWritten = true;
      connected(abort, context);
    };
    handler.onHeaders = (status, raw, resume, text) => {
      const headers = raw.map((bytes) => bytes.toString('latin1'));
      if (
        status < firstFinalStatus ||
        gates.accepts({ status, headers, isDelimited: isDelimited(method, status, headers) })
      )
        return headed(status, raw, resume, text);
      end(new GateError('HEAD_REFUSED'));
      return false;
    };
  };
}
