/** The voter's side of the leases. */
import type { Clock } from '@martenworks/core-types';
import { defaultTerms } from './leaseTerms.js';
import type { LeaseReply, LeaseRequest, LeaseTerms } from './leaseTerms.js';

interface Grant {
  holder: string;
  fence: number;
  expiresAt: number;
}

/** A grant whose record is being written; its holder does not have it yet. */
interface PendingGrant {
  readonly holder: string;
  readonly fence: number;
  isReleased: boolean;
}

/**
 * The grants of one voter. A grant takes effect and is reported only once its record is on disk; a failed write leaves
 * the table unchanged.
 */
export class LeaseTable {
  private readonly grants = new Map<string, Grant>();
  private readonly pending = new Map<string, PendingGrant>();
  /**
   * No new grants before this time: after a restart, the voter does not know which of its earlier grants are still
   * valid.
   */
  private readonly grantsBlockedUntil: number;

  constructor(
    private readonly clock: Clock,
    private readonly persist: (duty: string, fence: number) => Promise<boolean>,
    persistedFences: readonly (readonly [duty: string, fence: number])[],
    isNew: boolean,
    private readonly terms: LeaseTerms = defaultTerms,
  ) {
    this.grantsBlockedUntil = isNew ? 0 : clock.now() + terms.leaseMs + terms.gapMs;
    for (const [duty, fence] of persistedFences)
      this.grants.set(duty, { holder: '', fence: Math.max(fence, this.grants.get(duty)?.fence ?? 0), expiresAt: 0 });
  }

  /** Ends the grants of this holder with these fencing tokens. */
  readonly release = ({ holder, duties }: LeaseRequest): void => {
    for (const { duty, fence } of duties) {
      const grant = this.grants.get(duty);
      if (grant !== undefined && grant.holder === holder && grant.fence === fence) grant.expiresAt = 0;
      const pending = this.pending.get(duty);
      if (pending !== undefined && pending.holder === holder && pending.fence === fence) pending.isReleased = true;
    }
  };

  /** The highest granted fencing token of each duty, for the log's snapshot. */
  readonly fences = (): [string, number][] => [...this.grants].map(([duty, grant]) => [duty, grant.fence]);

  /**
   * Renews the holder's grants, and grants vacant duties under a token higher than all earlier ones. Resolves once the
   * grants are on disk.
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
        const grantResult = this.grantNew(duty, holder, fence, now + this.terms.leaseMs);
        writes.push(grantResult.then((isGranted) => void (isGranted && granted.push(duty))));
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
    grant.expiresAt = now + this.terms.leaseMs;
    return true;
  };

  private readonly mayGrant = (duty: string, holder: string, fence: number, now: number): boolean => {
    if (now < this.grantsBlockedUntil || this.pending.has(duty)) return false;
    const grant = this.grants.get(duty);
    const isHigher = fence > Math.max(grant?.fence ?? 0, this.terms.fenceFloor());
    if (!isHigher || grant === undefined) return isHigher;
    const gapMs = grant.holder === holder ? 0 : this.terms.gapMs;
    return grant.expiresAt + gapMs <= now;
  };

  private readonly highestFence = (duty: string): number =>
    Math.max(this.grants.get(duty)?.fence ?? 0, this.pending.get(duty)?.fence ?? 0);

  private readonly grantNew = async (
    duty: string,
    holder: string,
    fence: number,
    expiresAt: number,
  ): Promise<boolean> => {
    const pending: PendingGrant = { holder, fence, isReleased: false };
    this.pending.set(duty, pending);
    const isPersisted = await this.persist(duty, fence);
    this.pending.delete(duty);
    if (!isPersisted) return false;
    this.grants.set(duty, { holder, fence, expiresAt: pending.isReleased ? 0 : expiresAt });
    return !pending.isReleased;
  };
}
