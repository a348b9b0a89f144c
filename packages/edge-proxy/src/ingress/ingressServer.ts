/** The HTTP/1.1 server that callers connect to (RFC 9112). */
import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { addresses, systemErrorCode } from '@martenworks/core-types';
import type { CallerLimits, NetworkError } from '@martenworks/core-types';
import { ConnectionLimit, MemoryBudget } from '@martenworks/server-limits';
import type { ProcessLimits } from '@martenworks/server-limits';
import type { Call } from './call.js';
import { CallerConnection } from './callerConnection.js';
import { IngressExchange } from './ingressExchange.js';
import type { IngressExchangeOptions } from './ingressExchange.js';

const maxHeaderBytes = 128 * 1024;
/** Node counts the request line and the white space around values too. */
const headerSlackBytes = 4 * 1024;
const timeoutCheckIntervalMs = 1_000;
const requestTimeoutMs = 30_000;
const timeoutRetryAfterS = 0.25;
/** Requests that one connection may send before it has read their responses. */
const maxPipelined = 64;
/** How long a caller may read nothing of a response. */
const unreadTimeoutMs = 15_000;

/** The limits until there is a routing table. */
const initialLimits: CallerLimits = { headerBytes: 16_384, bodyBytes: 4_194_304, headerMs: 3_000, idleMs: 15_000 };

/** Responses to bytes that form no request, or arrive too slowly. Nothing has run. */
const protocolErrors = {
  responseTo: (code: string | undefined): string =>
    `HTTP/1.1 ${protocolErrors.headOf(code)}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n`,
  headOf: (code: string | undefined): string => {
    if (code === 'HPE_HEADER_OVERFLOW') return '431 Request Header Fields Too Large';
    if (code !== 'ERR_HTTP_REQUEST_TIMEOUT') return '400 Bad Request';
    return `408 Request Timeout\r\nRetry-After: ${timeoutRetryAfterS}`;
  },
};

/**
 * `onCall` receives each call; `isClosing` is true once connections should be closed after the response because the edge
 * is draining.
 */
export interface IngressServerOptions {
  readonly onCall: (call: Call) => void;
  readonly isClosing: () => boolean;
  /** Milliseconds on the monotonic clock. */
  readonly now: () => number;
  /** The bounds of the process. */
  readonly limits: ProcessLimits;
  /** Called with the system's code when a connection can't be accepted, for example `EMFILE`. */
  readonly onAcceptError: (code: string) => void;
}

/** What the server holds, for the operators' pages. */
export interface IngressStatus {
  readonly memory: ReturnType<MemoryBudget['status']>;
  readonly connections: ReturnType<ConnectionLimit['status']>;
}

/** A caller-facing HTTP/1.1 server that passes targets, headers and bodies on unchanged. */
export class IngressServer {
  private readonly server: Server;
  private readonly connections = new WeakMap<object, CallerConnection>();
  private readonly exchanges = new Set<IngressExchange>();
  private readonly budget: MemoryBudget;
  private readonly connectionLimit: ConnectionLimit;
  private readonly exchangeOptions: IngressExchangeOptions;
  private limits = initialLimits;
  private progressTimer: NodeJS.Timeout | null = null;

  constructor(private readonly options: IngressServerOptions) {
    this.server = createServer(
      {
        connectionsCheckingInterval: timeoutCheckIntervalMs,
        requestTimeout: requestTimeoutMs,
        noDelay: true,
      },
      this.handleRequest,
    );
    this.applyLimits(initialLimits);
    this.budget = new MemoryBudget(options.limits.bufferBytes);
    this.connectionLimit = new ConnectionLimit(this.server, {
      maxConnections: options.limits.callerConnections,
      maxPipelined,
      unreadTimeoutMs,
    });
    this.exchangeOptions = {
      budget: this.budget,
      now: options.now,
      isClosing: options.isClosing,
      limits: () => ({ pauseMs: this.limits.idleMs, discardBytes: this.limits.bodyBytes }),
      onFinish: (exchange) => this.exchanges.delete(exchange),
    };
    this.server.on('connection', (socket) => this.connections.set(socket, new CallerConnection(socket)));
    this.server.on('clientError', (cause: Error & { code?: string }, socket) => {
      this.connections.get(socket)?.closeWith(protocolErrors.responseTo(cause.code));
    });
  }

  private readonly connectionOf = (socket: Socket): CallerConnection => {
    const connection = this.connections.get(socket) ?? new CallerConnection(socket);
    this.connections.set(socket, connection);
    return connection;
  };

  private readonly handleRequest = (incoming: IncomingMessage, response: ServerResponse): void => {
    incoming.on('error', () => {});
    response.on('error', () => {});
    if (incoming.socket.destroyed) return;
    const connection = this.connectionOf(incoming.socket);
    const exchange = new IngressExchange(incoming, response, connection, this.exchangeOptions);
    this.exchanges.add(exchange);
    this.options.onCall(exchange.call);
  };

  private readonly checkProgress = (): void => {
    for (const exchange of this.exchanges) exchange.checkProgress();
  };

  /** What the server holds now. */
  readonly status = (): IngressStatus => ({
    memory: this.budget.status(),
    connections: this.connectionLimit.status(),
  });

  /** Applies the limits of the current routing table; times in milliseconds. */
  readonly applyLimits = (limits: CallerLimits): void => {
    this.limits = limits;
    this.server.keepAliveTimeout = limits.idleMs;
    this.server.headersTimeout = limits.headerMs;
    // Node reads the field for each new connection.
    Object.assign(this.server, { maxHeaderSize: Math.min(maxHeaderBytes, limits.headerBytes + headerSlackBytes) });
  };

  /** Listens on `host:port`; fails with the system's network error, for example `EADDRINUSE`. */
  readonly open = (address: string): Promise<Result<void, NetworkError>> =>
    new Promise((resolve) => {
      const { host, port } = addresses.split(address);
      this.server.once('error', (cause) => resolve(err({ kind: 'net', code: systemErrorCode(cause), isUnsent: true })));
      this.server.listen(port, host, 1_024, () => {
        this.server.on('error', (cause) => this.options.onAcceptError(systemErrorCode(cause)));
        this.progressTimer = setInterval(this.checkProgress, timeoutCheckIntervalMs);
        resolve(ok(undefined));
      });
    });

  /** Stops accepting connections and closes idle ones; running requests continue. */
  readonly stopAccepting = (): void => {
    this.server.close();
    this.server.closeIdleConnections();
  };

  /** Whether no connection is open; true also where the count can't be determined. */
  readonly hasNoConnections = (): Promise<boolean> =>
    new Promise((resolve) => this.server.getConnections((cause, count) => resolve(cause !== null || count === 0)));

  /** Closes the connections on which no request is running. */
  readonly closeIdle = (): void => this.server.closeIdleConnections();

  /** Closes every connection immediately, including those with running requests. */
  readonly destroy = (): void => {
    if (this.progressTimer !== null) clearInterval(this.progressTimer);
    this.connectionLimit.stop();
    this.server.closeAllConnections();
  };
}
