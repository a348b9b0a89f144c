/** Hono middleware that reads request bodies within the bound of a request and the bound of the process. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Context, MiddlewareHandler } from 'hono';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { BodyBuffer } from './bodyBuffer.js';
import { IncomingBody, bodyReadErrors } from './incomingBody.js';
import type { BodyReadError } from './incomingBody.js';
import type { MemoryBudget, Reservation } from './memoryBudget.js';

/** Bounds and replies of the middleware. */
export interface BoundedBodiesOptions {
  readonly budget: MemoryBudget;
  /** The largest body, in bytes. */
  readonly limitBytes: number;
  /** Bytes that a complete body takes while it is handled, beside itself: its text and what is parsed from it. */
  readonly handlingBytes: (body: Uint8Array) => number;
  /** The reply to a request whose body was not read; nothing has run. */
  readonly reject: (c: Context, error: BodyReadError) => Response;
}

/** Present where the request came from a server of Node; a simulation has none. */
interface NodeBindings {
  readonly incoming?: IncomingMessage;
  readonly outgoing?: ServerResponse;
}

const bindingsOf = (c: Context): NodeBindings => (c.env as NodeBindings | undefined) ?? {};

/** Reads a body that is not behind a socket. */
const collect = async (
  stream: ReadableStream<Uint8Array>,
  reservation: Reservation,
  limitBytes: number,
): Promise<Result<Uint8Array, BodyReadError>> => {
  const buffer = new BodyBuffer(reservation);
  for await (const chunk of stream) {
    if (buffer.length() + chunk.length > limitBytes) return err(bodyReadErrors.tooLarge);
    if (!buffer.add(chunk)) return err(bodyReadErrors.noRoom);
  }
  return ok(buffer.take());
};

/** Reads a body into a reservation of its own, which is released if the body can't be read. */
const readBody = async (
  c: Context,
  { budget, limitBytes }: BoundedBodiesOptions,
): Promise<Result<{ readonly bytes: Uint8Array; readonly reservation: Reservation }, BodyReadError>> => {
  const { incoming } = bindingsOf(c);
  let evict: () => void = () => {};
  const reservation = budget.open(() => evict());
  const read = async (): Promise<Result<Uint8Array, BodyReadError>> => {
    if (Number(c.req.header('content-length') ?? 0) > limitBytes) return err(bodyReadErrors.tooLarge);
    if (incoming === undefined)
      return c.req.raw.body === null ? ok(new Uint8Array(0)) : collect(c.req.raw.body, reservation, limitBytes);
    const body = new IncomingBody(incoming, { reservation, now: () => performance.now() });
    evict = () => body.refuse(bodyReadErrors.noRoom);
    return body.read(limitBytes);
  };
  const bytes = await read();
  if (bytes.isErr()) reservation.release();
  return bytes.map((value) => ({ bytes: value, reservation }));
};

/** Reserves what the handling of a complete body takes. */
const reserveHandling = (
  bytes: Uint8Array,
  reservation: Reservation,
  { budget, handlingBytes }: BoundedBodiesOptions,
): Result<void, BodyReadError> => {
  const handling = handlingBytes(bytes);
  if (bytes.length + handling > budget.limitBytes) return err(bodyReadErrors.tooLarge);
  return reservation.grow(handling) ? ok(undefined) : err(bodyReadErrors.noRoom);
};

/** Calls back once the response has been sent or its connection has ended; at once where there is no server. */
const onceSent = (c: Context, callback: () => void): void => {
  const { outgoing } = bindingsOf(c);
  if (outgoing === undefined || outgoing.closed) callback();
  else outgoing.once('close', callback);
};

/**
 * Reads the body of each request before its handler runs, which finds it in the request as usual. The bytes stay counted
 * until the response has been sent.
 */
export const boundedBodies =
  (options: BoundedBodiesOptions): MiddlewareHandler =>
  async (c, next) => {
    const body = await readBody(c, options);
    if (body.isErr()) return options.reject(c, body.error);
    const { bytes, reservation } = body.value;
    reservation.pin(true);
    const reserved = reserveHandling(bytes, reservation, options);
    if (reserved.isErr()) {
      reservation.release();
      return options.reject(c, reserved.error);
    }
    // Hono keeps promises in the cache, whatever its type says.
    c.req.bodyCache.arrayBuffer = Promise.resolve(bytes) as unknown as ArrayBuffer;
    await next();
    onceSent(c, reservation.release);
  };
