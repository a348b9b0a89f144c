/** Simulated links of limited bandwidth: a first-in-first-out queue for each machine and direction. */

/** Size of a segment, and the maximum number of bytes that a sender may have in flight. */
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

/** One direction of a machine's link. Each sender enqueues at most one window, so that none starves. */
export class SimLink {
  private readonly waiting: Transfer[] = [];
  private isBusy = false;

  /** @param bytesPerSecond the bandwidth that all connections of the machine share */
  constructor(
    private readonly world: LinkWorld,
    readonly bytesPerSecond: number,
  ) {}

  /** Calls `done` once `bytes` have crossed this link, after all earlier transfers. */
  readonly transmit = (bytes: number, done: () => void): void => {
    this.waiting.push({ bytes, done });
    if (!this.isBusy) this.startNext();
  };

  private readonly startNext = (): void => {
    const transfer = this.waiting.shift();
    this.isBusy = transfer !== undefined;
    if (transfer === undefined) return;
    this.world.schedule(null, (transfer.bytes * msPerSecond) / this.bytesPerSecond, () => {
      transfer.done();
      this.startNext();
    });
  };
}

/**
 * The sending side of one direction of a connection: sends segments in order, with at most one window of bytes in
 * flight.
 */
export class SimSender {
  private readonly queue: Uint8Array[] = [];
  private queuedBytes = 0;
  private inFlightBytes = 0;

  constructor(
    private readonly outbound: () => SimLink | null,
    private readonly inbound: () => SimLink | null,
    private readonly deliver: (bytes: Uint8Array, onArrived: () => void) => void,
  ) {}

  /** Enqueues bytes. */
  readonly write = (bytes: Uint8Array): void => {
    const isLimited = this.outbound() !== null || this.inbound() !== null;
    if (!isLimited && this.inFlightBytes === 0 && this.queue.length === 0) {
      this.deliver(bytes, () => {});
      return;
    }
    for (let begin = 0; begin < bytes.length; begin += segmentBytes)
      this.queue.push(bytes.subarray(begin, begin + segmentBytes));
    this.queuedBytes += bytes.length;
    this.sendNext();
  };

  /** Returns the number of bytes queued outside the window, like the send buffer of a socket. */
  readonly backlog = (): number => this.queuedBytes;

  /** Drops the bytes that are still queued. */
  readonly discard = (): void => {
    this.queue.length = 0;
    this.queuedBytes = 0;
  };

  private readonly sendNext = (): void => {
    while (this.inFlightBytes < windowBytes) {
      const segment = this.queue.shift();
      if (segment === undefined) return;
      this.queuedBytes -= segment.length;
      this.inFlightBytes += segment.length;
      this.transmitOver(this.outbound(), segment, () =>
        this.transmitOver(this.inbound(), segment, () => this.deliver(segment, () => this.onDelivered(segment.length))),
      );
    }
  };

  private readonly transmitOver = (link: SimLink | null, segment: Uint8Array, done: () => void): void => {
    if (link === null) done();
    else link.transmit(segment.length, done);
  };

  private readonly onDelivered = (bytes: number): void => {
    this.inFlightBytes -= bytes;
    this.sendNext();
  };
}
