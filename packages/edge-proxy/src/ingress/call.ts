/** A caller's request and the answer to it, apart from the server that they came by. */
import type { Result } from 'neverthrow';
import type { BodyError } from '../errors.js';

/** One caller's request as it came: header lists alternate names and values, bodies are bytes. */
export interface Call {
  readonly method: string;
  readonly target: string;
  readonly host: string;
  readonly headers: readonly string[];
  readonly headerBytes: number;
  readonly body: (limitBytes: number) => Promise<Result<Uint8Array, BodyError>>;
  readonly onDisconnect: (listener: () => void) => void;
  readonly respond: (status: number, headers: readonly string[], isLast: boolean) => ResponseWriter;
}

/** `cut` ends the answer so that it can't look whole. */
export interface ResponseWriter {
  readonly write: (bytes: Uint8Array) => Promise<void>;
  readonly end: () => void;
  readonly abort: () => void;
}
