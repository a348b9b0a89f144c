/** Writes the rejections that the edge itself issues. */
import { background } from '@martenworks/core-types';
import type { HeaderCodec } from '@martenworks/core-types';
import type { Call } from './call.js';

/** A rejection as sent to the caller; `retryAfterMs` becomes a `Retry-After` header in seconds. */
export interface Rejection {
  readonly status: number;
  readonly message: string;
  readonly retryAfterMs: number | null;
  readonly closesConnection: boolean;
}

const msPerSecond = 1_000;
const retryAfterDecimals = 2;

/** Writes a rejection as a complete response with a JSON body, which HEAD omits (RFC 9110, section 9.3.2). */
export const rejectionWriter = {
  write: (
    headerCodec: HeaderCodec,
    call: Call,
    { status, message, retryAfterMs, closesConnection }: Rejection,
  ): void => {
    const bytes = Buffer.from(headerCodec.rejectionBody(message), 'utf8');
    const headers = ['Content-Type', 'application/json', 'Content-Length', String(bytes.length)];
    if (retryAfterMs !== null) headers.push('Retry-After', (retryAfterMs / msPerSecond).toFixed(retryAfterDecimals));
    const writer = call.respond(status, headers, closesConnection);
    if (call.method !== 'HEAD') background.run('write a response body', writer.write(bytes));
    writer.end();
  },
};
