/**
 * The HTTP client towards replicas and other services: one request per connection at a time, never retried by the
 * library.
 */
import { err, ok } from 'neverthrow';
import type { HttpClient } from '@martenworks/core-types';
import { GatedAgent } from './gatedAgent.js';
import type { Gates } from './gatedAgent.js';

const hasHeader = (headers: readonly string[], wanted: string): boolean =>
  headers.some((name, at) => at % 2 === 0 && name.toLowerCase() === wanted);

const withLength = (
  headers: Record<string, string> | readonly string[],
  size: number,
): Record<string, string> | string[] => {
  if (!Array.isArray(headers)) return { ...(headers as Record<string, string>), 'content-length': String(size) };
  return hasHeader(headers as string[], 'content-length')
    ? [...(headers as string[])]
    : [...(headers as string[]), 'content-length', String(size)];
};

const schemeEnd = 'http://'.length;

/** The path stays as it is written: a URL object would rewrite some. */
const placeOf = (url: string): { origin: string; path: string } => {
  const at = url.indexOf('/', schemeEnd);
  return at < 0 ? { origin: url, path: '/' } : { origin: url.slice(0, at), path: url.slice(at) };
};

/** Connections to one address at most, and milliseconds until a connection counts as not to be had. */
export interface HttpClientOptions {
  readonly connections: number;
  readonly connectTimeoutMs: number;
}

const usualTerms: HttpClientOptions = { connections: 256, connectTimeoutMs: 1_000 };

/**
 * Creates clients on real sockets. Their errors carry the code of undici or of the system and tell whether any byte was
 * written.
 */
export const httpClients = {
  real: (localHost: string | null, terms: HttpClientOptions = usualTerms): HttpClient => {
    const agent = new GatedAgent({
      connections: terms.connections,
      pipelining: 1,
      keepAliveTimeout: 4_000,
      headersTimeout: 0,
      bodyTimeout: 0,
      connect: { timeout: terms.connectTimeoutMs, ...(localHost === null ? {} : { localAddress: localHost }) },
    });
    return {
      send: async ({ method, url, headers, body, signal, gate, accepts }) => {
        const bytes = typeof body === 'string' ? Buffer.from(body, 'utf8') : body;
        let isSent = false;
        let receivedHeaders: readonly string[] = [];
        const gates: Gates = {
          mayWrite: () => {
            if (signal.aborted || !gate()) return false;
            isSent = true;
            return true;
          },
          accepts: (head) => {
            receivedHeaders = head.headers;
            return accepts?.(head) ?? true;
          },
        };
        const options = {
          ...placeOf(url),
          method: method as 'GET',
          headers: (bytes === null ? headers : withLength(headers, bytes.length)) as Record<string, string>,
          body: bytes,
          signal,
          gates,
        };
        try {
          const response = await agent.request(options);
          return ok({
            status: response.statusCode,
            headers: () => receivedHeaders,
            header: (name) => {
              const held = response.headers[name.toLowerCase()];
              return Array.isArray(held) ? (held[0] ?? null) : (held ?? null);
            },
            body: response.body,
          });
        } catch (cause) {
          return err({ kind: 'net', code: (cause as { code?: string }).code ?? 'UNKNOWN', isUnsent: !isSent });
        }
      },
      close: () => agent.destroy(),
    };
  },
};
