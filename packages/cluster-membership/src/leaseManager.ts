/** The holder's side of the leases. */
import { createHash } from 'node:crypto';
import type { Clock } from '@martenworks/core-types';
import { defaultTerms } from './leaseTerms.js';
import type { DutyFence, LeaseReply, LeaseRequest, LeaseTerms } from './leaseTerms.js';

const jumpMs = 500;
/** Ticks that a duty stands idle for each peer that comes before this node, before this node asks for it. */
const idleTicksPerRank = 3;

interface HeldLease {
  readonly fence: number;
  endAt: number;
  clockOffset: number;
}

/** A lease that is held; `leftMs` milliseconds until it ends. */
export interface LeaseStatus {
  readonly duty: string;
  readonly fence: number;
  readonly leftMs: number;
}

/**
 * The holder's side of the leases: keeps those of the wanted duties, each counted from before it was asked for and
 * ended a margin early, by a clock that has not jumped.
 */
export class LeaseManager {
  private readonly leases = new Map<string, HeldLease>();
  private readonly fences = new Map<string, number>();
  private readonly idleTicks = new Map<string, number>();
  private isAsking = false;

  constructor(
    private readonly clock: Clock,
    private readonly holder: () => string,
    private readonly peers: () => readonly string[],
    private readonly wanted: () => readonly string[],
    private readonly askAll: (ask: LeaseRequest) => Promise<readonly LeaseReply[]>,
    private readonly releaseAll: (ask: LeaseRequest) => void,
    private readonly majority: () => number,
    private readonly changed: () => void,
    private readonly terms: LeaseTerms = defaultTerms,
  ) {}

  /** Changes where the wall clock jumps, or the machine slept. */
  private readonly clockOffset = (): number => this.clock.wall() - this.clock.now();

  /** The fencing token of a duty whose lease is held at this moment, else null. */
  readonly fencingTokenOf = (duty: string): number | null => {
    const lease = this.leases.get(duty);
    if (lease === undefined) return null;
    const isSound = this.clock.now() < lease.endAt && Math.abs(this.clockOffset() - lease.clockOffset) < jumpMs;
    return isSound ? lease.fence : null;
  };

  /** How many peers come before this node for a duty, by rendezvous hashing. */
  private readonly rankFor = (duty: string): number => {
    const score = (name: string): string => createHash('sha256').update(`${duty}\n${name}`).digest('hex');
    const own = score(this.holder());
    return this.peers().filter((name) => score(name) > own).length;
  };

  /**
   * Drops leases that ended or are no longer wanted, renews the others, and asks for those wanted. Nothing is asked
   * while an earlier request is open.
   */
  readonly tick = async (): Promise<void> => {
    const wanted = new Set(this.wanted());
    this.dropEnded(wanted);
    if (this.isAsking) return;
    const duties = [...wanted].flatMap((duty) => this.requestFor(duty) ?? []);
    for (const duty of this.idleTicks.keys()) if (!wanted.has(duty)) this.idleTicks.delete(duty);
    if (duties.length === 0) return;
    this.isAsking = true;
    await this.ask(duties).finally(() => (this.isAsking = false));
  };

  private readonly dropEnded = (wanted: ReadonlySet<string>): void => {
    let hasChanged = false;
    for (const duty of [...this.leases.keys()]) {
      if (wanted.has(duty) && this.fencingTokenOf(duty) !== null) continue;
      this.leases.delete(duty);
      hasChanged = true;
    }
    if (hasChanged) this.changed();
  };

  /**
   * A renewal, or a request for a duty that has stood idle for as long as this node's rank for it asks; null before
   * that.
   */
  private readonly requestFor = (duty: string): DutyFence | null => {
    const fence = this.fencingTokenOf(duty);
    if (fence !== null) {
      this.idleTicks.set(duty, 0);
      return { duty, fence };
    }
    const idleTicks = (this.idleTicks.get(duty) ?? 0) + 1;
    this.idleTicks.set(duty, idleTicks);
    if (idleTicks <= this.rankFor(duty) * idleTicksPerRank) return null;
    return { duty, fence: Math.max(this.fences.get(duty) ?? 0, this.terms.fenceFloor()) + 1 };
  };

  private readonly ask = async (duties: readonly DutyFence[]): Promise<void> => {
    const askedAt = this.clock.now();
    const clockOffset = this.clockOffset();
    const endAt = askedAt + this.terms.leaseMs - this.terms.marginMs;
    const replies = await this.askAll({ holder: this.holder(), duties });
    let hasChanged = false;
    const missed: DutyFence[] = [];
    for (const { duty, fence } of duties) {
      for (const reply of replies) this.fences.set(duty, Math.max(this.fences.get(duty) ?? 0, reply.fences[duty] ?? 0));
      const votes = replies.filter((reply) => reply.granted.includes(duty)).length;
      const isNew = this.leases.get(duty)?.fence !== fence;
      if (votes < this.majority()) {
        if (votes > 0 && isNew) missed.push({ duty, fence });
        continue;
      }
      this.leases.set(duty, { fence, endAt, clockOffset });
      this.idleTicks.set(duty, 0);
      if (isNew) hasChanged = true;
    }
    if (missed.length > 0) this.releaseAll({ holder: this.holder(), duties: missed });
    if (hasChanged) this.changed();
  };

  /** Gives all leases back. */
  readonly resign = (): void => {
    const duties = [...this.leases].map(([duty, lease]) => ({ duty, fence: lease.fence }));
    this.leases.clear();
    this.changed();
    if (duties.length > 0) this.releaseAll({ holder: this.holder(), duties });
  };

  /** The leases held now. */
  readonly status = (): LeaseStatus[] =>
    [...this.leases].flatMap(([duty, lease]) =>
      this.fencingTokenOf(duty) === null
        ? []
        : [{ duty, fence: lease.fence, leftMs: Math.round(lease.endAt - this.clock.now()) }],
    );
}
