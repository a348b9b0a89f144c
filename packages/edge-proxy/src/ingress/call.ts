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
  readonly whenGone: (listener: () => void) => void;
  readonly answer: (status: number, headers: readonly string[], isLast: boolean) => Reply;
}

/** `cut` ends the answer so that it can't look whole. */
export interface Reply {
  readonly write: (bytes: Uint8Array) => Promise<void>;
  readonly end: () => void;
  readonly cut: () => void;
}

const hopByHop = new Set([
  'connection',
  'keep-alive',
  'proxy-connection',
  'proxy-authenticate',
  'proxy-authorization',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  'expect',
]);

const find = (headers: readonly string[], wanted: string): string | null => {
  for (let at = 0; at < headers.length; at += 2)
    if (headers[at]?.toLowerCase() === wanted) return headers[at + 1] ?? null;
  return null;
};

export const headerLists = {
  find,
  /** Without the headers that concern one connection only (RFC 9110, 7.6.1), those that `Connection` names among them. */
  endToEnd: (headers: readonly string[]): string[] => {
    const named = new Set((find(headers, 'connection') ?? '').split(',').map((name) => name.trim().toLowerCase()));
    const kept: string[] = [];
    for (let at = 0; at < headers.length; at += 2) {
      const name = (headers[at] ?? '').toLowerCase();
      if (!hopByHop.has(name) && !named.has(name)) kept.push(headers[at] ?? '', headers[at + 1] ?? '');
    }
    return kept;
  },
  without: (headers: readonly string[], unwanted: ReadonlySet<string>): string[] => {
    const kept: string[] = [];
    for (let at = 0; at < headers.length; at += 2)
      if (!unwanted.has((headers[at] ?? '').toLowerCase())) kept.push(headers[at] ?? '', headers[at + 1] ?? '');
    return kept;
  },
};
