/** The completions API of a replica: requests, streamed chunks and errors. */
import type { Run } from './replicaRecords.js';

const maxTokens = 4_096;
const defaultTokens = 16;
const chatPath = '/v1/chat';
const encoder = new TextEncoder();

/** The fields of a request body that a replica uses. */
export interface CompletionRequest {
  readonly prompt: string;
  readonly weights: string;
  readonly priority: number;
  /** Number of tokens to generate, at least one. */
  readonly tokens: number;
}

type Body = Readonly<Record<string, unknown>>;

const promptOf = (body: Body): string => {
  if (typeof body.prompt === 'string') return body.prompt;
  const messages: readonly { readonly role?: unknown; readonly content?: unknown }[] = Array.isArray(body.messages)
    ? body.messages
    : [];
  return messages.map(({ role, content }) => `<${role}>\n${content}\n`).join('');
};

const read = async (request: Request): Promise<CompletionRequest | null> => {
  let body: Body;
  try {
    body = (await request.json()) as Body;
  } catch {
    return null;
  }
  return {
    prompt: promptOf(body),
    weights: String(body.model),
    priority: Number(body.priority ?? 0),
    tokens: Math.max(1, Math.min(maxTokens, Number(body.max_tokens ?? defaultTokens))),
  };
};

/** `read` returns null if the body is not JSON. */
export const completionRequest = { read };

const fault = (status: number, retryAfterSeconds: number | null): Response => {
  const headers: Record<string, string> =
    retryAfterSeconds === null ? {} : { 'retry-after': String(retryAfterSeconds) };
  return new Response('{"error":"fault"}', { status, headers });
};

const badBody = (): Response => new Response('{"error":"bad body"}', { status: 400 });

/** Generates frames only as the reader consumes them; an error of the source aborts the stream. */
const stream = (frames: AsyncGenerator<string>): Response => {
  const body = new ReadableStream<Uint8Array>(
    {
      pull: async (controller) => {
        try {
          const next = await frames.next();
          if (next.done === true) controller.close();
          else controller.enqueue(encoder.encode(next.value));
        } catch (cause) {
          controller.error(cause);
        }
      },
      cancel: async () => void (await frames.return(undefined)),
    },
    { highWaterMark: 0 },
  );
  return new Response(body, { headers: { 'content-type': 'text/event-stream' } });
};

/** The token counts in the last chunk. */
interface Usage {
  readonly promptTokens: number;
  readonly tokens: number;
}

const frame = (run: Run, model: string, text: string, last: Usage | null): string => {
  const isChat = run.path.startsWith(chatPath);
  const chunk = {
    id: run.runId,
    object: isChat ? 'chat.completion.chunk' : 'text_completion',
    created: 0,
    model,
    choices: [
      { index: 0, ...(isChat ? { delta: { content: text } } : { text }), finish_reason: last === null ? null : 'stop' },
    ],
    ...(last === null ? {} : { usage: { prompt_tokens: last.promptTokens, completion_tokens: last.tokens } }),
  };
  return `data: ${JSON.stringify(chunk)}\n\n`;
};

/** `frame` returns one chunk of a stream, `endFrame` is the end marker. */
export const completionResponse = { fault, badBody, stream, frame, endFrame: 'data: [DONE]\n\n' };
