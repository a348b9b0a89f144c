/** Parses the responses of the completions API: streams of server-sent events, complete bodies and errors. */
import { createParser } from 'eventsource-parser';

type JsonObject = Readonly<Record<string, unknown>>;

const asObject = (value: unknown): JsonObject =>
  typeof value === 'object' && value !== null ? (value as JsonObject) : {};
const asString = (value: unknown): string => (typeof value === 'string' ? value : '');

/** The error object of a rejection or of a failed stream. */
export interface CompletionError {
  /** The stable error code; empty if the body has none. */
  readonly type: string;
  /** Whether the request ran: `yes`, `no` or `unknown`; empty if the body does not say. */
  readonly ran: string;
}

const parsed = (text: string): JsonObject => asObject(JSON.parse(text) as unknown);
const firstChoiceText = (body: JsonObject): string => {
  const choices: readonly unknown[] = Array.isArray(body.choices) ? body.choices : [];
  return asString(asObject(choices[0]).text);
};

/** Parses complete bodies. Each function throws a `SyntaxError` if the text is not JSON. */
export const completionBodies = {
  error: (text: string): CompletionError => {
    const error = asObject(parsed(text).error);
    return { type: asString(error.type), ran: asString(error.ran) };
  },
  text: (text: string): string => firstChoiceText(parsed(text)),
};

/** Parses one streamed completion. */
export class CompletionStream {
  /** The text received so far. */
  text = '';
  /** The id of the run that generates the response; empty until the first chunk. */
  runId = '';
  /** Whether the end marker has arrived. */
  isEnded = false;
  /** The error event, if one arrived. */
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

  /** Parses the next bytes of the stream. */
  readonly feed = (bytes: Uint8Array): void => this.parser.feed(this.decoder.decode(bytes, { stream: true }));

  private readonly addChunk = (chunk: JsonObject): void => {
    if (this.runId === '') this.runId = asString(chunk.id);
    this.text += firstChoiceText(chunk);
    this.onChunk();
  };
}
