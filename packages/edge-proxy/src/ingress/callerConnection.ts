/** The open exchanges of one caller's connection, pipelined ones included (RFC 9112, 9.3.2). */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

interface Exchange {
  readonly incoming: IncomingMessage;
  readonly response: ServerResponse;
  readonly disconnectListeners: (() => void)[];
}

/**
 * The requests of one caller's connection that are not answered whole yet. Callers may send several at once; node
 * hands each over as it comes and gives the answers out in order, but tells only the first that the caller left.
 */
export class CallerConnection {
  private readonly openExchanges = new Set<Exchange>();

  constructor(private readonly socket: Socket) {
    socket.once('close', this.closeAll);
  }

  /**
   * Keeps one request until its answer is whole; the function that it returns registers whom to tell that the caller
   * left.
   */
  readonly track = (incoming: IncomingMessage, response: ServerResponse): ((listener: () => void) => void) => {
    const exchange: Exchange = { incoming, response, disconnectListeners: [] };
    this.openExchanges.add(exchange);
    response.once('close', () => this.finish(exchange));
    return (listener) => {
      if (this.openExchanges.has(exchange)) exchange.disconnectListeners.push(listener);
      else if (!response.writableFinished) listener();
    };
  };

  /**
   * Ends the connection because its bytes form no request, or come too slowly. `answer` is written only if the caller
   * waits for nothing else: a request that was read whole may run, and any status in its place would speak of it.
   */
  readonly closeWith = (response: string): void => {
    if (!this.socket.writable) this.socket.destroy();
    else if (this.isResponsePending()) this.socket.resetAndDestroy();
    else this.socket.end(response);
  };

  private readonly isResponsePending = (): boolean =>
    [...this.openExchanges].some(({ incoming, response }) => incoming.complete || response.headersSent);

  private readonly closeAll = (): void => {
    for (const exchange of [...this.openExchanges]) this.finish(exchange);
  };

  private readonly finish = (exchange: Exchange): void => {
    if (!this.openExchanges.delete(exchange) || exchange.response.writableFinished) return;
    for (const listener of exchange.disconnectListeners.splice(0)) listener();
  };
}
