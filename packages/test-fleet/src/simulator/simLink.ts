/** Links of a limited width for the simulated world: a first-in-first-out link for each machine and direction. */

/** Bytes that cross a link at once, and bytes that a sender may have under way. */
const segmentBytes = 8 * 1_024;
const windowBytes = 128 * 1_024;
const msPerSecond = 1_000;

interface LinkWorld {
  readonly time: number;
  readonly schedule: (machine: null, delayMs: number, callback: () => void) => unknown;
}

interface Transfer {
  readonly bytes: number;
  readonly done: () => void;
}

/** One direction of a machine's link. Senders put in at most a window each, so that none is starved for long. */
export class SimLink {
  private readonly waiting: Transfer[] = [];
  private isBusy = false;

  /** @param bytesPerSecond the width that all connections of the machine share */
  constructor(
    private readonly world: LinkWorld,
    readonly bytesPerSecond: number,
  ) {}

  /** Calls `done` once `bytes` have crossed this link behind all that was put in before. */
  readonly transmit = (bytes: number, done: () => void): void => {
    this.waiting.push({ bytes, done });
    if (!this.isBusy) this.next();
  };

  private readonly next = (): void => {
    const transfer = this.waiting.shift();
    this.isBusy = transfer !== undefined;
    if (transfer === undefined) return;
    this.world.schedule(null, (transfer.bytes * msPerSecond) / this.bytesPerSecond, () => {
      transfer.done();
      this.next();
    });
  };
}

/** The sending side of one direction of a connection: segments in order, with at most a window of bytes not yet arrived. */
export class SimSender {
  private readonly queue: Uint8Array[] = [];
  private queuedBytes = 0;
  private inFlightBytes = 0;

  constructor(
    private readonly outbound: () => SimLink | null,
    private readonly inbound: () => SimLink | null,
    private readonly deliver: (bytes: Uint8Array, arrived: () => void) => void,
  ) {}

  /** Puts bytes in behind all that wait. */
  readonly write = (bytes: Uint8Array): void => {
    const isNarrow = this.outbound() !== null || this.inbound() !== null;
    if (!isNarrow && this.inFlightBytes === 0 && this.queue.length === 0) {
      this.deliver(bytes, () => {});
      return;
    }
    for (let begin = 0; begin < bytes.length; begin += segmentBytes)
      this.queue.push(bytes.subarray(begin, begin + segmentBytes));
    this.queuedBytes += bytes.length;
    this.pump();
  };

  /** Bytes that wait outside the window, as a socket's own buffer would tell. */
  readonly backlog = (): number => this.queuedBytes;

  /** Drops what has not left yet. */
  readonly discard = (): void => {
    this.queue.length = 0;
    this.queuedBytes = 0;
  };

  private readonly pump = (): void => {
    while (this.inFlightBytes < windowBytes) {
      const segment = this.queue.shift();
      if (segment === undefined) return;
      this.queuedBytes -= segment.length;
      this.inFlightBytes += segment.length;
      this.transmitOver(this.outbound(), segment, () =>
        this.transmitOver(this.inbound(), segment, () => this.deliver(segment, () => this.delivered(segment.length))),
      );
    }
  };

  private readonly transmitOver = (link: SimLink | null, segment: Uint8Array, done: () => void): void => {
    if (link === null) done();
    else link.transmit(segment.length, done);
  };

  private readonly delivered = (bytes: number): void => {
    this.inFlightBytes -= bytes;
    this.pump();
  };
}
