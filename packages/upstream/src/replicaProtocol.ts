/** The completion protocol between a gateway and a replica: one attempt, its event stream and its errors. */
import { createParser } from 'eventsource-parser';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { HttpClient, HttpClientResponse } from '@martenworks/core-types';

/** The two completion endpoints that are served. */
export type CompletionPath = '/v1/completions' | '/v1/chat/completions';

/**
 * One attempt at one replica; `weights` is the model version that it has to run, `cacheFrom` the address to pull the
 * prefix from.
 */
export interface ReplicaAttempt {
  readonly requestId: string;
  readonly replica: string;
  readonly path: CompletionPath;
  readonly body: Record<string, unknown>;
  readonly weights: string;
  readonly tenant: string;
  readonly isIsolated: boolean;
  readonly priority: number;
  readonly cacheFrom: string | null;
  readonly signal: AbortSignal;
  readonly gate: () => boolean;
}

/**
 * One step of a response: a chunk as JSON text, its regular end, a cut stream, or a chunk from other weights than asked
 * for.
 */
export type CompletionEvent =
  | { readonly kind: 'chunk'; readonly data: string }
  | { readonly kind: 'done' }
  | { readonly kind: 'truncated'; readonly cause: string }
  | { readonly kind: 'wrongWeights'; readonly cause: string };

/**
 * An attempt that brought no stream; `isUnsent` tells that no byte reached the replica, `status` is null where no
 * response came.
 */
export interface ReplicaAttemptError {
  readonly kind: 'replicaAttempt';
  readonly isUnsent: boolean;
  readonly status: number | null;
  readonly cause: string;
  readonly retryAfterSeconds: number | null;
}

const noRetry = { retryAfterSeconds: null };

const retryAfterIn = (response: HttpClientResponse): number | null => {
  const told = response.header('retry-after');
  return told !== null && /^\d{1,6}$/.test(told) ? Number(told) : null;
};

const doneMark = '[DONE]';

const eventsIn = async function* (body: AsyncIterable<Uint8Array>): AsyncGenerator<string> {
  const ready: string[] = [];
  const parser = createParser({ onEvent: (event) => void ready.push(event.data) });
  const decoder = new TextDecoder();
  for await (const bytes of body) {
    parser.feed(decoder.decode(bytes, { stream: true }));
    while (ready.length > 0) yield ready.shift() as string;
  }
};

interface ChunkShape {
  readonly id?: unknown;
  readonly model?: unknown;
  readonly error?: unknown;
  readonly choices?: readonly { readonly finish_reason?: unknown }[];
}

const parsedChunk = (data: string): ChunkShape | null => {
  try {
    const value: unknown = JSON.parse(data);
    return value !== null && typeof value === 'object' ? (value as ChunkShape) : null;
  } catch {
    return null;
  }
};

const pieces = async function* (body: AsyncIterable<Uint8Array>, weights: string): AsyncGenerator<CompletionEvent> {
  let runId: unknown;
  let isFinished = false;
  try {
    for await (const data of eventsIn(body)) {
      if (data === doneMark) {
        yield isFinished
          ? { kind: 'done' }
          : { kind: 'truncated', cause: 'the end marker came before a finish reason' };
        return;
      }
      const chunk = parsedChunk(data);
      if (chunk === null) return yield { kind: 'truncated', cause: 'a chunk is not a JSON object' };
      if (chunk.error !== undefined)
        return yield { kind: 'truncated', cause: 'the replica reported an error mid-stream' };
      if (chunk.model !== weights)
        return yield { kind: 'wrongWeights', cause: `the replica ran ${String(chunk.model)}` };
      if (runId === undefined) runId = chunk.id;
      if (typeof runId !== 'string' || chunk.id !== runId)
        return yield { kind: 'truncated', cause: 'the run id changed within the stream' };
      if (chunk.choices?.some((choice) => typeof choice.finish_reason === 'string') === true) isFinished = true;
      yield { kind: 'chunk', data };
    }
    yield { kind: 'truncated', cause: 'the stream ended without its end marker' };
  } catch (cause) {
    yield { kind: 'truncated', cause: (cause as { code?: string }).code ?? 'the stream broke' };
  }
};

const drainQuietly = async (response: HttpClientResponse): Promise<void> => {
  let size = 0;
  try {
    for await (const bytes of response.body) {
      size += bytes.length;
      if (size > 65_536) return;
    }
  } catch {
    return;
  }
};

interface ChoiceShape {
  readonly index?: number;
  readonly text?: string;
  readonly delta?: { readonly content?: string };
  readonly finish_reason?: string | null;
}

const assembleResponse = (path: CompletionPath, datas: readonly string[]): Record<string, unknown> => {
  const chunks = datas.map((data) => JSON.parse(data) as Record<string, unknown>);
  const texts = new Map<number, { text: string; finish: string | null }>();
  for (const chunk of chunks) {
    for (const choice of (chunk.choices as ChoiceShape[] | undefined) ?? []) {
      const index = choice.index ?? 0;
      const held = texts.get(index) ?? { text: '', finish: null };
      texts.set(index, {
        text: held.text + (choice.text ?? choice.delta?.content ?? ''),
        finish: choice.finish_reason ?? held.finish,
      });
    }
  }
  const first = chunks[0] ?? {};
  const usage = chunks.map((chunk) => chunk.usage).findLast((held) => held !== undefined && held !== null);
  const isChat = path === '/v1/chat/completions';
  return {
    id: first.id,
    object: isChat ? 'chat.completion' : 'text_completion',
    created: first.created,
    model: first.model,
    choices: [...texts].map(([index, { text, finish }]) => ({
      index,
      ...(isChat ? { message: { role: 'assistant', content: text } } : { text }),
      finish_reason: finish,
    })),
    ...(usage === undefined ? {} : { usage }),
  };
};

/** Encoding and decoding of the completion protocol. */
export const replicaProtocol = {
  assembleResponse,
  send: async (
    httpClient: HttpClient,
    attempt: ReplicaAttempt,
  ): Promise<Result<AsyncGenerator<CompletionEvent>, ReplicaAttemptError>> => {
    const response = await httpClient.send({
      method: 'POST',
      url: `http://${attempt.replica}${attempt.path}`,
      headers: {
        'content-type': 'application/json',
        accept: 'text/event-stream',
        'x-request-id': attempt.requestId,
        'x-tenant': attempt.tenant,
        'x-priority': String(attempt.priority),
        ...(attempt.isIsolated ? { 'x-isolated': '1' } : {}),
        ...(attempt.cacheFrom === null ? {} : { 'cache-from': attempt.cacheFrom }),
      },
      body: JSON.stringify({ ...attempt.body, model: attempt.weights, stream: true, priority: attempt.priority }),
      signal: attempt.signal,
      gate: attempt.gate,
    });
    if (response.isErr())
      return err({
        kind: 'replicaAttempt',
        isUnsent: response.error.isUnsent,
        status: null,
        cause: response.error.code,
        ...noRetry,
      });
    if (response.value.status !== 200) {
      await drainQuietly(response.value);
      return err({
        kind: 'replicaAttempt',
        isUnsent: false,
        status: response.value.status,
        cause: `status ${response.value.status}`,
        retryAfterSeconds: retryAfterIn(response.value),
      });
    }
    if (!(response.value.header('content-type') ?? '').startsWith('text/event-stream')) {
      await drainQuietly(response.value);
      return err({
        kind: 'replicaAttempt',
        isUnsent: false,
        status: 200,
        cause: 'the receipt is no event stream',
        ...noRetry,
      });
    }
    return ok(pieces(response.value.body, attempt.weights));
  },
  events: eventsIn,
  promptOf: (path: CompletionPath, body: Record<string, unknown>): string | null => {
    if (path === '/v1/completions') return typeof body.prompt === 'string' ? body.prompt : null;
    const messages = body.messages;
    if (!Array.isArray(messages) || messages.length === 0) return null;
    const lines: string[] = [];
    for (const message of messages as unknown[]) {
      const { role, content } = (message ?? {}) as { role?: unknown; content?: unknown };
      if (typeof role !== 'string' || typeof content !== 'string') return null;
      lines.push(`<${role}>\n${content}\n`);
    }
    return lines.join('');
  },
};
