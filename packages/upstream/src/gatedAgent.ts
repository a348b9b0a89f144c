/** An undici agent with a check before a request is written and another when its response head arrives. */
import { Agent, type Dispatcher } from 'undici';
import type { HttpResponseHead } from '@martenworks/core-types';

const noContentStatuses = new Set([204, 304]);
const firstFinalStatus = 200;

/** The checks of one request: before it is written to its connection, and when the head of its response arrives. */
export interface RequestGates {
  readonly mayWrite: () => boolean;
  readonly accepts: (head: HttpResponseHead) => boolean;
}

/** Why the agent aborted a request. */
type GateCode = 'GATED' | 'WRITTEN_BEFORE' | 'HEAD_REFUSED';

class GateError extends Error {
  constructor(readonly code: GateCode) {
    super(`request aborted: ${code}`);
  }
}

type GatedOptions = Dispatcher.DispatchOptions & { readonly gates?: RequestGates };
type Abort = (cause?: Error) => void;

/** The callbacks of undici's request handler that the agent wraps. */
interface RequestHandler {
  onConnect: (abort: Abort, context: unknown) => void;
  onHeaders: (status: number, headers: readonly Buffer[], resume: () => void, text: string) => boolean;
}

const valuesOf = (headers: readonly string[], wanted: string): string[] =>
  headers.filter((_, at) => at % 2 === 1 && headers[at - 1]?.toLowerCase() === wanted);

/** Whether the end of the body is told from the end of the connection (RFC 9112, section 6.3): by chunks or a length. */
const isBodyDelimited = (method: string, status: number, headers: readonly string[]): boolean => {
  if (method === 'HEAD' || noContentStatuses.has(status)) return true;
  const codings = valuesOf(headers, 'transfer-encoding');
  if (codings.length > 0) return /(?:^|,)\s*chunked\s*$/i.test(codings.join());
  return valuesOf(headers, 'content-length').length > 0;
};

/**
 * An agent that calls `mayWrite` in the same event loop turn in which the first byte of the request is written to the
 * socket, with or without a body, and once only: a retry by undici, which would write the request again, is aborted.
 */
export class GatedAgent extends Agent {
  override dispatch(options: GatedOptions, handler: Dispatcher.DispatchHandler): boolean {
    const { gates } = options;
    if (gates !== undefined) this.addGates(handler as unknown as RequestHandler, options.method, gates);
    return super.dispatch(options, handler);
  }

  private readonly addGates = (handler: RequestHandler, method: string, gates: RequestGates): void => {
    const originalOnConnect = handler.onConnect.bind(handler);
    const originalOnHeaders = handler.onHeaders.bind(handler);
    let isWritten = false;
    let abortRequest: Abort = () => {};
    handler.onConnect = (abort, context) => {
      abortRequest = abort;
      if (isWritten) return abort(new GateError('WRITTEN_BEFORE'));
      if (!gates.mayWrite()) return abort(new GateError('GATED'));
      isWritten = true;
      originalOnConnect(abort, context);
    };
    handler.onHeaders = (status, rawHeaders, resume, statusText) => {
      const headers = rawHeaders.map((bytes) => bytes.toString('latin1'));
      if (
        status < firstFinalStatus ||
        gates.accepts({ status, headers, isDelimited: isBodyDelimited(method, status, headers) })
      )
        return originalOnHeaders(status, rawHeaders, resume, statusText);
      abortRequest(new GateError('HEAD_REFUSED'));
      return false;
    };
  };
}
