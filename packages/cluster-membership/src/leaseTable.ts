/** The voter's side of the leases. */
import type { Clock } from '@martenworks/core-types';
import { defaultTerms } from './leaseTerms.js';
import type { LeaseReply, LeaseRequest, LeaseTerms } from './leaseTerms.js';

interface Grant {
  holder: string;
  fence: number;
  endAt: number;
}

/** A grant whose record is being written; nobody counts on it yet. */
interface PendingGrant {
  readonly holder: string;
  readonly fence: number;
  isReleased: boolean;
}

/**
 * One voter's part of the leases: a grant is told only once its record is on disk, and a failed write leaves the table
 * as it was.
 */
export class LeaseTable {
  private readonly grants = new Map<string, Grant>();
  private readonly pending = new Map<string, PendingGrant>();
  /** Until then nothing is granted anew: a voter that starts does not know which grants it gave before. */
  private readonly quietUntil: number;

  constructor(
    private readonly clock: Clock,
    private readonly keep: (duty: string, fence: number) => Promise<boolean>,
    kept: readonly (readonly [duty: string, fence: number])[],
    isNew: boolean,
    private readonly terms: LeaseTerms = defaultTerms,
  ) {
    this.quietUntil = isNew ? 0 : clock.now() + terms.leaseMs + terms.gapMs;
    for (const [duty, fence] of kept)
      this.grants.set(duty, { holder: '', fence: Math.max(fence, this.grants.get(duty)?.fence ?? 0), endAt: 0 });
  }

  /** Ends the grants that this holder has under these tokens. */
  readonly release = ({ holder, duties }: LeaseRequest): void => {
    for (const { duty, fence } of duties) {
      const grant = this.grants.get(duty);
      if (grant !== undefined && grant.holder === holder && grant.fence === fence) grant.endAt = 0;
      const pending = this.pending.get(duty);
      if (pending !== undefined && pending.holder === holder && pending.fence === fence) pending.isReleased = true;
    }
  };

  /** The highest fencing token granted of each duty, for the snapshot of the log. */
  readonly fences = (): [string, number][] => [...this.grants].map(([duty, grant]) => [duty, grant.fence]);

  /**
   * Renews what the holder has, and grants what is free under a token above all earlier ones; ends once the grants are
   * on disk.
   */
  readonly grant = async ({ holder, duties }: LeaseRequest): Promise<LeaseReply> => {
    const granted: string[] = [];
    const fences: Record<string, number> = {};
    const writes: Promise<void>[] = [];
    const now = this.clock.now();
    for (const { duty, fence } of duties) {
      if (this.renew(duty, holder, fence, now)) {
        granted.push(duty);
      } else if (this.mayGrant(duty, holder, fence, now)) {
        const written = this.grantAnew(duty, holder, fence, now + this.terms.leaseMs);
        writes.push(written.then((isGranted) => void (isGranted && granted.push(duty))));
      }
      fences[duty] = Math.max(this.highestFence(duty), this.terms.fenceFloor());
    }
    await Promise.all(writes);
    return { granted, fences };
  };

  private readonly renew = (duty: string, holder: string, fence: number, now: number): boolean => {
    const grant = this.grants.get(duty);
    if (grant === undefined || this.pending.has(duty)) return false;
    if (grant.holder !== holder || grant.fence !== fence) return false;
    grant.endAt = now + this.terms.leaseMs;
    return true;
  };

  private readonly mayGrant = (duty: string, holder: string, fence: number, now: number): boolean => {
    if (now < this.quietUntil || this.pending.has(duty)) return false;
    const grant = this.grants.get(duty);
    const isAbove = fence > Math.max(grant?.fence ?? 0, this.terms.fenceFloor());
    if (!isAbove || grant === undefined) return isAbove;
    const gapMs = grant.holder === holder ? 0 : this.terms.gapMs;
    return grant.endAt + gapMs <= now;
  };

  private readonly highestFence = (duty: string): number =>
    Math.max(this.grants.get(duty)?.fence ?? 0, this.pending.get(duty)?.fence ?? 0);

  private readonly grantAnew = async (duty: string, holder: string, fence: number, endAt: number): Promise<boolean> => {
    const pending: PendingGrant = { holder, fence, isReleased: false };
    this.pending.set(duty, pending);
    const isKept = await this.keep(duty, fence);
    this.pending.delete(duty);
    if (!isKept) return false;
    this.grants.set(duty, { holder, fence, endAt: pending.isReleased ? 0 : endAt });
    return !pending.isReleased;
  };
}
