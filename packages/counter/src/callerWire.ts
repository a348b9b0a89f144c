import { Hono } from 'hono';
import type { Context } from 'hono';
import { bodyLimit } from 'hono/body-limit';
import { deny, pause } from '@martenworks/core-types';
import type { Deny } from '@martenworks/core-types';
import { backWire } from '@martenworks/upstream';
import type { CompletionPath, Piece } from '@martenworks/upstream';
import type { Counter } from './counter.js';
import type { StreamReceipt } from './parcel.js';

const wholeLimit = 8 * 1024 * 1024;
const flushMs = 25;
const encoder = new TextEncoder();

const errorBody = (denied: Deny, requestId: string): Record<string, unknown> => ({
  error: { type: denied.code, message: denied.detail, ran: denied.ran, request_id: requestId },
});

const denyReply = (c: Context, denied: Deny, requestId: string): Response =>
  c.json(errorBody(denied, requestId), deny.status(denied) as 400, {
    'x-request-id': requestId,
    ...(denied.retryAfterSeconds === null ? {} : { 'retry-after': String(denied.retryAfterSeconds) }),
  });

const streamReply = (counter: Counter, receipt: StreamReceipt): Response => {
  const cut = (cause: string): Uint8Array =>
    encoder.encode(
      `event: error\ndata: ${JSON.stringify(errorBody(deny.of('cut_stream', 'unknown', cause), receipt.requestId))}\n\n`,
    );
  let isCut = false;
  const body = new ReadableStream<Uint8Array>(
    {
      pull: async (controller) => {
        if (isCut) {
          await pause.for(counter.ports.clock, flushMs);
          return controller.error(new Error('the stream was cut'));
        }
        const next = await receipt.pieces.next();
        if (next.done === true) return controller.error(new Error('the stream was cut'));
        const piece: Piece = next.value;
        if (piece.kind === 'piece') return controller.enqueue(encoder.encode(`data: ${piece.data}\n\n`));
        if (piece.kind === 'done') {
          await receipt.pieces.return(undefined);
          controller.enqueue(encoder.encode('data: [DONE]\n\n'));
          return controller.close();
        }
        isCut = true;
        await receipt.pieces.return(undefined);
        controller.enqueue(cut(piece.cause));
      },
      cancel: async () => void (await receipt.pieces.return(undefined)),
    },
    { highWaterMark: 0 },
  );
  return new Response(body, {
    status: 200,
    headers: { 'content-type': 'text/event-stream', 'cache-control': 'no-store', 'x-request-id': receipt.requestId },
  });
};

const wholeReply = async (c: Context, path: CompletionPath, receipt: StreamReceipt): Promise<Response> => {
  const datas: string[] = [];
  let size = 0;
  for await (const piece of receipt.pieces) {
    if (piece.kind === 'done')
      return c.json(backWire.assemble(path, datas), 200, { 'x-request-id': receipt.requestId });
    if (piece.kind !== 'piece') return denyReply(c, deny.of('cut_stream', 'unknown', piece.cause), receipt.requestId);
    datas.push(piece.data);
    size += piece.data.length;
    if (size > wholeLimit)
      return denyReply(c, deny.of('cut_stream', 'unknown', 'the receipt is too large to hold'), receipt.requestId);
  }
  return denyReply(c, deny.of('cut_stream', 'unknown', 'the stream was cut'), receipt.requestId);
};

const keyOf = (c: Context): string | null => /^Bearer +(\S+)$/i.exec(c.req.header('authorization') ?? '')?.[1] ?? null;

const horizonOf = (c: Context): number | null => {
  const given = c.req.header('x-horizon-ms');
  return given !== undefined && /^\d{1,9}$/.test(given) ? Math.max(1, Number(given)) : null;
};

const requestIdOf = (c: Context, counter: Counter): string => {
  const given = c.req.header('x-request-id');
  return given !== undefined && /^[\w.:-]{1,128}$/.test(given) ? given : counter.ports.random.token(12);
};

export const callerWire = (counter: Counter): Hono => {
  const app = new Hono();
  const completion =
    (path: CompletionPath) =>
    async (c: Context): Promise<Response> => {
      const requestId = requestIdOf(c, counter);
      let body: unknown;
      try {
        body = await c.req.json();
      } catch {
        return denyReply(c, deny.of('bad_request', 'no', 'the body is not JSON'), requestId);
      }
      if (body === null || typeof body !== 'object' || Array.isArray(body))
        return denyReply(c, deny.of('bad_request', 'no', 'the body must be an object'), requestId);
      const fields = body as Record<string, unknown>;
      const receipt = await counter.serve({
        requestId,
        key: keyOf(c),
        path,
        body: fields,
        horizonMs: horizonOf(c),
        idempotencyKey: c.req.header('idempotency-key') ?? null,
        signal: c.req.raw.signal,
      });
      if (receipt.kind === 'deny') return denyReply(c, receipt, requestId);
      return fields.stream === true ? streamReply(counter, receipt) : wholeReply(c, path, receipt);
    };
  const limited = bodyLimit({
    maxSize: counter.env.bodyLimitBytes,
    onError: (c) => denyReply(c, deny.of('too_large', 'no', 'the body is over the limit'), requestIdOf(c, counter)),
  });
  app.post('/v1/completions', limited, completion('/v1/completions'));
  app.post('/v1/chat/completions', limited, completion('/v1/chat/completions'));
  app.get('/healthz', (c) => c.json({ status: 'ok' }));
  app.get('/readyz', (c) => {
    const isReady = counter.freshness.isFresh() && !counter.stages.isDraining;
    return isReady
      ? c.json({ status: 'ready', generation: counter.book.generation() })
      : c.json({ status: 'not ready', voices: counter.freshness.voiceCount() }, 503, { 'retry-after': '1' });
  });
  app.notFound((c) => denyReply(c, deny.of('no_such_page', 'no', 'no such path or method'), requestIdOf(c, counter)));
  app.onError((cause, c) => {
    counter.ports.log.error('a request broke its handler', { cause: String(cause.stack ?? cause) });
    return c.json({ error: { type: 'internal', message: 'a fault of ours', ran: 'unknown' } }, 500);
  });
  return app;
};
