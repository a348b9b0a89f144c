/** The HTTP server of a role on real sockets. */
import { createAdaptorServer } from '@hono/node-server';
import type { Server } from 'node:http';
import { err, ok } from 'neverthrow';
import { addresses } from '@martenworks/core-types';
import type { HttpServer } from '@martenworks/core-types';

/** Longer than the idle timeout of common load balancers, so that these close the connection first. */
const keepAliveMs = 65_000;
const backlog = 1024;
/** Connections still open this long after `close` are destroyed. */
const closeTimeoutMs = 1_000;

/** Opens an HTTP server of Node.js; the listener's `close` resolves once every connection is closed. */
export const realHttpServer: HttpServer = {
  open: (address, handler) =>
    new Promise((resolve) => {
      const { host, port } = addresses.split(address);
      const server = createAdaptorServer({ fetch: handler }) as Server;
      server.keepAliveTimeout = keepAliveMs;
      server.once('error', (cause) =>
        resolve(err({ kind: 'net', code: (cause as { code?: string }).code ?? 'UNKNOWN', isUnsent: true })),
      );
      server.listen(port, host, backlog, () =>
        resolve(
          ok({
            close: () =>
              new Promise((closed) => {
                server.close(() => closed());
                server.closeIdleConnections();
                setTimeout(() => server.closeAllConnections(), closeTimeoutMs).unref();
              }),
          }),
        ),
      );
    }),
};
