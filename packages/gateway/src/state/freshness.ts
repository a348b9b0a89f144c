/** Whether this gateway's committed state is recent enough to serve by: a majority of control nodes said so lately. */
import type { Clock, Member, Pong } from '@martenworks/core-types';

/** How long a pong counts. */
const maxPongAgeMs = 1_500;
/** How long an accepted but uncommitted change may be outstanding. */
const maxPendingMs = 500;
/** A wall clock that moved by more than this against the monotonic one means that the machine was suspended. */
const maxClockJumpMs = 1_000;

interface ReceivedPong {
  sentAt: number;
  wallClockOffsetMs: number;
  logIndex: number;
  pendingSince: number | null;
}

/** When a ping was sent, by the monotonic clock and by its distance to the wall clock, in milliseconds. */
export interface PingTimestamp {
  readonly sentAt: number;
  readonly wallClockOffsetMs: number;
}

/** Keeps the newest pong of each control node. */
export class Freshness {
  private readonly pongs = new Map<string, ReceivedPong>();

  constructor(
    private readonly clock: Clock,
    private readonly members: () => readonly Member[],
    private readonly ownLogIndex: () => number,
  ) {}

  private readonly wallClockOffsetMs = (): number => this.clock.wall() - this.clock.now();

  /** The stamp of a ping that is sent now. */
  readonly timestamp = (): PingTimestamp => ({ sentAt: this.clock.now(), wallClockOffsetMs: this.wallClockOffsetMs() });

  /** Takes the reply to a ping; it counts from when the ping was sent. */
  readonly recordPong = (stamp: PingTimestamp, pong: Pong): void => {
    const previous = this.pongs.get(pong.incarnation);
    if (previous !== undefined && previous.sentAt > stamp.sentAt) return;
    const isPending = pong.acceptedSlot !== null && pong.acceptedSlot > this.ownLogIndex();
    this.pongs.set(pong.incarnation, {
      ...stamp,
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

  /** The number of control nodes whose newest pong still counts. */
  readonly freshNodeCount = (): number =>
    this.members().filter((member) => this.isPongFresh(this.pongs.get(member.incarnation))).length;

  /** Whether a majority of control nodes confirm the held state. */
  readonly isFresh = (): boolean => {
    const members = this.members();
    return members.length > 0 && this.freshNodeCount() > members.length / 2;
  };
}
