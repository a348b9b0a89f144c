/** The holder's side of the leases. */
import { createHash } from 'node:crypto';
import type { Clock } from '@martenworks/core-types';
import { defaultTerms } from './leaseTerms.js';
import type { DutyFence, LeaseReply, LeaseRequest, LeaseTerms } from './leaseTerms.js';

const maxClockJumpMs = 500;
/** Ticks that this node waits before it requests a vacant duty, for each peer that ranks above it for that duty. */
const waitTicksPerRank = 3;

interface HeldLease {
  readonly fence: number;
  expiresAt: number;
  clockOffset: number;
}

/** A held lease; `leftMs` is the milliseconds until it expires. */
export interface LeaseStatus {
  readonly duty: string;
  readonly fence: number;
  readonly leftMs: number;
}

/**
 * The holder's side of the leases: acquires and renews the leases of the wanted duties. To be safe against delays and
 * clock drift, a lease counts from before the request was sent and expires a margin early for its holder, and it is
 * void after a clock jump.
 */
export class LeaseManager {
  private readonly leases = new Map<string, HeldLease>();
  private readonly fences = new Map<string, number>();
  private readonly vacantTicks = new Map<string, number>();
  private isRequesting = false;

  constructor(
    private readonly clock: Clock,
    private readonly holder: () => string,
    private readonly peers: () => readonly string[],
    private readonly wantedDuties: () => readonly string[],
    private readonly requestFromVoters: (request: LeaseRequest) => Promise<readonly LeaseReply[]>,
    private readonly releaseAtVoters: (request: LeaseRequest) => void,
    private readonly majority: () => number,
    private readonly onChange: () => void,
    private readonly terms: LeaseTerms = defaultTerms,
  ) {}

  /** The offset between wall clock and monotonic clock; it changes when the wall clock jumps or the machine sleeps. */
  private readonly clockOffset = (): number => this.clock.wall() - this.clock.now();

  /** The fencing token of a duty if its lease is held now, otherwise null. */
  readonly fencingTokenOf = (duty: string): number | null => {
    const lease = this.leases.get(duty);
    if (lease === undefined) return null;
    const isValid =
      this.clock.now() < lease.expiresAt && Math.abs(this.clockOffset() - lease.clockOffset) < maxClockJumpMs;
    return isValid ? lease.fence : null;
  };

  /** The number of peers that rank above this node for a duty, by rendezvous hashing. */
  private readonly rankFor = (duty: string): number => {
    const score = (name: string): string => createHash('sha256').update(`${duty}\n${name}`).digest('hex');
    const own = score(this.holder());
    return this.peers().filter((name) => score(name) > own).length;
  };

  /**
   * Drops leases that have expired or are no longer wanted, renews the others, and requests the missing ones. No
   * request is sent while an earlier one is pending.
   */
  readonly tick = async (): Promise<void> => {
    const wanted = new Set(this.wantedDuties());
    this.dropExpired(wanted);
    if (this.isRequesting) return;
    const duties = [...wanted].flatMap((duty) => this.requestFor(duty) ?? []);
    for (const duty of this.vacantTicks.keys()) if (!wanted.has(duty)) this.vacantTicks.delete(duty);
    if (duties.length === 0) return;
    this.isRequesting = true;
    await this.requestLeases(duties).finally(() => (this.isRequesting = false));
  };

  private readonly dropExpired = (wanted: ReadonlySet<string>): void => {
    let hasChanged = false;
    for (const duty of [...this.leases.keys()]) {
      if (wanted.has(duty) && this.fencingTokenOf(duty) !== null) continue;
      this.leases.delete(duty);
      hasChanged = true;
    }
    if (hasChanged) this.onChange();
  };

  /**
   * The request for a duty: a renewal, or a new lease once the duty has been vacant for as long as this node's rank
   * requires; null before that.
   */
  private readonly requestFor = (duty: string): DutyFence | null => {
    const fence = this.fencingTokenOf(duty);
    if (fence !== null) {
      this.vacantTicks.set(duty, 0);
      return { duty, fence };
    }
    const vacantTicks = (this.vacantTicks.get(duty) ?? 0) + 1;
    this.vacantTicks.set(duty, vacantTicks);
    if (vacantTicks <= this.rankFor(duty) * waitTicksPerRank) return null;
    return { duty, fence: Math.max(this.fences.get(duty) ?? 0, this.terms.fenceFloor()) + 1 };
  };

  private readonly requestLeases = async (duties: readonly DutyFence[]): Promise<void> => {
    const requestedAt = this.clock.now();
    const clockOffset = this.clockOffset();
    const expiresAt = requestedAt + this.terms.leaseMs - this.terms.marginMs;
    const replies = await this.requestFromVoters({ holder: this.holder(), duties });
    let hasChanged = false;
    const withoutMajority: DutyFence[] = [];
    for (const { duty, fence } of duties) {
      for (const reply of replies) this.fences.set(duty, Math.max(this.fences.get(duty) ?? 0, reply.fences[duty] ?? 0));
      const grants = replies.filter((reply) => reply.granted.includes(duty)).length;
      const isNew = this.leases.get(duty)?.fence !== fence;
      if (grants < this.majority()) {
        if (grants > 0 && isNew) withoutMajority.push({ duty, fence });
        continue;
      }
      this.leases.set(duty, { fence, expiresAt, clockOffset });
      this.vacantTicks.set(duty, 0);
      if (isNew) hasChanged = true;
    }
    if (withoutMajority.length > 0) this.releaseAtVoters({ holder: this.holder(), duties: withoutMajority });
    if (hasChanged) this.onChange();
  };

  /** Releases all leases. */
  readonly resign = (): void => {
    const duties = [...this.leases].map(([duty, lease]) => ({ duty, fence: lease.fence }));
    this.leases.clear();
    this.onChange();
    if (duties.length > 0) this.releaseAtVoters({ holder: this.holder(), duties });
  };

  /** The leases that are held now. */
  readonly status = (): LeaseStatus[] =>
    [...this.leases].flatMap(([duty, lease]) =>
      this.fencingTokenOf(duty) === null
        ? []
        : [{ duty, fence: lease.fence, leftMs: Math.round(lease.expiresAt - this.clock.now()) }],
    );
}
