/** The HTTP API for callers: completions, health and readiness. */
import { Hono } from 'hono';
import type { Context } from 'hono';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { rejections, timing } from '@martenworks/core-types';
import type { Rejection } from '@martenworks/core-types';
import { MemoryBudget, boundedBodies, jsonCost } from '@martenworks/server-limits';
import type { BodyReadError } from '@martenworks/server-limits';
import { replicaProtocol } from '@martenworks/upstream';
import type { CompletionPath, CompletionEvent } from '@martenworks/upstream';
import type { Gateway } from '../gateway.js';
import type { StreamResponse } from '../gatewayRequest.js';

const maxCollectedBytes = 8 * 1024 * 1024;
/** Time allowed for the error event to reach the caller before the connection is reset. */
const errorFlushMs = 25;
const requestIdBytes = 12;
const encoder = new TextEncoder();

const errorBody = (rejection: Rejection, requestId: string): Record<string, unknown> => ({
  error: { type: rejection.code, message: rejection.detail, ran: rejection.ran, request_id: requestId },
});

const rejectionReply = (c: Context, rejection: Rejection, requestId: string): Response =>
  c.json(errorBody(rejection, requestId), rejections.status(rejection) as 400, {
    'x-request-id': requestId,
    ...(rejection.retryAfterSeconds === null ? {} : { 'retry-after': String(rejection.retryAfterSeconds) }),
  });

/** One event; each line of the data is a field of its own (WHATWG HTML, "Server-sent events"). */
const dataEvent = (data: string): Uint8Array => encoder.encode(`data: ${data.replaceAll('\n', '\ndata: ')}\n\n`);

const streamReply = (gateway: Gateway, response: StreamResponse): Response => {
  const errorEvent = (cause: string): Uint8Array =>
    encoder.encode(
      `event: error\ndata: ${JSON.stringify(errorBody(rejections.of('cut_stream', 'unknown', cause), response.requestId))}\n\n`,
    );
  let isTruncated = false;
  const body = new ReadableStream<Uint8Array>(
    {
      pull: async (controller) => {
        if (isTruncated) {
          await timing.sleep(gateway.ports.clock, errorFlushMs);
          return controller.error(new Error('response stream truncated'));
        }
        const next = await response.events.next();
        if (next.done === true) return controller.error(new Error('response stream truncated'));
        const event: CompletionEvent = next.value;
        if (event.kind === 'chunk') return controller.enqueue(dataEvent(event.data));
        if (event.kind === 'done') {
          await response.events.return(undefined);
          controller.enqueue(dataEvent('[DONE]'));
          return controller.close();
        }
        isTruncated = true;
        await response.events.return(undefined);
        controller.enqueue(errorEvent(event.cause));
      },
      cancel: async () => void (await response.events.return(undefined)),
    },
    { highWaterMark: 0 },
  );
  return new Response(body, {
    status: 200,
    headers: { 'content-type': 'text/event-stream', 'cache-control': 'no-store', 'x-request-id': response.requestId },
  });
};

const collectedReply = async (c: Context, path: CompletionPath, response: StreamResponse): Promise<Response> => {
  const chunks: string[] = [];
  let size = 0;
  for await (const event of response.events) {
    if (event.kind === 'done')
      return c.json(replicaProtocol.assembleResponse(path, chunks), 200, { 'x-request-id': response.requestId });
    if (event.kind !== 'chunk')
      return rejectionReply(c, rejections.of('cut_stream', 'unknown', event.cause), response.requestId);
    chunks.push(event.data);
    size += event.data.length;
    if (size > maxCollectedBytes)
      return rejectionReply(
        c,
        rejections.of('cut_stream', 'unknown', 'the response is too large to buffer'),
        response.requestId,
      );
  }
  return rejectionReply(
    c,
    rejections.of('cut_stream', 'unknown', 'the response stream was truncated'),
    response.requestId,
  );
};

const keyOf = (c: Context): string | null => /^Bearer +(\S+)$/i.exec(c.req.header('authorization') ?? '')?.[1] ?? null;

const deadlineOf = (c: Context): number | null => {
  const header = c.req.header('x-horizon-ms');
  return header !== undefined && /^\d{1,9}$/.test(header) ? Math.max(1, Number(header)) : null;
};

const requestIdOf = (c: Context, gateway: Gateway): string => {
  const header = c.req.header('x-request-id');
  return header !== undefined && /^[\w.:-]{1,128}$/.test(header) ? header : gateway.ports.random.token(requestIdBytes);
};

const bodyOf = async (c: Context): Promise<Result<Record<string, unknown>, Rejection>> => {
  let body: unknown;
  try {
    body = await c.req.json();
  } catch {
    return err(rejections.of('bad_request', 'no', 'the body is not valid JSON'));
  }
  return body === null || typeof body !== 'object' || Array.isArray(body)
    ? err(rejections.of('bad_request', 'no', 'the body must be a JSON object'))
    : ok(body as Record<string, unknown>);
};

const completionHandler =
  (gateway: Gateway, path: CompletionPath) =>
  async (c: Context): Promise<Response> => {
    const requestId = requestIdOf(c, gateway);
    const body = await bodyOf(c);
    if (body.isErr()) return rejectionReply(c, body.error, requestId);
    const response = await gateway.serve({
      requestId,
      key: keyOf(c),
      path,
      body: body.value,
      deadlineMs: deadlineOf(c),
      idempotencyKey: c.req.header('idempotency-key') ?? null,
      signal: c.req.raw.signal,
    });
    if (response.kind === 'rejection') return rejectionReply(c, response, requestId);
    return body.value.stream === true ? streamReply(gateway, response) : collectedReply(c, path, response);
  };

const readinessReply = (gateway: Gateway, c: Context): Response => {
  const isReady = gateway.freshness.isFresh() && !gateway.stages.isDraining;
  return isReady
    ? c.json({ status: 'ready', generation: gateway.stateView.logIndex() })
    : c.json({ status: 'not ready', voices: gateway.freshness.freshNodeCount() }, 503, { 'retry-after': '1' });
};

const bodyRejections: Readonly<Record<BodyReadError['code'], Rejection>> = {
  BODY_TOO_LARGE: rejections.of('too_large', 'no', 'the body exceeds the size limit'),
  NO_ROOM: rejections.of('no_capacity', 'no', 'the gateway has no room for the body'),
  BODY_STALLED: rejections.of('no_capacity', 'no', 'the body paused for too long'),
  CALLER_GONE: rejections.of('caller_left', 'no', 'the body is incomplete'),
};

/** Creates the routes of one gateway's caller address. Bodies are counted in `budget`, by default without a bound. */
export const callerApi = (gateway: Gateway, budget = new MemoryBudget(Number.POSITIVE_INFINITY)): Hono => {
  const app = new Hono();
  const limited = boundedBodies({
    budget,
    limitBytes: gateway.settings.bodyLimitBytes,
    handlingBytes: jsonCost.of,
    reject: (c, error) => rejectionReply(c, bodyRejections[error.code], requestIdOf(c, gateway)),
  });
  app.post('/v1/completions', limited, completionHandler(gateway, '/v1/completions'));
  app.post('/v1/chat/completions', limited, completionHandler(gateway, '/v1/chat/completions'));
  app.get('/healthz', (c) => c.json({ status: 'ok' }));
  app.get('/readyz', (c) => readinessReply(gateway, c));
  app.notFound((c) =>
    rejectionReply(c, rejections.of('no_such_page', 'no', 'no such path or method'), requestIdOf(c, gateway)),
  );
  app.onError((cause, c) => {
    gateway.ports.log.error('request handler threw', { cause: String(cause.stack ?? cause) });
    return c.json({ error: { type: 'internal', message: 'internal error', ran: 'unknown' } }, 500);
  });
  return app;
};
