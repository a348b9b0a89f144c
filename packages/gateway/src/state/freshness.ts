/** Tracks whether a majority of control nodes has recently confirmed that this gateway's committed state is current. */
import type { Clock, Member, Pong } from '@martenworks/core-types';

/** Maximum age of a pong, counted from when its ping was sent. */
const maxPongAgeMs = 1_500;
/** How long a control node may report an accepted change that is not committed here. */
const maxPendingMs = 500;
/** How far the wall clock may drift from the monotonic clock after a ping; a larger jump means a suspended machine. */
const maxClockJumpMs = 1_000;

interface ReceivedPong {
  sentAt: number;
  wallClockOffsetMs: number;
  logIndex: number;
  pendingSince: number | null;
}

/** When a ping was sent on the monotonic clock, and the wall clock's offset from that clock, in milliseconds. */
export interface PingTimestamp {
  readonly sentAt: number;
  readonly wallClockOffsetMs: number;
}

/** Tracks freshness by the newest pong of each control node. */
export class Freshness {
  private readonly pongs = new Map<string, ReceivedPong>();

  constructor(
    private readonly clock: Clock,
    private readonly members: () => readonly Member[],
    private readonly ownLogIndex: () => number,
  ) {}

  private readonly wallClockOffsetMs = (): number => this.clock.wall() - this.clock.now();

  /** Timestamp of a ping that is sent now. */
  readonly timestamp = (): PingTimestamp => ({ sentAt: this.clock.now(), wallClockOffsetMs: this.wallClockOffsetMs() });

  /** Records the reply to a ping; its age counts from when the ping was sent. */
  readonly recordPong = (timestamp: PingTimestamp, pong: Pong): void => {
    const previous = this.pongs.get(pong.incarnation);
    if (previous !== undefined && previous.sentAt > timestamp.sentAt) return;
    const isPending = pong.acceptedSlot !== null && pong.acceptedSlot > this.ownLogIndex();
    this.pongs.set(pong.incarnation, {
      ...timestamp,
      logIndex: pong.logIndex,
      pendingSince: isPending ? (previous?.pendingSince ?? this.clock.now()) : null,
    });
  };

  private readonly isPongFresh = (pong: ReceivedPong | undefined): boolean => {
    if (pong === undefined) return false;
    const now = this.clock.now();
    if (
      now - pong.sentAt > maxPongAgeMs ||
      Math.abs(this.wallClockOffsetMs() - pong.wallClockOffsetMs) > maxClockJumpMs
    )
      return false;
    if (pong.logIndex > this.ownLogIndex()) return false;
    return pong.pendingSince === null || now - pong.pendingSince <= maxPendingMs;
  };

  /** Number of control nodes that currently confirm this gateway's state. */
  readonly freshNodeCount = (): number =>
    this.members().filter((member) => this.isPongFresh(this.pongs.get(member.incarnation))).length;

  /** Whether a majority of control nodes currently confirms this gateway's state. */
  readonly isFresh = (): boolean => {
    const members = this.members();
    return members.length > 0 && this.freshNodeCount() > members.length / 2;
  };
}
