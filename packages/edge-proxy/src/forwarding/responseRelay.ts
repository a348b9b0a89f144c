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
  private reply: ResponseWriter | null = null;
  private lastId: string | null = null;
  private hasEvents = false;

  constructor(private readonly call: Call) {}

  /** Whether the response to the caller has begun: from then on no status can be sent any more. */
  readonly hasStarted = (): boolean => this.reply !== null;

  /** The id of the last event that was passed on whole, after which a resumption goes on. */
  readonly resumeAfter = (): string | null => this.lastId;

  /** Whether a further replica can tell where to go on. */
  readonly isResumable = (): boolean => this.lastId !== null || !this.hasEvents;

  /** Ends a begun answer so that it can't look whole; does nothing where none was begun. */
  readonly abort = (): void => this.reply?.abort();

  /** Passes on one answer until it ends, breaks or is stopped. */
  readonly forward = async (answer: RelayedResponse, events: RelayEvents): Promise<AttemptOutcome> => {
    const cutter = answer.isResumable ? new EventSplitter() : null;
    const steps = answer.body[Symbol.asyncIterator]();
    const begin = this.beginner(answer, events.onFirstChunk);
    for (;;) {
      let step: IteratorResult<Uint8Array> | StopCause;
      try {
        step = await Promise.race([steps.next(), events.stopped]);
      } catch (cause) {
        return { kind: 'may have run', cause: `the stream broke: ${(cause as { code?: string }).code ?? 'unknown'}` };
      }
      if (step === 'caller left') return { kind: 'over' };
      if (typeof step === 'string') return { kind: 'may have run', cause: `the stream was left: ${step}` };
      if (step.done === true) return this.finish(begin(), cutter);
      events.onChunk();
      if (cutter === null) await begin().write(step.value);
      else await this.passEvents(cutter, step.value, begin);
    }
  };

  private readonly beginner = (
    { status, headers, isResumable }: RelayedResponse,
    onFirst: () => void,
  ): (() => ResponseWriter) => {
    let isFirst = true;
    return () => {
      if (isFirst) onFirst();
      isFirst = false;
      this.reply ??= this.call.respond(status, this.headersOf(headers, isResumable), false);
      return this.reply;
    };
  };

  private readonly headersOf = (headers: readonly string[], isResumable: boolean): string[] => {
    const kept = headerLists.endToEnd(headers);
    return isResumable ? headerLists.without(kept, contentLength) : kept;
  };

  private readonly finish = async (reply: ResponseWriter, cutter: EventSplitter | null): Promise<AttemptOutcome> => {
    const rest = cutter?.remainder();
    if (rest !== undefined && rest.length > 0) await reply.write(rest);
    reply.end();
    return { kind: 'whole' };
  };

  private readonly passEvents = async (
    cutter: EventSplitter,
    bytes: Uint8Array,
    begin: () => ResponseWriter,
  ): Promise<void> => {
    for (const event of cutter.push(bytes)) {
      if (this.isRepeat(event.id)) continue;
      await begin().write(event.bytes);
      this.hasEvents = true;
      if (event.id !== null) this.lastId = event.id;
    }
  };

  private readonly isRepeat = (id: string | null): boolean => {
    if (id === null || this.lastId === null) return false;
    const [current, last] = [Number(id), Number(this.lastId)];
    return Number.isFinite(current) && Number.isFinite(last) ? current <= last : id === this.lastId;
  };
}
