/** How far a caller has got in an event stream that several replicas may send parts of. */
import type { ServerSentEvent } from './eventSplitter.js';

/** Ids that are not numbers are remembered one by one; a stream with more of them can't be resumed. */
const maxRememberedIds = 4_096;
const decimalNumber = /^\d{1,20}$/;
/** What a header can carry unchanged; an empty id means "from the start" (WHATWG HTML, "Server-sent events"). */
const headerText = /^[\x20-\x7e]+$/;

/**
 * The position after the events that were forwarded, and the recognition of events that a resumption repeats. Ids that
 * are decimal numbers must rise along a stream; other ids must differ from each other.
 */
export class StreamPosition {
  private lastId: string | null = null;
  private readonly otherIds = new Set<string>();
  private isResuming = false;
  private isRepeating = false;

  /** Id of the last event forwarded, after which a replica can resume; null if the position has none. */
  readonly resumeAfter = (): string | null => this.lastId;

  /** Called before the first event of a response that continues the stream. */
  readonly startResumption = (): void => {
    this.isResuming = true;
    this.isRepeating = false;
  };

  /** Whether the caller has the event already. Only the first events of a resumption can be such. */
  readonly isRepeated = ({ id }: ServerSentEvent): boolean => {
    if (!this.isResuming) return false;
    if (id === null) return this.isRepeating;
    this.isRepeating = this.precedesPosition(id);
    this.isResuming = this.isRepeating;
    return this.isRepeating;
  };

  /** Moves the position behind an event that was forwarded. Without a usable id, no replica can find the new position. */
  readonly advance = ({ id, hasData }: ServerSentEvent): void => {
    if (id === null && !hasData) return;
    this.lastId = id !== null && headerText.test(id) ? id : null;
    if (this.lastId === null || decimalNumber.test(this.lastId)) return;
    this.otherIds.add(this.lastId);
    if (this.otherIds.size > maxRememberedIds) this.lastId = null;
  };

  private readonly precedesPosition = (id: string): boolean => {
    const { lastId } = this;
    if (lastId === null) return false;
    if (decimalNumber.test(id) && decimalNumber.test(lastId)) return BigInt(id) <= BigInt(lastId);
    return this.otherIds.has(id);
  };
}
