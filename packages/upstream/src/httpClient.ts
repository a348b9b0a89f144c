/** The HTTP client for replicas and other services: one request per connection at a time, no retries by undici. */
import { err, ok } from 'neverthrow';
import type { HttpClient } from '@martenworks/core-types';
import { GatedAgent } from './gatedAgent.js';
import type { RequestGates } from './gatedAgent.js';

const hasHeader = (headers: readonly string[], wanted: string): boolean =>
  headers.some((name, at) => at % 2 === 0 && name.toLowerCase() === wanted);

const withContentLength = (
  headers: Record<string, string> | readonly string[],
  size: number,
): Record<string, string> | string[] => {
  if (!Array.isArray(headers)) return { ...(headers as Record<string, string>), 'content-length': String(size) };
  return hasHeader(headers as string[], 'content-length')
    ? [...(headers as string[])]
    : [...(headers as string[]), 'content-length', String(size)];
};

const schemeEnd = 'http://'.length;

/** Splits a URL without normalizing its path, as a URL object would. */
const splitUrl = (url: string): { origin: string; path: string } => {
  const at = url.indexOf('/', schemeEnd);
  return at < 0 ? { origin: url, path: '/' } : { origin: url.slice(0, at), path: url.slice(at) };
};

/** The maximum number of connections to one origin, and the connect timeout in milliseconds. */
export interface HttpClientOptions {
  readonly connections: number;
  readonly connectTimeoutMs: number;
}

const defaultOptions: HttpClientOptions = { connections: 256, connectTimeoutMs: 1_000 };

/**
 * Creates clients on real sockets. Errors have the code of undici or of the operating system; `isUnsent` is true if no
 * byte of the request was written.
 */
export const httpClients = {
  real: (localHost: string | null, options: HttpClientOptions = defaultOptions): HttpClient => {
    const agent = new GatedAgent({
      connections: options.connections,
      pipelining: 1,
      keepAliveTimeout: 4_000,
      headersTimeout: 0,
      bodyTimeout: 0,
      connect: { timeout: options.connectTimeoutMs, ...(localHost === null ? {} : { localAddress: localHost }) },
    });
    return {
      send: async ({ method, url, headers, body, signal, gate, accepts }) => {
        const bytes = typeof body === 'string' ? Buffer.from(body, 'utf8') : body;
        let isSent = false;
        let receivedHeaders: readonly string[] = [];
        const gates: RequestGates = {
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
        const requestOptions = {
          ...splitUrl(url),
          method: method as 'GET',
          headers: (bytes === null ? headers : withContentLength(headers, bytes.length)) as Record<string, string>,
          body: bytes,
          signal,
          gates,
        };
        try {
          const response = await agent.request(requestOptions);
          return ok({
            status: response.statusCode,
            headers: () => receivedHeaders,
            header: (name) => {
              const value = response.headers[name.toLowerCase()];
              return Array.isArray(value) ? (value[0] ?? null) : (value ?? null);
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
