/** Accepts and dials peer connections, with a timeout for the handshake. */
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { Clock, Listener, Log, Net, NetworkError } from '@martenworks/core-types';
import { peerError } from './errors.js';
import type { PeerError } from './errors.js';
import type { Hello } from './hello.js';
import { PeerConnection } from './peerConnection.js';
import type { PeerHandlers } from './peerConnection.js';

const helloTimeoutMs = 2000;

/**
 * Accepts and dials connections. Each side closes the connection if the other's hello does not arrive within the
 * timeout (in milliseconds, 2 s by default). `dial` resolves once the hello has arrived.
 */
export const peerConnections = {
  listen: (
    net: Net,
    clock: Clock,
    log: Log,
    own: () => Hello,
    address: string,
    handlers: PeerHandlers,
  ): Promise<Result<Listener, NetworkError>> =>
    net.listen(address, (accepted) => {
      const connection = new PeerConnection(accepted, clock, log, own(), handlers);
      clock.after(helloTimeoutMs, () => {
        if (connection.peer === null) connection.close();
      });
      connection.start();
    }),
  dial: async (
    net: Net,
    clock: Clock,
    log: Log,
    own: Hello,
    address: string,
    handlers: PeerHandlers,
    timeoutMs = helloTimeoutMs,
  ): Promise<Result<PeerConnection, PeerError>> => {
    const raw = await net.dial(address, timeoutMs);
    if (raw.isErr()) return err(peerError('unreachable'));
    return new Promise((resolve) => {
      const connection: PeerConnection = new PeerConnection(raw.value, clock, log, own, {
        ...handlers,
        onOpen: (opened) => {
          timer.cancel();
          handlers.onOpen(opened);
          resolve(ok(opened));
        },
      });
      const timer = clock.after(timeoutMs, () => {
        if (connection.peer === null) connection.close();
        resolve(err(peerError('unreachable')));
      });
      connection.start();
    });
  },
};
