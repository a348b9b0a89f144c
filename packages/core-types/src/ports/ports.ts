/** The interfaces between a node and the machine that it runs on; simulations have implementations of their own. */
import type { Result } from 'neverthrow';
import type { DiskError, NetworkError } from '../errors.js';

/** A scheduled timer; cancelling it after its callback has run has no effect. */
export interface Timer {
  readonly cancel: () => void;
}

/**
 * A clock. `now` is monotonic and `wall` the time of day, both in milliseconds; `after` calls back once, after a delay
 * in milliseconds.
 */
export interface Clock {
  readonly now: () => number;
  readonly wall: () => number;
  readonly after: (delayMs: number, callback: () => void) => Timer;
}

/** A source of random fractions in [0, 1) and of tokens of random bytes in hexadecimal. */
export interface Random {
  readonly fraction: () => number;
  readonly token: (byteCount: number) => string;
}

/** A file that is open for appending; appended bytes survive a power loss only once `sync` has completed. */
export interface DiskFile {
  readonly append: (bytes: Uint8Array) => Promise<Result<void, DiskError>>;
  readonly sync: () => Promise<Result<void, DiskError>>;
  readonly close: () => Promise<void>;
}

/**
 * One data folder without subfolders. `read` returns null where there is no such file; it may return bytes that another
 * process wrote but did not sync, which `sync` makes durable. `replace` is atomic. `open`, `replace`, `truncate` and
 * `remove` are durable once they have completed.
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
 * A byte stream connection. `bufferedBytes` is the number of written bytes that are not sent yet. `listen` must be
 * called once; it calls `onClose` once, after the last bytes.
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

/** Opens and accepts connections; addresses have the form `HOST:PORT`. */
export interface Net {
  readonly dial: (address: string, timeoutMs: number) => Promise<Result<RawConnection, NetworkError>>;
  readonly listen: (
    address: string,
    onConnection: (connection: RawConnection) => void,
  ) => Promise<Result<Listener, NetworkError>>;
}

/** Handles one HTTP request. */
export type WebHandler = (request: Request) => Response | Promise<Response>;

/** Serves HTTP at an address. */
export interface HttpServer {
  readonly open: (address: string, handler: WebHandler) => Promise<Result<Listener, NetworkError>>;
}

/**
 * The head of a response. With `isDelimited` the end of its body can be distinguished from a broken connection
 * (RFC 9112, section 6.3).
 */
export interface HttpResponseHead {
  readonly status: number;
  readonly headers: readonly string[];
  readonly isDelimited: boolean;
}

/**
 * One request to a backend. `gate` is called once, immediately before the first byte is written; where it returns
 * false, the request is not sent. `accepts` is called with the head of the response before its body is read; where it
 * returns false, the request fails with `HEAD_REFUSED` and its connection is closed.
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
 * The response to a request. `header` ignores the case of names; `headers` alternates names and values in the order
 * received. The body can be read once, and its iteration throws where the connection breaks.
 */
export interface HttpClientResponse {
  readonly status: number;
  readonly header: (name: string) => string | null;
  readonly headers: () => readonly string[];
  readonly body: AsyncIterable<Uint8Array>;
}

/** Sends HTTP requests over pooled connections; `close` closes all of them, in use or idle. */
export interface HttpClient {
  readonly send: (request: HttpClientRequest) => Promise<Result<HttpClientResponse, NetworkError>>;
  readonly close: () => Promise<void>;
}

/** All ports of a node. */
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
