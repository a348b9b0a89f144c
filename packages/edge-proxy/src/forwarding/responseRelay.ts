/** Relays the responses of one request's attempts to its caller as one response. */
import { headerLists } from '../ingress/headerLists.js';
import type { Call, ResponseWriter } from '../ingress/call.js';
import { EventSplitter } from './eventSplitter.js';
import type { AttemptOutcome, StopCause } from './retryPolicy.js';

const contentLength: ReadonlySet<string> = new Set(['content-length']);

/** One replica's answer as it is passed on. */
export interface RelayedResponse {
  readonly status: number;
  readonly headers: readonly string[];
  readonly body: AsyncIterable<Uint8Array>;
  /** Whether its events are passed on one by one, so that another replica may go on after the last one. */
  readonly isResumable: boolean;
}

/** What the relay tells the attempt whose answer it passes on. */
export interface RelayEvents {
  readonly onFirstChunk: () => void;
  readonly onChunk: () => void;
  readonly stopped: Promise<StopCause>;
}

/**
 * The answer to one caller: begun once, by the first replica whose answer is passed on, and ended once, whole or cut.
 */
export class ResponseRelay {
  private writer: ResponseWriter | null = null;
  private lastEventId: string | null = null;
  private hasForwardedEvents = false;

  constructor(private readonly call: Call) {}

  /** Whether the response to the caller has begun: from then on no status can be sent any more. */
  readonly hasStarted = (): boolean => this.writer !== null;

  /** The id of the last event that was passed on whole, after which a resumption goes on. */
  readonly resumeAfter = (): string | null => this.lastEventId;

  /** Whether a further replica can tell where to go on. */
  readonly isResumable = (): boolean => this.lastEventId !== null || !this.hasForwardedEvents;

  /** Ends a begun answer so that it can't look whole; does nothing where none was begun. */
  readonly abort = (): void => this.writer?.abort();

  /** Passes on one answer until it ends, breaks or is stopped. */
  readonly forward = async (answer: RelayedResponse, events: RelayEvents): Promise<AttemptOutcome> => {
    const splitter = answer.isResumable ? new EventSplitter() : null;
    const iterator = answer.body[Symbol.asyncIterator]();
    const start = this.starter(answer, events.onFirstChunk);
    for (;;) {
      let result: IteratorResult<Uint8Array> | StopCause;
      try {
        result = await Promise.race([iterator.next(), events.stopped]);
      } catch (cause) {
        return { kind: 'may have run', cause: `the stream broke: ${(cause as { code?: string }).code ?? 'unknown'}` };
      }
      if (result === 'caller left') return { kind: 'over' };
      if (typeof result === 'string') return { kind: 'may have run', cause: `the stream was left: ${result}` };
      if (result.done === true) return this.finish(start(), splitter);
      events.onChunk();
      if (splitter === null) await start().write(result.value);
      else await this.forwardEvents(splitter, result.value, start);
    }
  };

  private readonly starter = (
    { status, headers, isResumable }: RelayedResponse,
    onFirst: () => void,
  ): (() => ResponseWriter) => {
    let isFirst = true;
    return () => {
      if (isFirst) onFirst();
      isFirst = false;
      this.writer ??= this.call.respond(status, this.headersOf(headers, isResumable), false);
      return this.writer;
    };
  };

  private readonly headersOf = (headers: readonly string[], isResumable: boolean): string[] => {
    const endToEnd = headerLists.endToEnd(headers);
    return isResumable ? headerLists.without(endToEnd, contentLength) : endToEnd;
  };

  private readonly finish = async (writer: ResponseWriter, splitter: EventSplitter | null): Promise<AttemptOutcome> => {
    const rest = splitter?.remainder();
    if (rest !== undefined && rest.length > 0) await writer.write(rest);
    writer.end();
    return { kind: 'whole' };
  };

  private readonly forwardEvents = async (
    splitter: EventSplitter,
    bytes: Uint8Array,
    start: () => ResponseWriter,
  ): Promise<void> => {
    for (const event of splitter.push(bytes)) {
      if (this.isDuplicate(event.id)) continue;
      await start().write(event.bytes);
      this.hasForwardedEvents = true;
      if (event.id !== null) this.lastEventId = event.id;
    }
  };

  private readonly isDuplicate = (id: string | null): boolean => {
    if (id === null || this.lastEventId === null) return false;
    const [current, last] = [Number(id), Number(this.lastEventId)];
    return Number.isFinite(current) && Number.isFinite(last) ? current <= last : id === this.lastEventId;
  };
}
