/** Relays the responses of one request's attempts to its caller as a single response. */
import { headerLists } from '../ingress/headerLists.js';
import type { Call, ResponseWriter } from '../ingress/call.js';
import { EventSplitter } from './eventSplitter.js';
import type { AttemptOutcome, StopCause } from './retryPolicy.js';
import { StreamPosition } from './streamPosition.js';

const contentLength: ReadonlySet<string> = new Set(['content-length']);

/** The head of a replica's response. Headers alternate names and values. */
export interface ResponseHead {
  readonly status: number;
  readonly headers: readonly string[];
}

/** One replica's response, as forwarded to the caller. */
export interface RelayedResponse extends ResponseHead {
  readonly body: AsyncIterable<Uint8Array>;
  /** Whether the body is forwarded event by event, so that another replica can resume after the last one. */
  readonly isResumable: boolean;
}

const eventStreamType = 'text/event-stream';

/** Media type without parameters (RFC 9110, section 8.3.1); a stream may go without one. */
const mediaTypeOf = ({ headers }: ResponseHead): string =>
  headerLists.find(headers, 'content-type')?.split(';')[0]?.trim().toLowerCase() ?? eventStreamType;

/** What the bytes of a body are; parts of a stream can be joined only if it is the same for all. */
const contentKindOf = (head: ResponseHead): string =>
  [head.status, mediaTypeOf(head), headerLists.find(head.headers, 'content-encoding')].join();

/** How much of a response its caller has been sent. */
export interface RelayProgress {
  readonly status: number;
  /** Bytes of the body. */
  readonly forwardedBytes: number;
  /** Id of the last event forwarded in full; null where there is none. */
  readonly lastEventId: string | null;
}

/** Callbacks to the attempt whose response is being forwarded, and the signal that stops it. */
export interface RelayEvents {
  readonly onFirstChunk: () => void;
  /** A chunk has come from the replica. */
  readonly onChunk: () => void;
  /** The caller has taken the chunk; the replica is waited for again. */
  readonly onForwarded: () => void;
  /** Resolves when the attempt is stopped, for any cause. */
  readonly stopped: Promise<StopCause>;
  /** Resolves when the whole request is cancelled: its caller has disconnected or its deadline has passed. */
  readonly cancelled: Promise<StopCause>;
}

/**
 * The response to one caller. It starts with the first replica response that is forwarded, and ends once, complete or
 * truncated.
 */
export class ResponseRelay {
  private writer: ResponseWriter | null = null;
  private head: ResponseHead | null = null;
  private forwardedBytes = 0;
  /** Moved by events of a resumable response only, so that any other response that has started can't be continued. */
  private readonly position = new StreamPosition();

  constructor(private readonly call: Call) {}

  /** Whether the response to the caller has started, after which its status can no longer be chosen. */
  readonly hasStarted = (): boolean => this.writer !== null;

  /** What the caller has been sent so far; null before the start. */
  readonly progress = (): RelayProgress | null =>
    this.head === null
      ? null
      : { status: this.head.status, forwardedBytes: this.forwardedBytes, lastEventId: this.resumeAfter() };

  /** Id of the last event forwarded in full, after which a resumption continues; null where there is none. */
  readonly resumeAfter = (): string | null => this.position.resumeAfter();

  /** Whether another replica's response may follow: nothing was forwarded yet, or events up to one with an id. */
  readonly isContinuable = (): boolean => !this.hasStarted() || this.resumeAfter() !== null;

  /** Whether a body with this head may follow what was forwarded; any may before the start. */
  readonly continues = (head: ResponseHead): boolean =>
    this.head === null || contentKindOf(head) === contentKindOf(this.head);

  /** Truncates a started response so that the caller can't take it for complete; does nothing before the start. */
  readonly abort = (): void => this.writer?.abort();

  /** Forwards one response until it ends, fails or is stopped. */
  readonly forward = async (response: RelayedResponse, events: RelayEvents): Promise<AttemptOutcome> => {
    const splitter = response.isResumable ? new EventSplitter() : null;
    if (this.hasStarted()) this.position.startResumption();
    const iterator = response.body[Symbol.asyncIterator]();
    const start = this.starter(response, events.onFirstChunk);
    for (;;) {
      let result: IteratorResult<Uint8Array> | StopCause;
      try {
        result = await Promise.race([iterator.next(), events.stopped]);
      } catch (cause) {
        return {
          kind: 'may have run',
          cause: `response stream failed: ${(cause as { code?: string }).code ?? 'unknown'}`,
        };
      }
      if (result === 'caller disconnected') return { kind: 'cancelled' };
      if (typeof result === 'string') return { kind: 'may have run', cause: `response stream abandoned: ${result}` };
      if (result.done === true) return this.finish(start(), splitter);
      events.onChunk();
      const forwarding = this.forwardChunk(splitter, result.value, start);
      const cancelCause = await Promise.race([forwarding, events.cancelled]);
      if (cancelCause !== undefined) return this.stopWriting(cancelCause);
      events.onForwarded();
    }
  };

  private readonly forwardChunk = async (
    splitter: EventSplitter | null,
    bytes: Uint8Array,
    start: () => ResponseWriter,
  ): Promise<undefined> => {
    if (splitter === null) await this.write(start(), bytes);
    else await this.forwardEvents(splitter, bytes, start);
    return undefined;
  };

  /** The outcome where the request was cancelled while its caller kept it waiting: the response can't be continued. */
  private readonly stopWriting = (cause: StopCause): AttemptOutcome => {
    this.abort();
    return cause === 'caller disconnected' ? { kind: 'cancelled' } : { kind: 'unread', cause };
  };

  private readonly starter = (
    { status, headers, isResumable }: RelayedResponse,
    onFirst: () => void,
  ): (() => ResponseWriter) => {
    let isFirst = true;
    return () => {
      if (isFirst) onFirst();
      isFirst = false;
      if (this.writer === null) {
        this.head = { status, headers };
        this.writer = this.call.respond(status, this.headersOf(headers, isResumable), false);
      }
      return this.writer;
    };
  };

  private readonly write = (writer: ResponseWriter, bytes: Uint8Array): Promise<void> => {
    this.forwardedBytes += bytes.length;
    return writer.write(bytes);
  };

  private readonly headersOf = (headers: readonly string[], isResumable: boolean): string[] => {
    const endToEnd = headerLists.endToEnd(headers);
    return isResumable ? headerLists.without(endToEnd, contentLength) : endToEnd;
  };

  private readonly finish = async (writer: ResponseWriter, splitter: EventSplitter | null): Promise<AttemptOutcome> => {
    const rest = splitter?.remainder();
    if (rest !== undefined && rest.length > 0) await this.write(writer, rest);
    writer.end();
    return { kind: 'complete' };
  };

  private readonly forwardEvents = async (
    splitter: EventSplitter,
    bytes: Uint8Array,
    start: () => ResponseWriter,
  ): Promise<void> => {
    for (const event of splitter.push(bytes)) {
      if (this.position.isRepeated(event)) continue;
      await this.write(start(), event.bytes);
      this.position.advance(event);
    }
  };
}
