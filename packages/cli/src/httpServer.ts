import { createAdaptorServer } from '@hono/node-server';
import type { Server } from 'node:http';
import { err, ok } from 'neverthrow';
import { addresses } from '@martenworks/core-types';
import type { HttpServer } from '@martenworks/core-types';

const keepAliveMs = 65_000;

export const realHttpServer: HttpServer = {
  open: (address, handler) =>
    new Promise((resolve) => {
      const { host, port } = addresses.split(address);
      const server = createAdaptorServer({ fetch: handler }) as Server;
      server.keepAliveTimeout = keepAliveMs;
      server.once('error', (cause) =>
        resolve(err({ kind: 'net', code: (cause as { code?: string }).code ?? 'UNKNOWN', isUnsent: true })),
      );
      server.listen(port, host, 1024, () =>
        resolve(
          ok({
            close: () =>
              new Promise((closed) => {
                server.close(() => closed());
                server.closeIdleConnections();
                setTimeout(() => server.closeAllConnections(), 1_000).unref();
              }),
          }),
        ),
      );
    }),
};
