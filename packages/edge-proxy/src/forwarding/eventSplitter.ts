/**
 * Splits a stream of server-sent events (WHATWG HTML, "Server-sent events") without changing any byte, so that the
 * stream can be resumed after any event.
 */

/** ASCII code of the line feed that ends each line, whether or not a carriage return precedes it. */
const lineFeed = 10;
const carriageReturn = 13;

/** Lines of the fields `id` and `data`; each may stand without a value. */
const idLines = /(?:^|[\r\n])id(?:|:[ ]?([^\r\n]*))(?=[\r\n])/g;
const dataLine = /(?:^|[\r\n])data(?=[:\r\n])/;

/**
 * One event including its terminating empty line; `id` is the value of its last `id` field, null where it has none.
 * Without data it is a comment or sets fields only.
 */
export interface ServerSentEvent {
  readonly bytes: Uint8Array;
  readonly id: string | null;
  readonly hasData: boolean;
}

const eventOf = (bytes: Uint8Array): ServerSentEvent => {
  const text = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.length).toString('utf8');
  const lastIdLine = [...text.matchAll(idLines)].at(-1);
  return { bytes, id: lastIdLine === undefined ? null : (lastIdLine[1] ?? ''), hasData: dataLine.test(text) };
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
      events.push(eventOf(rest.subarray(0, end)));
      rest = rest.subarray(end);
    }
    this.pending = rest;
    return events;
  };

  /** Bytes after the last complete event; they are forwarded too when the stream ends normally. */
  readonly remainder = (): Uint8Array => this.pending;
}
