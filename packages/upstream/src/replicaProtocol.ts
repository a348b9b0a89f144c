/** The completion protocol between a gateway and a replica: the request, its event stream and its errors. */
import { createParser } from 'eventsource-parser';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { HttpClient, HttpClientResponse } from '@martenworks/core-types';

/** The supported completion endpoints. */
export type CompletionPath = '/v1/completions' | '/v1/chat/completions';

/**
 * One attempt at a replica. `weights` is the weights version that the replica must run, `cacheFrom` the address from
 * which it pulls the cached prefix.
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

/** One event of a response: a chunk as JSON text, the regular end, a truncated stream, or a chunk of other weights. */
export type CompletionEvent =
  | { readonly kind: 'chunk'; readonly data: string }
  | { readonly kind: 'done' }
  | { readonly kind: 'truncated'; readonly cause: string }
  | { readonly kind: 'wrongWeights'; readonly cause: string };

/**
 * The error of an attempt that did not return a stream. `isUnsent` is true if no byte of the request was written;
 * `status` is null if there was no response.
 */
export interface ReplicaAttemptError {
  readonly kind: 'replicaAttempt';
  readonly isUnsent: boolean;
  readonly status: number | null;
  readonly cause: string;
  readonly retryAfterSeconds: number | null;
}

const noRetryAfter = { retryAfterSeconds: null };

const retryAfterOf = (response: HttpClientResponse): number | null => {
  const value = response.header('retry-after');
  return value !== null && /^\d{1,6}$/.test(value) ? Number(value) : null;
};

const doneMarker = '[DONE]';

const sseData = async function* (body: AsyncIterable<Uint8Array>): AsyncGenerator<string> {
  const pending: string[] = [];
  const parser = createParser({ onEvent: (event) => void pending.push(event.data) });
  const decoder = new TextDecoder();
  for await (const bytes of body) {
    parser.feed(decoder.decode(bytes, { stream: true }));
    while (pending.length > 0) yield pending.shift() as string;
  }
};

interface CompletionChunk {
  readonly id?: unknown;
  readonly model?: unknown;
  readonly error?: unknown;
  readonly choices?: readonly { readonly index?: unknown; readonly finish_reason?: unknown }[] | null;
}

/** Which choices of a completion have begun, and which have given a finish reason. */
class ChoiceProgress {
  private readonly begun = new Set<unknown>();
  private readonly finished = new Set<unknown>();

  readonly add = ({ choices }: CompletionChunk): void => {
    for (const { index = 0, finish_reason } of choices ?? []) {
      this.begun.add(index);
      if (typeof finish_reason === 'string') this.finished.add(index);
    }
  };

  readonly areAllFinished = (): boolean => this.finished.size > 0 && this.finished.size === this.begun.size;
}

const parseChunk = (data: string): CompletionChunk | null => {
  try {
    const value: unknown = JSON.parse(data);
    return value !== null && typeof value === 'object' ? (value as CompletionChunk) : null;
  } catch {
    return null;
  }
};

const completionEvents = async function* (
  body: AsyncIterable<Uint8Array>,
  weights: string,
): AsyncGenerator<CompletionEvent> {
  let responseId: unknown;
  const choices = new ChoiceProgress();
  try {
    for await (const data of sseData(body)) {
      if (data === doneMarker) {
        yield choices.areAllFinished()
          ? { kind: 'done' }
          : { kind: 'truncated', cause: 'the end marker came before a finish reason' };
        return;
      }
      const chunk = parseChunk(data);
      if (chunk === null) return yield { kind: 'truncated', cause: 'a chunk is not a JSON object' };
      if (chunk.error !== undefined)
        return yield { kind: 'truncated', cause: 'the replica reported an error mid-stream' };
      if (chunk.model !== weights)
        return yield { kind: 'wrongWeights', cause: `the replica ran ${String(chunk.model)}` };
      if (responseId === undefined) responseId = chunk.id;
      if (typeof responseId !== 'string' || chunk.id !== responseId)
        return yield { kind: 'truncated', cause: 'the response id changed within the stream' };
      choices.add(chunk);
      yield { kind: 'chunk', data };
    }
    yield { kind: 'truncated', cause: 'the stream ended without its end marker' };
  } catch (cause) {
    yield { kind: 'truncated', cause: (cause as { code?: string }).code ?? 'the stream broke' };
  }
};

const discardBody = async (response: HttpClientResponse): Promise<void> => {
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

interface CompletionChoice {
  readonly index?: number;
  readonly text?: string;
  readonly delta?: { readonly content?: string };
  readonly finish_reason?: string | null;
}

const assembleResponse = (path: CompletionPath, chunkTexts: readonly string[]): Record<string, unknown> => {
  const chunks = chunkTexts.map((data) => JSON.parse(data) as Record<string, unknown>);
  const choicesByIndex = new Map<number, { text: string; finish: string | null }>();
  for (const chunk of chunks) {
    for (const choice of (chunk.choices as CompletionChoice[] | undefined) ?? []) {
      const index = choice.index ?? 0;
      const collected = choicesByIndex.get(index) ?? { text: '', finish: null };
      choicesByIndex.set(index, {
        text: collected.text + (choice.text ?? choice.delta?.content ?? ''),
        finish: choice.finish_reason ?? collected.finish,
      });
    }
  }
  const first = chunks[0] ?? {};
  const usage = chunks.map((chunk) => chunk.usage).findLast((value) => value !== undefined && value !== null);
  const isChat = path === '/v1/chat/completions';
  return {
    id: first.id,
    object: isChat ? 'chat.completion' : 'text_completion',
    created: first.created,
    model: first.model,
    choices: [...choicesByIndex].map(([index, { text, finish }]) => ({
      index,
      ...(isChat ? { message: { role: 'assistant', content: text } } : { text }),
      finish_reason: finish,
    })),
    ...(usage === undefined ? {} : { usage }),
  };
};

/**
 * Encodes and decodes the completion protocol. `send` makes one attempt, `events` yields the data of server-sent events,
 * `assembleResponse` joins chunks into the body of a response without streaming, and `promptOf` returns the text of a
 * request's prompt, or null where the body has no valid one.
 */
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
        ...noRetryAfter,
      });
    if (response.value.status !== 200) {
      await discardBody(response.value);
      return err({
        kind: 'replicaAttempt',
        isUnsent: false,
        status: response.value.status,
        cause: `status ${response.value.status}`,
        retryAfterSeconds: retryAfterOf(response.value),
      });
    }
    if (!(response.value.header('content-type') ?? '').startsWith('text/event-stream')) {
      await discardBody(response.value);
      return err({
        kind: 'replicaAttempt',
        isUnsent: false,
        status: 200,
        cause: 'the response is not an event stream',
        ...noRetryAfter,
      });
    }
    return ok(completionEvents(response.value.body, attempt.weights));
  },
  events: sseData,
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
