import { Readable } from 'node:stream';
import { Agent, request } from 'undici';
import { err, ok } from 'neverthrow';
import type { Carriage } from '@martenworks/envelope';

const unsentCodes = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'EADDRNOTAVAIL', 'UND_ERR_CONNECT_TIMEOUT']);

export const carriages = {
  real: (localHost: string | null): Carriage => {
    const agent = new Agent({
      connections: 256,
      pipelining: 1,
      keepAliveTimeout: 4_000,
      headersTimeout: 0,
      bodyTimeout: 0,
      connect: { timeout: 1_000, ...(localHost === null ? {} : { localAddress: localHost }) },
    });
    return {
      carry: async ({ method, url, headers, body, signal, gate }) => {
        let isGated = false;
        const gated = async function* (text: string): AsyncGenerator<Buffer> {
          isGated = !gate();
          if (isGated) throw new Error('the gate is shut');
          yield Buffer.from(text, 'utf8');
        };
        try {
          const receipt = await request(url, {
            dispatcher: agent,
            method,
            headers: body === null ? headers : { ...headers, 'content-length': String(Buffer.byteLength(body, 'utf8')) },
            body: body === null ? null : Readable.from(gated(body), { objectMode: false }),
            signal,
          });
          return ok({
            status: receipt.statusCode,
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
