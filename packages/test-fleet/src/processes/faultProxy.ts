import { createConnection, createServer } from 'node:net';
import type { Server, Socket } from 'node:net';
import { addresses } from '@martenworks/core-types';

const lookMs = 20;

export class Relay {
  private readonly cuts = new Set<string>();
  private readonly sockets = new Set<Socket>();
  private server: Server | null = null;
  slowMs = 0;

  constructor(
    readonly at: string,
    public target: string,
  ) {}

  readonly open = (): Promise<void> =>
    new Promise((settle, fail) => {
      const { host, port } = addresses.split(this.at);
      const server = createServer({ allowHalfOpen: false }, this.join);
      server.once('error', fail);
      server.listen(port, host, 1024, () => settle());
      this.server = server;
    });

  private readonly join = (near: Socket): void => {
    const from = near.remoteAddress ?? '';
    const { host, port } = addresses.split(this.target);
    const far = createConnection({ host, port });
    for (const [one, other] of [
      [near, far],
      [far, near],
    ] as const) {
      one.setNoDelay(true);
      this.sockets.add(one);
      one.on('error', () => {});
      one.on('close', () => {
        this.sockets.delete(one);
        other.destroy();
      });
      one.on('data', (bytes) => {
        if (this.slowMs === 0 && !this.isCut(from)) return void other.write(bytes);
        one.pause();
        this.pass(from, this.slowMs, () => {
          if (!other.destroyed) other.write(bytes);
          one.resume();
        });
      });
    }
  };

  private readonly pass = (from: string, delayMs: number, act: () => void): void => {
    setTimeout(() => (this.isCut(from) ? this.pass(from, lookMs, act) : act()), delayMs);
  };

  private readonly isCut = (from: string): boolean => this.cuts.has(from) || this.cuts.has('*');

  readonly cut = (from: string): void => void this.cuts.add(from);

  readonly heal = (): void => {
    this.cuts.clear();
    this.slowMs = 0;
  };

  readonly shut = async (): Promise<void> => {
    const { server } = this;
    this.server = null;
    const closed = new Promise<void>((done) => (server === null ? done() : server.close(() => done())));
    for (const socket of this.sockets) socket.destroy();
    await closed;
  };
}
