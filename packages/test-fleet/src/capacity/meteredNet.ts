/** The network of the probes: loopback connections whose bytes are counted. */
import { createServer } from 'node:net';
import type { Net, RawConnection } from '@martenworks/core-types';

/** Counts the bytes of the metered connections of one probe. */
export class Meter {
  /** Bytes written. */
  sent = 0;
  /** Bytes received. */
  received = 0;
}

/** Wraps a network so that its connections add the bytes they send and receive to the meter. */
export const metered = (net: Net, meter: Meter): Net => {
  const withMeter = (connection: RawConnection): RawConnection => ({
    ...connection,
    write: (bytes) => {
      meter.sent += bytes.length;
      connection.write(bytes);
    },
    listen: (onBytes, onClose) =>
      connection.listen((bytes) => {
        meter.received += bytes.length;
        onBytes(bytes);
      }, onClose),
  });
  return {
    dial: async (address, timeoutMs) => (await net.dial(address, timeoutMs)).map(withMeter),
    listen: (address, onConnection) => net.listen(address, (connection) => onConnection(withMeter(connection))),
  };
};

/** Returns a loopback address with a free port; another process may still take it. */
export const freeAddress = (): Promise<string> =>
  new Promise((resolve) => {
    const server = createServer();
    server.listen(0, '127.0.0.1', () => {
      const bound = server.address();
      server.close(() => resolve(`127.0.0.1:${bound !== null && typeof bound === 'object' ? bound.port : 0}`));
    });
  });
