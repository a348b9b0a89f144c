/** The open exchanges of one caller's connection, pipelined ones included (RFC 9112, 9.3.2). */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

interface Exchange {
  readonly incoming: IncomingMessage;
  readonly response: ServerResponse;
  readonly onGone: (() => void)[];
}

/**
 * The requests of one caller's connection that are not answered whole yet. Callers may send several at once; node
 * hands each over as it comes and gives the answers out in order, but tells only the first that the caller left.
 */
export class CallerConnection {
  private readonly open = new Set<Exchange>();

  constructor(private readonly socket: Socket) {
    socket.once('close', this.closed);
  }

  /**
   * Keeps one request until its answer is whole; the function that it returns registers whom to tell that the caller
   * left.
   */
  readonly track = (incoming: IncomingMessage, response: ServerResponse): ((listener: () => void) => void) => {
    const exchange: Exchange = { incoming, response, onGone: [] };
    this.open.add(exchange);
    response.once('close', () => this.ended(exchange));
    return (listener) => {
      if (this.open.has(exchange)) exchange.onGone.push(listener);
      else if (!response.writableFinished) listener();
    };
  };

  /**
   * Ends the connection because its bytes form no request, or come too slowly. `answer` is written only if the caller
   * waits for nothing else: a request that was read whole may run, and any status in its place would speak of it.
   */
  readonly closeWith = (answer: string): void => {
    if (!this.socket.writable) this.socket.destroy();
    else if (this.isOwed()) this.socket.resetAndDestroy();
    else this.socket.end(answer);
  };

  private readonly isOwed = (): boolean =>
    [...this.open].some(({ incoming, response }) => incoming.complete || response.headersSent);

  private readonly closed = (): void => {
    for (const exchange of [...this.open]) this.ended(exchange);
  };

  private readonly ended = (exchange: Exchange): void => {
    if (!this.open.delete(exchange) || exchange.response.writableFinished) return;
    for (const listener of exchange.onGone.splice(0)) listener();
  };
}
