/** Reads the responses of the completions API: streams of server-sent events, whole bodies and errors. */
import { createParser } from 'eventsource-parser';

type JsonObject = Readonly<Record<string, unknown>>;

const asObject = (value: unknown): JsonObject =>
  typeof value === 'object' && value !== null ? (value as JsonObject) : {};
const asText = (value: unknown): string => (typeof value === 'string' ? value : '');

/** The error object of a rejection or of a stream that failed. */
export interface CompletionError {
  /** The stable error code; empty where the body has none. */
  readonly type: string;
  /** Whether the request ran: `yes`, `no` or `unknown`; empty where the body does not say. */
  readonly ran: string;
}

const parsed = (text: string): JsonObject => asObject(JSON.parse(text) as unknown);
const firstChoiceText = (body: JsonObject): string => {
  const choices: readonly unknown[] = Array.isArray(body.choices) ? body.choices : [];
  return asText(asObject(choices[0]).text);
};

/** Reads bodies that arrive whole. Each throws a `SyntaxError` where the text is no JSON. */
export const completionBodies = {
  error: (text: string): CompletionError => {
    const error = asObject(parsed(text).error);
    return { type: asText(error.type), ran: asText(error.ran) };
  },
  text: (text: string): string => firstChoiceText(parsed(text)),
};

/** Collects one streamed completion. */
export class CompletionStream {
  /** The text so far. */
  text = '';
  /** The id of the run that answers; empty until the first chunk. */
  runId = '';
  /** Set once the end marker came. */
  isEnded = false;
  /** The error event, if one came. */
  error: CompletionError | null = null;
  private readonly decoder = new TextDecoder();

  /** @param onChunk called after each chunk of text */
  constructor(private readonly onChunk: () => void = () => {}) {}

  private readonly parser = createParser({
    onEvent: ({ event, data }) => {
      if (event === 'error') this.error = completionBodies.error(data);
      else if (data === '[DONE]') this.isEnded = true;
      else this.addChunk(parsed(data));
    },
  });

  /** Takes the next bytes of the stream. */
  readonly feed = (bytes: Uint8Array): void => this.parser.feed(this.decoder.decode(bytes, { stream: true }));

  private readonly addChunk = (chunk: JsonObject): void => {
    if (this.runId === '') this.runId = asText(chunk.id);
    this.text += firstChoiceText(chunk);
    this.onChunk();
  };
}
