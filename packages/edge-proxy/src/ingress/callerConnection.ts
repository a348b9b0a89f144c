/** Tracks the open exchanges of one caller's connection, pipelined ones included (RFC 9112, section 9.3.2). */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

interface Exchange {
  readonly incoming: IncomingMessage;
  readonly response: ServerResponse;
  readonly disconnectListeners: (() => void)[];
  readonly onFinish: () => void;
}

/**
 * The requests of one caller's connection whose response is not complete yet. With pipelining there may be several: Node
 * emits each request as it arrives and sends the responses in order, but notifies only the first one when the caller
 * disconnects.
 */
export class CallerConnection {
  private readonly openExchanges = new Set<Exchange>();
  private refused: IncomingMessage | null = null;

  constructor(private readonly socket: Socket) {
    socket.once('close', this.closeAll);
  }

  /**
   * Tracks one request until its response is complete; `onFinish` is called then, or when the caller disconnects. Returns
   * a function that registers listeners for the caller's disconnection.
   */
  readonly track = (
    incoming: IncomingMessage,
    response: ServerResponse,
    onFinish: () => void,
  ): ((listener: () => void) => void) => {
    const exchange: Exchange = { incoming, response, disconnectListeners: [], onFinish };
    this.openExchanges.add(exchange);
    response.once('close', () => this.finish(exchange));
    return (listener) => {
      if (this.openExchanges.has(exchange)) exchange.disconnectListeners.push(listener);
      else if (!response.writableFinished) listener();
    };
  };

  /**
   * Closes the connection because its bytes form no request or arrive too slowly. `response` is written only if no other
   * response is pending: a request that was received in full may be running, and the caller would take this one as
   * the response to it. Nothing is written either if the request was refused before its end: its response was sent.
   */
  readonly closeWith = (response: string): void => {
    if (!this.socket.writable || this.isRefusedRequestOpen()) this.socket.destroy();
    else if (this.isResponsePending()) this.socket.resetAndDestroy();
    else this.socket.end(response);
  };

  /** Notes that a request is answered before its body is complete. */
  readonly markRefused = (incoming: IncomingMessage): void => {
    this.refused = incoming;
  };

  private readonly isRefusedRequestOpen = (): boolean => this.refused !== null && !this.refused.complete;

  private readonly isResponsePending = (): boolean =>
    [...this.openExchanges].some(({ incoming, response }) => incoming.complete || response.headersSent);

  private readonly closeAll = (): void => {
    for (const exchange of [...this.openExchanges]) this.finish(exchange);
  };

  private readonly finish = (exchange: Exchange): void => {
    if (!this.openExchanges.delete(exchange)) return;
    exchange.onFinish();
    if (exchange.response.writableFinished) return;
    for (const listener of exchange.disconnectListeners.splice(0)) listener();
  };
}
