/** The HTTP/1.1 server that callers connect to (RFC 9112). */
import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { addresses } from '@martenworks/core-types';
import type { CallerLimits, NetworkError } from '@martenworks/core-types';
import { headerLists } from './headerLists.js';
import { bodyErrors } from '../errors.js';
import type { BodyError } from '../errors.js';
import type { Call, ResponseWriter } from './call.js';
import { CallerConnection } from './callerConnection.js';

const maxHeaderBytes = 128 * 1024;
const timeoutCheckIntervalMs = 1_000;
const requestTimeoutMs = 30_000;

const bodyOf = (incoming: IncomingMessage, limitBytes: number): Promise<Result<Uint8Array, BodyError>> =>
  new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let size = 0;
    if (Number(incoming.headers['content-length'] ?? 0) > limitBytes) return resolve(err(bodyErrors.tooLarge));
    incoming.on('data', (chunk: Buffer) => {
      size += chunk.length;
      if (size > limitBytes) {
        incoming.removeAllListeners('data');
        incoming.resume();
        return resolve(err(bodyErrors.tooLarge));
      }
      chunks.push(chunk);
    });
    incoming.on('end', () => resolve(ok(chunks.length === 1 ? (chunks[0] as Buffer) : Buffer.concat(chunks))));
    incoming.on('error', () => resolve(err(bodyErrors.callerDisconnected)));
    incoming.on('close', () => resolve(err(bodyErrors.callerDisconnected)));
  });

const sizeOf = (headers: readonly string[]): number => headers.reduce((sum, text) => sum + text.length + 2, 0);

/**
 * Wraps a server response. `isDelimited` is true if the caller can tell the end of the body from a closed connection;
 * otherwise only a reset shows that the body is truncated.
 */
const responseWriter = (response: ServerResponse, isDelimited: boolean): ResponseWriter => ({
  write: (bytes) =>
    new Promise((resolve) => {
      if (response.destroyed || response.write(bytes)) return resolve();
      const done = (): void => {
        response.off('drain', done);
        response.off('close', done);
        resolve();
      };
      response.on('drain', done);
      response.on('close', done);
    }),
  end: () => void response.end(),
  abort: () => {
    const { socket } = response;
    if (socket === null || response.writableFinished) response.destroy();
    else if (isDelimited) socket.destroy();
    else socket.resetAndDestroy();
  },
});

const statusLines = {
  of: (code: string | undefined): string => {
    if (code === 'HPE_HEADER_OVERFLOW') return '431 Request Header Fields Too Large';
    return code === 'ERR_HTTP_REQUEST_TIMEOUT' ? '408 Request Timeout' : '400 Bad Request';
  },
};

/**
 * `onCall` receives each call; `isClosing` is true once connections should be closed after the response because the edge
 * is draining.
 */
export interface IngressServerOptions {
  readonly onCall: (call: Call) => void;
  readonly isClosing: () => boolean;
}

/** A caller-facing HTTP/1.1 server that passes targets, headers and bodies on unchanged. */
export class IngressServer {
  private readonly server: Server;
  private readonly connections = new WeakMap<object, CallerConnection>();

  constructor(private readonly options: IngressServerOptions) {
    this.server = createServer(
      {
        maxHeaderSize: maxHeaderBytes,
        connectionsCheckingInterval: timeoutCheckIntervalMs,
        requestTimeout: requestTimeoutMs,
        noDelay: true,
      },
      this.handleRequest,
    );
    this.server.on('connection', (socket) => this.connections.set(socket, new CallerConnection(socket)));
    this.server.on('clientError', (cause: Error & { code?: string }, socket) => {
      const response = `HTTP/1.1 ${statusLines.of(cause.code)}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n`;
      this.connections.get(socket)?.closeWith(response);
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
    const onDisconnect = this.connectionOf(incoming.socket).track(incoming, response);
    this.options.onCall({
      method: incoming.method ?? 'GET',
      target: incoming.url ?? '/',
      host: incoming.headers.host ?? '',
      headers: incoming.rawHeaders,
      headerBytes: sizeOf(incoming.rawHeaders) + (incoming.url ?? '').length,
      body: (limitBytes) => bodyOf(incoming, limitBytes),
      onDisconnect,
      respond: (status, headers, isLast) => {
        if (isLast || this.options.isClosing()) response.shouldKeepAlive = false;
        response.writeHead(status, [...headers]);
        const isChunked = incoming.httpVersion !== '1.0';
        return responseWriter(response, isChunked || headerLists.find(headers, 'content-length') !== null);
      },
    });
  };

  /** Applies the idle and header timeouts, in milliseconds, of the current routing table. */
  readonly applyLimits = (limits: CallerLimits): void => {
    this.server.keepAliveTimeout = limits.idleMs;
    this.server.headersTimeout = limits.headerMs;
  };

  /** Listens on `host:port`; fails with the system's network error, for example `EADDRINUSE`. */
  readonly open = (address: string): Promise<Result<void, NetworkError>> =>
    new Promise((resolve) => {
      const { host, port } = addresses.split(address);
      this.server.once('error', (cause) =>
        resolve(err({ kind: 'net', code: (cause as { code?: string }).code ?? 'UNKNOWN', isUnsent: true })),
      );
      this.server.listen(port, host, 1_024, () => resolve(ok(undefined)));
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
  readonly destroy = (): void => this.server.closeAllConnections();
}
