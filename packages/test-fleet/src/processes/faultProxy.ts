import { createConnection, createServer } from 'node:net';
import type { Server, Socket } from 'node:net';
import { addresses } from '@martenworks/core-types';

const blockedPollMs = 20;

export class FaultProxy {
  private readonly blockedSources = new Set<string>();
  private readonly sockets = new Set<Socket>();
  private server: Server | null = null;
  delayMs = 0;

  constructor(
    readonly at: string,
    public target: string,
  ) {}

  readonly open = (): Promise<void> =>
    new Promise((resolve, fail) => {
      const { host, port } = addresses.split(this.at);
      const server = createServer({ allowHalfOpen: false }, this.join);
      server.once('error', fail);
      server.listen(port, host, 1024, () => resolve());
      this.server = server;
    });

  private readonly join = (inbound: Socket): void => {
    const from = inbound.remoteAddress ?? '';
    const { host, port } = addresses.split(this.target);
    const outbound = createConnection({ host, port });
    for (const [one, other] of [
      [inbound, outbound],
      [outbound, inbound],
    ] as const) {
      one.setNoDelay(true);
      this.sockets.add(one);
      one.on('error', () => {});
      one.on('close', () => {
        this.sockets.delete(one);
        other.destroy();
      });
      one.on('data', (bytes) => {
        if (this.delayMs === 0 && !this.isBlocked(from)) return void other.write(bytes);
        one.pause();
        this.forwardAfter(from, this.delayMs, () => {
          if (!other.destroyed) other.write(bytes);
          one.resume();
        });
      });
    }
  };

  private readonly forwardAfter = (from: string, delayMs: number, act: () => void): void => {
    setTimeout(() => (this.isBlocked(from) ? this.forwardAfter(from, blockedPollMs, act) : act()), delayMs);
  };

  private readonly isBlocked = (from: string): boolean => this.blockedSources.has(from) || this.blockedSources.has('*');

  readonly block = (from: string): void => void this.blockedSources.add(from);

  readonly heal = (): void => {
    this.blockedSources.clear();
    this.delayMs = 0;
  };

  readonly close = async (): Promise<void> => {
    const { server } = this;
    this.server = null;
    const closed = new Promise<void>((done) => (server === null ? done() : server.close(() => done())));
    for (const socket of this.sockets) socket.destroy();
    await closed;
  };
}
