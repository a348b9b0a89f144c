/** The network port over TCP sockets. */
import { createConnection, createServer } from 'node:net';
import type { Socket } from 'node:net';
import { err, ok } from 'neverthrow';
import type { NetworkError } from '../errors.js';
import { addresses } from './addresses.js';
import type { Listener, Net, RawConnection } from './ports.js';
import { systemErrorCode } from './systemErrorCode.js';

const toRawConnection = (socket: Socket): RawConnection => {
  socket.setNoDelay(true);
  socket.on('error', () => {});
  return {
    remoteAddress: `${socket.remoteAddress ?? ''}:${socket.remotePort ?? 0}`,
    write: (bytes) => {
      if (!socket.destroyed) socket.write(bytes);
    },
    bufferedBytes: () => socket.writableLength,
    listen: (onBytes, onClose) => {
      socket.on('data', onBytes);
      socket.on('close', onClose);
      if (socket.destroyed) onClose();
    },
    close: () => void socket.destroy(),
  };
};

const networkError = (code: string): NetworkError => ({ kind: 'net', code, isUnsent: true });

const dial = (localHost: string | null, address: string, timeoutMs: number): ReturnType<Net['dial']> =>
  new Promise((resolve) => {
    const { host, port } = addresses.split(address);
    const socket = createConnection({ host, port, ...(localHost === null ? {} : { localAddress: localHost }) });
    const fail = (code: string): void => {
      socket.destroy();
      resolve(err(networkError(code)));
    };
    const timer = setTimeout(() => fail('ETIMEDOUT'), timeoutMs);
    socket.once('error', (cause) => {
      clearTimeout(timer);
      fail(systemErrorCode(cause));
    });
    socket.once('connect', () => {
      clearTimeout(timer);
      resolve(ok(toRawConnection(socket)));
    });
  });

const listen = (address: string, onConnection: (connection: RawConnection) => void): ReturnType<Net['listen']> =>
  new Promise((resolve) => {
    const { host, port } = addresses.split(address);
    const sockets = new Set<Socket>();
    const server = createServer((socket) => {
      sockets.add(socket);
      socket.on('close', () => sockets.delete(socket));
      onConnection(toRawConnection(socket));
    });
    const listener: Listener = {
      close: () =>
        new Promise((resolveClosed) => {
          server.close(() => resolveClosed());
          for (const socket of sockets) socket.destroy();
        }),
    };
    // Once it listens, an error means that a connection was not accepted.
    server.on('error', (cause) => resolve(err(networkError(systemErrorCode(cause)))));
    server.listen(port, host, () => resolve(ok(listener)));
  });

/** Creates the network over TCP; `localHost` is the local address of outgoing connections, null for any. */
export const realNetwork = (localHost: string | null): Net => ({
  dial: (address, timeoutMs) => dial(localHost, address, timeoutMs),
  listen,
});
