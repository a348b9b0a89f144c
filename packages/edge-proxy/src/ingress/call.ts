/** A caller's request and the response to it, independent of the server that received it. */
import type { Result } from 'neverthrow';
import type { BodyReadError } from '@martenworks/server-limits';

/** One caller's request as received. Header lists alternate names and values; bodies are bytes. */
export interface Call {
  readonly method: string;
  readonly target: string;
  readonly host: string;
  readonly headers: readonly string[];
  readonly headerBytes: number;
  readonly body: (limitBytes: number) => Promise<Result<Uint8Array, BodyReadError>>;
  readonly onDisconnect: (listener: () => void) => void;
  readonly respond: (status: number, headers: readonly string[], isLast: boolean) => ResponseWriter;
}

/** Writes the response body. `abort` ends it so that the caller can't take it for complete. */
export interface ResponseWriter {
  readonly write: (bytes: Uint8Array) => Promise<void>;
  readonly end: () => void;
  readonly abort: () => void;
}
