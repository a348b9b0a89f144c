/** Detects peers that have stopped reading, so that the memory for messages to them is bounded. */
import type { Clock } from '@martenworks/core-types';

const backlogLimitBytes = 8 * 1024 * 1024;
const hardBacklogLimitBytes = 64 * 1024 * 1024;
const stallTimeoutMs = 3_000;

/** Distinguishes a peer that reads as fast as its link allows from one that has not read anything for some time. */
export class StallDetector {
  private lastSocketBytes = 0;
  private lastProgressAt: number;

  constructor(private readonly clock: Clock) {
    this.lastProgressAt = clock.now();
  }

  /** Records that the peer has acknowledged a part. */
  readonly recordAcknowledgement = (): void => {
    this.lastProgressAt = this.clock.now();
  };

  /** Whether the peer has stalled: a large backlog makes no progress, or the backlog exceeds the hard limit.
   * @param socketBytes bytes buffered in the socket
   * @param queuedBytes bytes not yet written to the socket */
  readonly isStalled = (socketBytes: number, queuedBytes: number): boolean => {
    const now = this.clock.now();
    const waitingBytes = socketBytes + queuedBytes;
    if (socketBytes < this.lastSocketBytes || waitingBytes === 0) this.lastProgressAt = now;
    this.lastSocketBytes = socketBytes;
    return (
      waitingBytes > hardBacklogLimitBytes ||
      (waitingBytes > backlogLimitBytes && now - this.lastProgressAt > stallTimeoutMs)
    );
  };
}
