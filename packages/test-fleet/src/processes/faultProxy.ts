/** A TCP proxy on loopback that can block traffic by source address, or delay all traffic. */
import { createConnection, createServer } from 'node:net';
import type { Server, Socket } from 'node:net';
import { addresses } from '@martenworks/core-types';

const blockedPollMs = 20;
const backlog = 1_024;
const anySource = '*';

/** Blocked bytes are not lost: they are forwarded once the link is healed. */
export class FaultProxy {
  private readonly blockedSources = new Set<string>();
  private readonly sockets = new Set<Socket>();
  private server: Server | null = null;
  private delayMs = 0;

  /**
   * @param address the address `IP:PORT` that callers use
   * @param target the address that it forwards to; a change applies to connections opened afterwards
   */
  constructor(
    readonly address: string,
    public target: string,
  ) {}

  /** Starts listening; rejects if the address cannot be bound. */
  readonly open = (): Promise<void> =>
    new Promise((resolve, reject) => {
      const { host, port } = addresses.split(this.address);
      const server = createServer({ allowHalfOpen: false }, this.onConnection);
      server.once('error', reject);
      server.listen(port, host, backlog, () => resolve());
      this.server = server;
    });

  private readonly onConnection = (inbound: Socket): void => {
    const source = inbound.remoteAddress ?? '';
    const { host, port } = addresses.split(this.target);
    const outbound = createConnection({ host, port });
    this.forward(source, inbound, outbound);
    this.forward(source, outbound, inbound);
  };

  private readonly forward = (source: string, from: Socket, to: Socket): void => {
    from.setNoDelay(true);
    this.sockets.add(from);
    from.on('error', () => {});
    from.on('close', () => {
      this.sockets.delete(from);
      to.destroy();
    });
    from.on('data', (bytes) => {
      if (this.delayMs === 0 && !this.isBlocked(source)) return void to.write(bytes);
      from.pause();
      this.afterDelay(source, this.delayMs, () => {
        if (!to.destroyed) to.write(bytes);
        from.resume();
      });
    });
  };

  private readonly afterDelay = (source: string, delayMs: number, callback: () => void): void => {
    setTimeout(() => (this.isBlocked(source) ? this.afterDelay(source, blockedPollMs, callback) : callback()), delayMs);
  };

  private readonly isBlocked = (source: string): boolean =>
    this.blockedSources.has(source) || this.blockedSources.has(anySource);

  /** Blocks both directions of connections from this source IP, or of all connections with `*`. */
  readonly block = (source: string): void => void this.blockedSources.add(source);

  /** Delays all traffic by this many milliseconds. */
  readonly delay = (delayMs: number): void => {
    this.delayMs = delayMs;
  };

  /** Removes all blocks and the delay. */
  readonly heal = (): void => {
    this.blockedSources.clear();
    this.delayMs = 0;
  };

  /** Stops listening and destroys all connections; `open` may be called again. */
  readonly close = async (): Promise<void> => {
    const { server } = this;
    this.server = null;
    const closed = new Promise<void>((done) => (server === null ? done() : server.close(() => done())));
    for (const socket of this.sockets) socket.destroy();
    await closed;
  };
}
