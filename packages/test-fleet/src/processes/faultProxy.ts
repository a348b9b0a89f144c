/** A TCP proxy on loopback that can hold back or delay what passes through it, by the address it came from. */
import { createConnection, createServer } from 'node:net';
import type { Server, Socket } from 'node:net';
import { addresses } from '@martenworks/core-types';

const blockedPollMs = 20;
const backlog = 1_024;
const anySource = '*';

/** Bytes that are held back are not lost: they go on once the link is healed. */
export class FaultProxy {
  private readonly blockedSources = new Set<string>();
  private readonly sockets = new Set<Socket>();
  private server: Server | null = null;
  private delayMs = 0;

  /**
   * @param address the address `IP:PORT` that callers use
   * @param target the address that it passes on to; a change holds for connections opened after it
   */
  constructor(
    readonly address: string,
    public target: string,
  ) {}

  /** Rejects where the address cannot be bound. */
  readonly open = (): Promise<void> =>
    new Promise((resolve, fail) => {
      const { host, port } = addresses.split(this.address);
      const server = createServer({ allowHalfOpen: false }, this.join);
      server.once('error', fail);
      server.listen(port, host, backlog, () => resolve());
      this.server = server;
    });

  private readonly join = (inbound: Socket): void => {
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

  private readonly afterDelay = (source: string, delayMs: number, act: () => void): void => {
    setTimeout(() => (this.isBlocked(source) ? this.afterDelay(source, blockedPollMs, act) : act()), delayMs);
  };

  private readonly isBlocked = (source: string): boolean =>
    this.blockedSources.has(source) || this.blockedSources.has(anySource);

  /** Holds back both directions of connections from that IP, or of all with `*`. */
  readonly block = (source: string): void => void this.blockedSources.add(source);

  /** Delays everything by milliseconds. */
  readonly delay = (delayMs: number): void => {
    this.delayMs = delayMs;
  };

  /** Ends all blocks and the delay. */
  readonly heal = (): void => {
    this.blockedSources.clear();
    this.delayMs = 0;
  };

  /** Stops listening and breaks all connections; `open` may follow. */
  readonly close = async (): Promise<void> => {
    const { server } = this;
    this.server = null;
    const closed = new Promise<void>((done) => (server === null ? done() : server.close(() => done())));
    for (const socket of this.sockets) socket.destroy();
    await closed;
  };
}
