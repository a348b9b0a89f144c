import { Readable } from 'node:stream';
import { Agent } from 'undici';
import { err, ok } from 'neverthrow';
import type { Carriage } from '@martenworks/core-types';

const headerList = (raw: unknown): readonly string[] =>
  Array.isArray(raw)
    ? raw.map(String)
    : Object.entries((raw ?? {}) as Record<string, string | string[]>).flatMap(([name, value]) =>
        Array.isArray(value) ? value.flatMap((one) => [name, one]) : [name, value],
      );

const unsentCodes = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'EADDRNOTAVAIL',
  'UND_ERR_CONNECT_TIMEOUT',
]);

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
export interface CarriageTerms {
  readonly connections: number;
  readonly connectMs: number;
}

const usualTerms: CarriageTerms = { connections: 256, connectMs: 1_000 };

export const carriages = {
  real: (localHost: string | null, terms: CarriageTerms = usualTerms): Carriage => {
    const agent = new Agent({
      connections: terms.connections,
      pipelining: 1,
      keepAliveTimeout: 4_000,
      headersTimeout: 0,
      bodyTimeout: 0,
      connect: { timeout: terms.connectMs, ...(localHost === null ? {} : { localAddress: localHost }) },
    });
    return {
      carry: async ({ method, url, headers, body, signal, gate }) => {
        let isGated = false;
        const bytes = typeof body === 'string' ? Buffer.from(body, 'utf8') : body;
        const gated = async function* (): AsyncGenerator<Uint8Array> {
          isGated = !gate();
          if (isGated) throw new Error('the gate is shut');
          yield bytes as Uint8Array;
        };
        try {
          const receipt = await agent.request({
            ...placeOf(url),
            method: method as 'GET',
            headers:
              bytes === null
                ? (headers as Record<string, string>)
                : (withLength(headers, bytes.length) as Record<string, string>),
            body: bytes === null ? null : Readable.from(gated(), { objectMode: false }),
            signal,
          });
          return ok({
            status: receipt.statusCode,
            headers: () => headerList(receipt.headers),
            header: (name) => {
              const held = receipt.headers[name.toLowerCase()];
              return Array.isArray(held) ? (held[0] ?? null) : (held ?? null);
            },
            body: receipt.body,
          });
        } catch (cause) {
          if (isGated) return err({ kind: 'net', code: 'GATED', isUnsent: true });
          const code = (cause as { code?: string }).code ?? 'UNKNOWN';
          return err({ kind: 'net', code, isUnsent: unsentCodes.has(code) });
        }
      },
      close: () => agent.destroy(),
    };
  },
};
