import { createHash } from 'node:crypto';
import type { Clock } from '@martenworks/core-types';

export const leaseMs = 3_000;
const marginMs = 600;
const jumpMs = 500;
const idleTicksBeforeHelp = 3;

export interface LeaseRequest {
  readonly holder: string;
  readonly duties: readonly { readonly duty: string; readonly fence: number }[];
}

export interface LeaseReply {
  readonly granted: readonly string[];
  readonly fences: Record<string, number>;
}

interface Grant {
  holder: string;
  fence: number;
  endAt: number;
}

/** Milliseconds: how long a grant lasts, how much earlier its holder stops, how long after its end nobody else gets it; and the fence that any new one must pass. */
export interface LeaseTerms {
  readonly leaseMs: number;
  readonly marginMs: number;
  readonly gapMs: number;
  readonly floor: () => number;
}

const usualTerms: LeaseTerms = { leaseMs, marginMs, gapMs: 0, floor: () => 0 };

/** A grant whose record is being written; nobody counts on it yet. */
interface PendingGrant {
  readonly holder: string;
  readonly fence: number;
  isReleased: boolean;
}

/** One voter's part of the leases: a grant is told only once its record is on disk, and a failed write leaves the routing table as it was. */
export class LeaseTable {
  private readonly grants = new Map<string, Grant>();
  private readonly pending = new Map<string, PendingGrant>();
  private readonly quietUntil: number;

  constructor(
    private readonly clock: Clock,
    private readonly keep: (duty: string, fence: number) => Promise<boolean>,
    kept: readonly (readonly [duty: string, fence: number])[],
    isNew: boolean,
    private readonly terms: LeaseTerms = usualTerms,
  ) {
    this.quietUntil = isNew ? 0 : clock.now() + terms.leaseMs + terms.gapMs;
    for (const [duty, fence] of kept)
      this.grants.set(duty, { holder: '', fence: Math.max(fence, this.grants.get(duty)?.fence ?? 0), endAt: 0 });
  }

  readonly release = ({ holder, duties }: LeaseRequest): void => {
    for (const { duty, fence } of duties) {
      const held = this.grants.get(duty);
      if (held !== undefined && held.holder === holder && held.fence === fence) held.endAt = 0;
      const pending = this.pending.get(duty);
      if (pending !== undefined && pending.holder === holder && pending.fence === fence) pending.isReleased = true;
    }
  };

  readonly fences = (): [string, number][] => [...this.grants].map(([duty, grant]) => [duty, grant.fence]);

  readonly grant = async ({ holder, duties }: LeaseRequest): Promise<LeaseReply> => {
    const granted: string[] = [];
    const fences: Record<string, number> = {};
    const writes: Promise<void>[] = [];
    const now = this.clock.now();
    for (const { duty, fence } of duties) {
      const held = this.grants.get(duty);
      const isBeingGranted = this.pending.has(duty);
      const isRenewal = !isBeingGranted && held !== undefined && held.holder === holder && held.fence === fence;
      const isFree =
        now >= this.quietUntil &&
        (held === undefined || held.endAt + (held.holder === holder ? 0 : this.terms.gapMs) <= now);
      if (isRenewal) {
        held.endAt = now + this.terms.leaseMs;
        granted.push(duty);
      } else if (isFree && !isBeingGranted && fence > Math.max(held?.fence ?? 0, this.terms.floor())) {
        writes.push(
          this.grantAnew(duty, holder, fence, now + this.terms.leaseMs).then(
            (isGranted) => void (isGranted && granted.push(duty)),
          ),
        );
      }
      fences[duty] = Math.max(this.highestFence(duty), this.terms.floor());
    }
    await Promise.all(writes);
    return { granted, fences };
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

interface Held {
  readonly fence: number;
  endAt: number;
  wallGap: number;
}

export interface LeaseStatus {
  readonly duty: string;
  readonly fence: number;
  readonly leftMs: number;
}

export class LeaseManager {
  private readonly held = new Map<string, Held>();
  private readonly fences = new Map<string, number>();
  private readonly idle = new Map<string, number>();
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
    private readonly terms: LeaseTerms = usualTerms,
  ) {}

  private readonly wallGap = (): number => this.clock.wall() - this.clock.now();

  readonly fenceOf = (duty: string): number | null => {
    const lease = this.held.get(duty);
    if (lease === undefined) return null;
    const isSound = this.clock.now() < lease.endAt && Math.abs(this.wallGap() - lease.wallGap) < jumpMs;
    return isSound ? lease.fence : null;
  };

  private readonly rankFor = (duty: string): number => {
    const score = (name: string): string => createHash('sha256').update(`${duty}\n${name}`).digest('hex');
    const own = score(this.holder());
    return this.peers().filter((name) => score(name) > own).length;
  };

  readonly tick = async (): Promise<void> => {
    const wanted = new Set(this.wanted());
    let hasChanged = false;
    for (const duty of [...this.held.keys()]) {
      if (wanted.has(duty) && this.fenceOf(duty) !== null) continue;
      this.held.delete(duty);
      hasChanged = true;
    }
    if (hasChanged) this.changed();
    if (this.isAsking) return;
    const duties: { duty: string; fence: number }[] = [];
    for (const duty of wanted) {
      const fence = this.fenceOf(duty);
      const idleTicks = fence === null ? (this.idle.get(duty) ?? 0) + 1 : 0;
      this.idle.set(duty, idleTicks);
      if (fence !== null) duties.push({ duty, fence });
      else if (idleTicks > this.rankFor(duty) * idleTicksBeforeHelp)
        duties.push({ duty, fence: Math.max(this.fences.get(duty) ?? 0, this.terms.floor()) + 1 });
    }
    for (const duty of this.idle.keys()) if (!wanted.has(duty)) this.idle.delete(duty);
    if (duties.length === 0) return;
    this.isAsking = true;
    await this.ask(duties).finally(() => (this.isAsking = false));
  };

  private readonly ask = async (duties: readonly { duty: string; fence: number }[]): Promise<void> => {
    const askedAt = this.clock.now();
    const wallGap = this.wallGap();
    const replies = await this.askAll({ holder: this.holder(), duties });
    let hasChanged = false;
    const missed: { duty: string; fence: number }[] = [];
    for (const { duty, fence } of duties) {
      for (const reply of replies) this.fences.set(duty, Math.max(this.fences.get(duty) ?? 0, reply.fences[duty] ?? 0));
      const votes = replies.filter((reply) => reply.granted.includes(duty)).length;
      if (votes < this.majority()) {
        if (votes > 0 && this.held.get(duty)?.fence !== fence) missed.push({ duty, fence });
        continue;
      }
      const isNew = this.held.get(duty)?.fence !== fence;
      this.held.set(duty, { fence, endAt: askedAt + this.terms.leaseMs - this.terms.marginMs, wallGap });
      this.idle.set(duty, 0);
      if (isNew) hasChanged = true;
    }
    if (missed.length > 0) this.releaseAll({ holder: this.holder(), duties: missed });
    if (hasChanged) this.changed();
  };

  readonly resign = (): void => {
    const duties = [...this.held].map(([duty, lease]) => ({ duty, fence: lease.fence }));
    this.held.clear();
    this.changed();
    if (duties.length > 0) this.releaseAll({ holder: this.holder(), duties });
  };

  readonly status = (): LeaseStatus[] =>
    [...this.held].flatMap(([duty, lease]) =>
      this.fenceOf(duty) === null
        ? []
        : [{ duty, fence: lease.fence, leftMs: Math.round(lease.endAt - this.clock.now()) }],
    );
}

export class FenceGate {
  private readonly highest = new Map<string, number>();

  readonly admits = (duty: string, fence: number): boolean => {
    if (fence < (this.highest.get(duty) ?? 0)) return false;
    this.highest.set(duty, fence);
    return true;
  };
}
