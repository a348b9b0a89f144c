/** Back-pressure: tells a peer that reads slowly from one that reads nothing. */
import type { Clock } from '@martenworks/core-types';

const backlogLimitBytes = 8 * 1024 * 1024;
const hardBacklogLimitBytes = 64 * 1024 * 1024;
const stalledMs = 3_000;

/** A peer that reads at the pace of its link is kept; one that takes nothing for a while isn't. */
export class StallDetector {
  private lastSocketBytes = 0;
  private drainedAt: number;

  constructor(private readonly clock: Clock) {
    this.drainedAt = clock.now();
  }

  /** The peer has acknowledged a part. */
  readonly acknowledged = (): void => {
    this.drainedAt = this.clock.now();
  };

  /** Whether too much waits for the peer.
   * @param socketBytes bytes that wait in the socket
   * @param queuedBytes bytes that were not yet written to it */
  readonly isStalled = (socketBytes: number, queuedBytes: number): boolean => {
    const now = this.clock.now();
    const waiting = socketBytes + queuedBytes;
    if (socketBytes < this.lastSocketBytes || waiting === 0) this.drainedAt = now;
    this.lastSocketBytes = socketBytes;
    return waiting > hardBacklogLimitBytes || (waiting > backlogLimitBytes && now - this.drainedAt > stalledMs);
  };
}
