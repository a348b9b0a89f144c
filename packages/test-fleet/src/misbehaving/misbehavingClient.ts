/** One client that doesn't behave: it sends what it was given, as fast as its peer reads, and keeps its connection. */
import { connect } from 'node:net';
import type { Socket } from 'node:net';

/** What one client sends, and whether it reads the responses. */
export interface ClientScript {
  /** Sent once, first. */
  readonly head: string;
  /** Sent `repetitions` times after the head; shared by all clients of a crowd. */
  readonly part: Buffer;
  readonly repetitions: number;
  /** Whether the client reads what it is sent. */
  readonly reads: boolean;
}

/** Sends its script and then stays connected, until its peer closes the connection or `close` is called. */
export class MisbehavingClient {
  private readonly socket: Socket;
  private remaining: number;
  private hasEnded = false;

  constructor(
    address: string,
    private readonly script: ClientScript,
  ) {
    const [host, port] = address.split(':');
    this.remaining = script.repetitions;
    this.socket = connect({ host: host ?? '', port: Number(port), noDelay: true });
    this.socket.on('error', () => {});
    this.socket.once('close', () => {
      this.hasEnded = true;
    });
    if (script.reads) this.socket.resume();
    this.socket.once('connect', () => {
      if (script.head !== '') this.socket.write(script.head, 'latin1');
      this.send();
    });
    this.socket.on('drain', this.send);
  }

  /** Whether the client has nothing more to do: all was sent, or the connection has ended. */
  readonly isSettled = (): boolean =>
    this.hasEnded || (!this.socket.connecting && this.remaining === 0 && this.socket.writableLength === 0);

  /** Whether the connection is still open. */
  readonly isConnected = (): boolean => !this.hasEnded && !this.socket.connecting;

  /** Ends the connection at once. */
  readonly close = (): void => void this.socket.destroy();

  private readonly send = (): void => {
    while (this.remaining > 0 && !this.socket.destroyed) {
      this.remaining -= 1;
      if (!this.socket.write(this.script.part)) return;
    }
  };
}
