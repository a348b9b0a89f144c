/** The HTTP server of a role on real sockets. */
import { createServer } from 'node:http';
import type { Server } from 'node:http';
import { getRequestListener } from '@hono/node-server';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { addresses, background, systemErrorCode } from '@martenworks/core-types';
import type { HttpServer, Listener, NetworkError, WebHandler } from '@martenworks/core-types';
import { ConnectionLimit } from '@martenworks/server-limits';
import type { ProcessLimits } from '@martenworks/server-limits';

/** Requests whose headers or bodies take longer get 408. */
const headersTimeoutMs = 10_000;
const requestTimeoutMs = 30_000;
const timeoutCheckIntervalMs = 1_000;
/** Requests that one connection may send before it has read their responses. */
const maxPipelinedByCaller = 64;
/** Pages for operators may be large, and neither they nor load balancers send requests ahead. */
const maxPipelinedByOperator = 4;
/** How long a client may read nothing of a response. */
const unreadTimeoutMs = 15_000;
/** Longer than the idle timeout of common load balancers, so that these close the connection first. */
const keepAliveMs = 65_000;
const backlog = 1024;
/** Connections still open this long after `close` are destroyed. */
const closeTimeoutMs = 1_000;

const createNodeServer = (handler: WebHandler): Server => {
  const serve = getRequestListener(handler);
  const server = createServer(
    { connectionsCheckingInterval: timeoutCheckIntervalMs, requestTimeout: requestTimeoutMs },
    (incoming, outgoing) => {
      // The parser goes on with what it has read of a connection that has just been closed.
      if (!incoming.socket.destroyed) background.run('serve a request', serve(incoming, outgoing));
    },
  );
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

const boundedServer = (maxConnections: number, maxPipelined: number): HttpServer => ({
  open: (address, handler) => {
    const server = createNodeServer(handler);
    new ConnectionLimit(server, { maxConnections, maxPipelined, unreadTimeoutMs });
    return listen(server, address);
  },
});

/** Servers with a bound on their connections and on the requests of each; see `ConnectionLimit` for what it closes. */
export const boundedHttpServers = {
  forCallers: ({ callerConnections }: ProcessLimits): HttpServer =>
    boundedServer(callerConnections, maxPipelinedByCaller),
  forOperators: ({ operatorConnections }: ProcessLimits): HttpServer =>
    boundedServer(operatorConnections, maxPipelinedByOperator),
};
