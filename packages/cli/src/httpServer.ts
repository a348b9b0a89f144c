/** The HTTP server of a role on real sockets. */
import { createAdaptorServer } from '@hono/node-server';
import type { Server } from 'node:http';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { addresses, systemErrorCode } from '@martenworks/core-types';
import type { HttpServer, Listener, NetworkError, WebHandler } from '@martenworks/core-types';
import { ConnectionLimit } from '@martenworks/server-limits';

/** Requests whose headers or bodies take longer get 408. */
const headersTimeoutMs = 10_000;
const requestTimeoutMs = 30_000;
const timeoutCheckIntervalMs = 1_000;
/** Requests that one connection may send before it has read their responses. */
const maxPipelined = 64;
/** How long a client may read nothing of a response. */
const unreadTimeoutMs = 15_000;
/** Longer than the idle timeout of common load balancers, so that these close the connection first. */
const keepAliveMs = 65_000;
const backlog = 1024;
/** Connections still open this long after `close` are destroyed. */
const closeTimeoutMs = 1_000;

const createNodeServer = (handler: WebHandler): Server => {
  const server = createAdaptorServer({
    fetch: handler,
    serverOptions: { connectionsCheckingInterval: timeoutCheckIntervalMs, requestTimeout: requestTimeoutMs },
  }) as Server;
  server.headersTimeout = headersTimeoutMs;
  server.keepAliveTimeout = keepAliveMs;
  return server;
};

const listenerOf = (server: Server): Listener => ({
  close: () =>
    new Promise((closed) => {
      server.close(() => closed());
      server.closeIdleConnections();
      setTimeout(() => server.closeAllConnections(), closeTimeoutMs).unref();
    }),
});

const listen = (server: Server, address: string): Promise<Result<Listener, NetworkError>> =>
  new Promise((resolve) => {
    const { host, port } = addresses.split(address);
    // Once it listens, an error means that a connection was not accepted.
    server.on('error', (cause) => resolve(err({ kind: 'net', code: systemErrorCode(cause), isUnsent: true })));
    server.listen(port, host, backlog, () => resolve(ok(listenerOf(server))));
  });

/** Opens an HTTP server of Node.js; the listener's `close` resolves once every connection is closed. */
export const realHttpServer: HttpServer = {
  open: (address, handler) => listen(createNodeServer(handler), address),
};

/** The same with at most `maxConnections` open connections; see `ConnectionLimit` for which are closed beyond that. */
export const boundedHttpServer = (maxConnections: number): HttpServer => ({
  open: (address, handler) => {
    const server = createNodeServer(handler);
    new ConnectionLimit(server, { maxConnections, maxPipelined, unreadTimeoutMs });
    return listen(server, address);
  },
});
