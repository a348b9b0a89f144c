/** The network port over TCP sockets of this machine. */
import { createConnection, createServer } from 'node:net';
import type { Socket } from 'node:net';
import { err, ok } from 'neverthrow';
import type { NetworkError } from '../errors.js';
import { addresses } from './addresses.js';
import type { Listener, Net, RawConnection } from './ports.js';
import { systemErrorCode } from './systemErrorCode.js';

const connectionOver = (socket: Socket): RawConnection => {
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
    const giveUp = (code: string): void => {
      socket.destroy();
      resolve(err(networkError(code)));
    };
    const timer = setTimeout(() => giveUp('ETIMEDOUT'), timeoutMs);
    socket.once('error', (cause) => {
      clearTimeout(timer);
      giveUp(systemErrorCode(cause));
    });
    socket.once('connect', () => {
      clearTimeout(timer);
      resolve(ok(connectionOver(socket)));
    });
  });

const listen = (address: string, onConnection: (connection: RawConnection) => void): ReturnType<Net['listen']> =>
  new Promise((resolve) => {
    const { host, port } = addresses.split(address);
    const sockets = new Set<Socket>();
    const server = createServer((socket) => {
      sockets.add(socket);
      socket.on('close', () => sockets.delete(socket));
      onConnection(connectionOver(socket));
    });
    const listener: Listener = {
      close: () =>
        new Promise((closed) => {
          server.close(() => closed());
          for (const socket of sockets) socket.destroy();
        }),
    };
    server.once('error', (cause) => resolve(err(networkError(systemErrorCode(cause)))));
    server.listen(port, host, () => resolve(ok(listener)));
  });

/** The network over TCP; `localHost` is the address that connections are dialled from, null for any. */
export const realNetwork = (localHost: string | null): Net => ({
  dial: (address, timeoutMs) => dial(localHost, address, timeoutMs),
  listen,
});
