/** One request of a caller and its response, with the bounds that both keep. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { IncomingBody, bodyReadErrors } from '@martenworks/server-limits';
import type { MemoryBudget, Reservation } from '@martenworks/server-limits';
import type { Call, ResponseWriter } from './call.js';
import type { CallerConnection } from './callerConnection.js';
import { headerLists } from './headerLists.js';
import { ServerResponseWriter } from './responseWriter.js';

/** What a request in flight takes beside its headers and body. */
const requestBytes = 16_384;
/** Headers stand as raw bytes and as texts. */
const headerCopies = 2;
/** A response that its caller keeps waiting for longer may be given up for another request. */
const evictableAfterMs = 1_000;
/** How long the rest of a refused body may pause before its connection is closed. */
const discardPauseMs = 1_000;

const sizeOf = (headers: readonly string[]): number => headers.reduce((sum, text) => sum + text.length + 2, 0);

/** Bounds of a body, from the limits of the current routing table. */
interface BodyLimits {
  /** How long a body may pause, in milliseconds. */
  readonly pauseMs: number;
  /** How much of a refused body is read, in bytes. */
  readonly discardBytes: number;
}

/** What an exchange needs of its server. */
export interface IngressExchangeOptions {
  readonly budget: MemoryBudget;
  readonly now: () => number;
  readonly isClosing: () => boolean;
  readonly limits: () => BodyLimits;
  readonly onFinish: (exchange: IngressExchange) => void;
}

/** An exchange from the request's headers to the end of its response. */
export class IngressExchange {
  /** The request, as the edge serves it. */
  readonly call: Call;
  private readonly reservation: Reservation;
  private readonly body: IncomingBody;
  private writer: ServerResponseWriter | null = null;

  constructor(
    private readonly incoming: IncomingMessage,
    private readonly response: ServerResponse,
    private readonly connection: CallerConnection,
    private readonly options: IngressExchangeOptions,
  ) {
    const { budget, now } = options;
    const headerBytes = sizeOf(incoming.rawHeaders) + (incoming.url ?? '').length;
    this.reservation = budget.open(this.giveUp);
    this.body = new IncomingBody(incoming, { reservation: this.reservation, now });
    const onDisconnect = connection.track(incoming, response, this.finish);
    this.call = {
      method: incoming.method ?? 'GET',
      target: incoming.url ?? '/',
      host: incoming.headers.host ?? '',
      headers: incoming.rawHeaders,
      headerBytes,
      body: this.body.read,
      onDisconnect,
      respond: this.respond,
    };
    if (!this.reservation.grow(requestBytes + headerBytes * headerCopies)) this.body.refuse(bodyReadErrors.noRoom);
  }

  /** Refuses a body that has paused for too long, and lets a response that isn't read be given up. */
  readonly checkProgress = (): void => {
    if (this.body.isStalled(this.options.limits().pauseMs)) this.body.refuse(bodyReadErrors.stalled);
    if (this.writer?.isBlocked(evictableAfterMs) === true) this.reservation.pin(false);
  };

  private readonly giveUp = (): void => {
    if (this.writer === null) this.body.refuse(bodyReadErrors.noRoom);
    else this.writer.abort();
  };

  private readonly finish = (): void => {
    this.reservation.release();
    this.options.onFinish(this);
  };

  private readonly respond = (status: number, headers: readonly string[], isLast: boolean): ResponseWriter => {
    const { incoming, response } = this;
    const isRefusal = !incoming.complete;
    if (isLast || this.options.isClosing()) response.shouldKeepAlive = false;
    response.writeHead(status, [...headers]);
    this.reservation.pin(true);
    this.writer = new ServerResponseWriter(response, {
      reservation: this.reservation,
      isDelimited: incoming.httpVersion !== '1.0' || headerLists.find(headers, 'content-length') !== null,
      now: this.options.now,
      end: isRefusal ? this.endRefusal : () => void response.end(),
    });
    return this.writer;
  };

  /**
   * Ends a response that precedes the end of its request. A connection that is to be closed is closed only after the rest
   * of the body, since closing it with unread bytes would reset it and the caller might lose the response.
   */
  private readonly endRefusal = (): void => {
    const { incoming, response, connection } = this;
    const { discardBytes, pauseMs } = this.options.limits();
    const closesConnection = !response.shouldKeepAlive;
    connection.markRefused(incoming);
    if (!closesConnection) response.end();
    this.body.discard({ maxBytes: discardBytes, pauseMs: closesConnection ? discardPauseMs : pauseMs }, () => {
      if (closesConnection) response.end();
      else if (!incoming.complete) incoming.socket.destroy();
    });
  };
}
