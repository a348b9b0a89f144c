/** Networks of the probes: real loopback connections whose bytes are counted. */
import { createServer } from 'node:net';
import type { Net, RawConnection } from '@martenworks/core-types';

/** Bytes that crossed the metered connections of one probe. */
export class Meter {
  /** Bytes written. */
  sent = 0;
  /** Bytes received. */
  received = 0;
}

/** A network whose connections add what they send and receive to the meter. */
export const metered = (net: Net, meter: Meter): Net => {
  const over = (wire: RawConnection): RawConnection => ({
    ...wire,
    write: (bytes) => {
      meter.sent += bytes.length;
      wire.write(bytes);
    },
    listen: (onBytes, onClose) =>
      wire.listen((bytes) => {
        meter.received += bytes.length;
        onBytes(bytes);
      }, onClose),
  });
  return {
    dial: async (address, timeoutMs) => (await net.dial(address, timeoutMs)).map(over),
    listen: (address, onWire) => net.listen(address, (wire) => onWire(over(wire))),
  };
};

/** A loopback address whose port was free a moment ago. */
export const freeAddress = (): Promise<string> =>
  new Promise((found) => {
    const server = createServer();
    server.listen(0, '127.0.0.1', () => {
      const at = server.address();
      server.close(() => found(`127.0.0.1:${at !== null && typeof at === 'object' ? at.port : 0}`));
    });
  });
