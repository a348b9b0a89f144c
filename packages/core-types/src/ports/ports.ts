/** What a node needs of the machine it runs on; the simulation gives its own in the machine's place. */
import type { Result } from 'neverthrow';
import type { DiskError, NetworkError } from '../errors.js';

/** A timer that has been set; to cancel it later than its call changes nothing. */
export interface Timer {
  readonly cancel: () => void;
}

/**
 * `now` is monotonic and `wall` the time of day, both in milliseconds; `after` calls back once, after a delay in
 * milliseconds.
 */
export interface Clock {
  readonly now: () => number;
  readonly wall: () => number;
  readonly after: (delayMs: number, callback: () => void) => Timer;
}

/** A fraction of [0, 1), and a token of random bytes in hexadecimal. */
export interface Random {
  readonly fraction: () => number;
  readonly token: (byteCount: number) => string;
}

/** A file open for appending; what was appended survives a loss of power only once `sync` has ended. */
export interface DiskFile {
  readonly append: (bytes: Uint8Array) => Promise<Result<void, DiskError>>;
  readonly sync: () => Promise<Result<void, DiskError>>;
  readonly close: () => Promise<void>;
}

/**
 * One data folder, flat. `read` gives null where there is no such file, and else also what a process wrote that ended
 * before its sync; `sync` makes that durable. `replace` is atomic; `open`, `replace`, `truncate` and `remove` are synced
 * when they end.
 */
export interface Disk {
  readonly list: () => Promise<Result<string[], DiskError>>;
  readonly read: (name: string) => Promise<Result<Uint8Array | null, DiskError>>;
  readonly open: (name: string) => Promise<Result<DiskFile, DiskError>>;
  readonly replace: (name: string, bytes: Uint8Array) => Promise<Result<void, DiskError>>;
  readonly sync: (name: string) => Promise<Result<void, DiskError>>;
  readonly truncate: (name: string, size: number) => Promise<Result<void, DiskError>>;
  readonly remove: (name: string) => Promise<Result<void, DiskError>>;
}

/**
 * A connection of bytes. `bufferedBytes` is the bytes written that have not left; `listen` is called once, and calls
 * `onClose` once, after the last bytes.
 */
export interface RawConnection {
  readonly remoteAddress: string;
  readonly write: (bytes: Uint8Array) => void;
  readonly bufferedBytes: () => number;
  readonly listen: (onBytes: (bytes: Uint8Array) => void, onClose: () => void) => void;
  readonly close: () => void;
}

/** A listening socket; `close` also ends the connections it accepted. */
export interface Listener {
  readonly close: () => Promise<void>;
}

/** Connections by address, `HOST:PORT`; the timeout is in milliseconds. */
export interface Net {
  readonly dial: (address: string, timeoutMs: number) => Promise<Result<RawConnection, NetworkError>>;
  readonly listen: (
    address: string,
    onConnection: (connection: RawConnection) => void,
  ) => Promise<Result<Listener, NetworkError>>;
}

/** Answers one HTTP request. */
export type WebHandler = (request: Request) => Response | Promise<Response>;

/** Serves HTTP at an address. */
export interface HttpServer {
  readonly open: (address: string, handler: WebHandler) => Promise<Result<Listener, NetworkError>>;
}

/** The head of a response; `isDelimited` tells that its end can be told from a broken connection (RFC 9112, 6.3). */
export interface HttpResponseHead {
  readonly status: number;
  readonly headers: readonly string[];
  readonly isDelimited: boolean;
}

/**
 * One request to a back end. `gate` is asked as its first byte is about to be written, once; where it was not opened,
 * the request is unsent. `accepts` is asked with the head of the response, before its body; a head that is not accepted
 * ends the request (`HEAD_REFUSED`) and closes its connection.
 */
interface HttpClientRequest {
  readonly method: string;
  readonly url: string;
  readonly headers: Record<string, string> | readonly string[];
  readonly body: string | Uint8Array | null;
  readonly signal: AbortSignal;
  readonly gate: () => boolean;
  readonly accepts?: (head: HttpResponseHead) => boolean;
}

/**
 * The response to a request. Header names are matched without their case; `headers` alternates names and values as
 * they came. The body is read once, and its iteration throws where the connection breaks.
 */
export interface HttpClientResponse {
  readonly status: number;
  readonly header: (name: string) => string | null;
  readonly headers: () => readonly string[];
  readonly body: AsyncIterable<Uint8Array>;
}

/** HTTP requests over pooled connections; `close` ends those that are idle or running. */
export interface HttpClient {
  readonly send: (request: HttpClientRequest) => Promise<Result<HttpClientResponse, NetworkError>>;
  readonly close: () => Promise<void>;
}

/** All that a node needs of its machine. */
export interface Ports {
  readonly clock: Clock;
  readonly random: Random;
  readonly net: Net;
  readonly httpServer: HttpServer;
  readonly httpClient: HttpClient;
  readonly disk: Disk;
  readonly log: Log;
}

/** A structured log; `child` adds fields to each line. */
export interface Log {
  readonly info: (message: string, context?: Record<string, unknown>) => void;
  readonly warn: (message: string, context?: Record<string, unknown>) => void;
  readonly error: (message: string, context?: Record<string, unknown>) => void;
  readonly child: (context: Record<string, unknown>) => Log;
}
