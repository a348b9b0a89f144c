/** Whether this gateway's committed state is recent enough to serve by: a majority of control nodes said so lately. */
import type { Clock, Member, Pong } from '@martenworks/core-types';

/** How long a pong counts. */
const freshMs = 1_500;
/** How long an accepted but uncommitted change may be outstanding. */
const pendingMs = 500;
/** A wall clock that moved by more than this against the monotonic one means that the machine was suspended. */
const jumpMs = 1_000;

interface HeardPong {
  askedAt: number;
  wallGap: number;
  logIndex: number;
  pendingSince: number | null;
}

/** When a ping was sent, by the monotonic clock and by its distance to the wall clock, in milliseconds. */
export interface PingStamp {
  readonly askedAt: number;
  readonly wallGap: number;
}

/** Keeps the newest pong of each control node. */
export class Freshness {
  private readonly pongs = new Map<string, HeardPong>();

  constructor(
    private readonly clock: Clock,
    private readonly members: () => readonly Member[],
    private readonly heldLogIndex: () => number,
  ) {}

  private readonly wallGap = (): number => this.clock.wall() - this.clock.now();

  /** The stamp of a ping that is sent now. */
  readonly stamp = (): PingStamp => ({ askedAt: this.clock.now(), wallGap: this.wallGap() });

  /** Takes the reply to a ping; it counts from when the ping was sent. */
  readonly heard = (stamp: PingStamp, pong: Pong): void => {
    const held = this.pongs.get(pong.incarnation);
    if (held !== undefined && held.askedAt > stamp.askedAt) return;
    const isPending = pong.acceptedSlot !== null && pong.acceptedSlot > this.heldLogIndex();
    this.pongs.set(pong.incarnation, {
      ...stamp,
      logIndex: pong.logIndex,
      pendingSince: isPending ? (held?.pendingSince ?? this.clock.now()) : null,
    });
  };

  private readonly isPongFresh = (heard: HeardPong | undefined): boolean => {
    if (heard === undefined) return false;
    const now = this.clock.now();
    if (now - heard.askedAt > freshMs || Math.abs(this.wallGap() - heard.wallGap) > jumpMs) return false;
    if (heard.logIndex > this.heldLogIndex()) return false;
    return heard.pendingSince === null || now - heard.pendingSince <= pendingMs;
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
