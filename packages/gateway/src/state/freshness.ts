import type { Clock, Member, Pong } from '@martenworks/core-types';

const freshMs = 1_500;
const pendingMs = 500;
const jumpMs = 1_000;

interface Voice {
  askedAt: number;
  wallGap: number;
  logIndex: number;
  pendingSince: number | null;
}

export class Freshness {
  private readonly voices = new Map<string, Voice>();

  constructor(
    private readonly clock: Clock,
    private readonly members: () => readonly Member[],
    private readonly heldLogIndex: () => number,
  ) {}

  private readonly wallGap = (): number => this.clock.wall() - this.clock.now();

  readonly stamp = (): { askedAt: number; wallGap: number } => ({ askedAt: this.clock.now(), wallGap: this.wallGap() });

  readonly heard = (stamp: { askedAt: number; wallGap: number }, pong: Pong): void => {
    const held = this.voices.get(pong.incarnation);
    if (held !== undefined && held.askedAt > stamp.askedAt) return;
    const isPending = pong.acceptedSlot !== null && pong.acceptedSlot > this.heldLogIndex();
    this.voices.set(pong.incarnation, {
      ...stamp,
      logIndex: pong.logIndex,
      pendingSince: isPending ? (held?.pendingSince ?? this.clock.now()) : null,
    });
  };

  private readonly isVoiceFresh = (voice: Voice | undefined): boolean => {
    if (voice === undefined) return false;
    const now = this.clock.now();
    if (now - voice.askedAt > freshMs || Math.abs(this.wallGap() - voice.wallGap) > jumpMs) return false;
    if (voice.logIndex > this.heldLogIndex()) return false;
    return voice.pendingSince === null || now - voice.pendingSince <= pendingMs;
  };

  readonly voiceCount = (): number =>
    this.members().filter((member) => this.isVoiceFresh(this.voices.get(member.incarnation))).length;

  readonly isFresh = (): boolean => {
    const members = this.members();
    return members.length > 0 && this.voiceCount() > members.length / 2;
  };
}
