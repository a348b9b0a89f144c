/** Bounds the open connections of an HTTP server, and closes those whose peers neither send nor read. */
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

const sweepIntervalMs = 1_000;

/** What a connection is doing, as far as its closing is concerned. */
interface OpenConnection {
  readonly socket: Socket;
  /** Requests whose response is not finished. */
  readonly exchanges: Set<IncomingMessage>;
  /** Bytes sent when the last sweep looked, and the sweeps since then without progress while bytes were waiting. */
  bytesWritten: number;
  stalledSweeps: number;
}

/** Bounds of one server. */
export interface ConnectionLimitOptions {
  readonly maxConnections: number;
  /** Requests that one connection may send without reading their responses (pipelining). */
  readonly maxPipelined: number;
  /** How long a peer may read nothing of a response, in milliseconds. */
  readonly unreadTimeoutMs: number;
}

const hasBytesWaiting = ({ socket }: OpenConnection): boolean => socket.writableLength > 0;

const isReceivingOnly = ({ exchanges }: OpenConnection): boolean =>
  [...exchanges].every((incoming) => !incoming.complete);

/**
 * Watches the connections of one server. When there are too many, it closes the one that has been without a complete
 * request for longest; if there is none, one whose peer doesn't read; if there is none either, the newest.
 */
export class ConnectionLimit {
  /** In the order in which they were opened or last completed a response. */
  private readonly connections = new Map<Socket, OpenConnection>();
  private sweepTimer: NodeJS.Timeout | null = null;
  private evictionCount = 0;

  constructor(
    server: Server,
    private readonly options: ConnectionLimitOptions,
  ) {
    server.prependListener('connection', this.addConnection);
    server.prependListener('request', this.addExchange);
    server.once('listening', () => {
      this.sweepTimer = setInterval(this.sweep, sweepIntervalMs);
      this.sweepTimer.unref();
    });
    server.once('close', this.stop);
  }

  /** Stops watching for peers that read nothing. */
  readonly stop = (): void => {
    if (this.sweepTimer !== null) clearInterval(this.sweepTimer);
  };

  /** Open connections, and those closed to make room or because their peer read nothing. */
  readonly status = (): { open: number; limit: number; evictions: number } => ({
    open: this.connections.size,
    limit: this.options.maxConnections,
    evictions: this.evictionCount,
  });

  private readonly addConnection = (socket: Socket): void => {
    if (this.connections.size >= this.options.maxConnections && !this.makeRoom()) {
      this.evictionCount += 1;
      socket.destroy();
      return;
    }
    this.connections.set(socket, { socket, exchanges: new Set(), bytesWritten: 0, stalledSweeps: 0 });
    socket.once('close', () => this.connections.delete(socket));
  };

  private readonly addExchange = (incoming: IncomingMessage, response: ServerResponse): void => {
    const connection = this.connections.get(incoming.socket);
    if (connection === undefined) return;
    connection.exchanges.add(incoming);
    if (connection.exchanges.size > this.options.maxPipelined) {
      this.evict(connection);
      return;
    }
    response.once('close', () => this.endExchange(connection, incoming));
  };

  private readonly endExchange = (connection: OpenConnection, incoming: IncomingMessage): void => {
    connection.exchanges.delete(incoming);
    if (!this.connections.delete(connection.socket)) return;
    this.connections.set(connection.socket, connection);
  };

  private readonly makeRoom = (): boolean => {
    const victim = this.find(isReceivingOnly) ?? this.find(({ stalledSweeps }) => stalledSweeps > 0);
    if (victim === null) return false;
    this.evict(victim);
    return true;
  };

  private readonly find = (isWanted: (connection: OpenConnection) => boolean): OpenConnection | null => {
    for (const connection of this.connections.values()) if (isWanted(connection)) return connection;
    return null;
  };

  private readonly evict = (connection: OpenConnection): void => {
    this.evictionCount += 1;
    this.connections.delete(connection.socket);
    connection.socket.resetAndDestroy();
  };

  private readonly sweep = (): void => {
    const maxSweeps = this.options.unreadTimeoutMs / sweepIntervalMs;
    for (const connection of this.connections.values()) {
      const { bytesWritten } = connection.socket;
      const isStalled = hasBytesWaiting(connection) && bytesWritten === connection.bytesWritten;
      connection.stalledSweeps = isStalled ? connection.stalledSweeps + 1 : 0;
      connection.bytesWritten = bytesWritten;
      if (connection.stalledSweeps > maxSweeps) this.evict(connection);
    }
  };
}
