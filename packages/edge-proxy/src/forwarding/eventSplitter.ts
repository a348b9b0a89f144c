/**
 * Splits a stream of server-sent events (WHATWG HTML, "Server-sent events") without changing any byte, so that the
 * stream can be resumed after any event.
 */

/** ASCII code of the line feed that ends each line, whether or not a carriage return precedes it. */
const lineFeed = 10;
const carriageReturn = 13;

/** One event including its terminating empty line; `id` is the value of its `id` field, null where it has none. */
export interface ServerSentEvent {
  readonly bytes: Uint8Array;
  readonly id: string | null;
}

const idIn = (bytes: Uint8Array): string | null => {
  const text = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.length).toString('utf8');
  const found = /(?:^|\n)id:[ ]?([^\r\n]*)/.exec(text);
  return found?.[1] ?? null;
};

/** Splits a byte stream into complete server-sent events; an event ends with an empty line. */
export class EventSplitter {
  private pending: Uint8Array = new Uint8Array();

  private readonly endOf = (bytes: Uint8Array): number => {
    for (let at = 0; at < bytes.length; at += 1) {
      if (bytes[at] !== lineFeed) continue;
      let next = at + 1;
      if (bytes[next] === carriageReturn) next += 1;
      if (bytes[next] === lineFeed) return next + 1;
    }
    return -1;
  };

  /** Adds bytes and returns the events they complete; the remainder is buffered for the next call. */
  readonly push = (bytes: Uint8Array): ServerSentEvent[] => {
    let rest = this.pending.length === 0 ? bytes : Buffer.concat([this.pending, bytes]);
    const events: ServerSentEvent[] = [];
    for (let end = this.endOf(rest); end > 0; end = this.endOf(rest)) {
      const event = rest.subarray(0, end);
      events.push({ bytes: event, id: idIn(event) });
      rest = rest.subarray(end);
    }
    this.pending = rest;
    return events;
  };

  /** Bytes after the last complete event; they are forwarded too when the stream ends normally. */
  readonly remainder = (): Uint8Array => this.pending;
}
