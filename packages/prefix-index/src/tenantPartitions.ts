/** Divides the replicas of a pool between single isolated tenants, all shared tenants, and mixed use. */
import { RendezvousHash } from '@martenworks/core-types';
import type { CommittedState, ReplicaRecord, IsolationClaim, IsolationStatus } from '@martenworks/core-types';

const usedGraceMs = 9_000;
const unusedGraceMs = 3_000;
const steadyMs = 1_000;
const mixed = '*mixed*';
const shared = '*shared*';

interface Seat {
  readonly incarnation: number;
  role: string;
  roleSince: number;
  readonly openAt: Map<string, number>;
}

const partitionHash = new RendezvousHash({ algorithm: 'sha256', separator: '\n' });

const tenantPartitionPlan = {
  roles: (replicaNames: readonly string[], isolatedTenants: readonly string[]): Map<string, string> => {
    const roles = new Map(replicaNames.map((name) => [name, shared]));
    if (isolatedTenants.length === 0) return roles;
    const count = replicaNames.length;
    const free = new Set(replicaNames);
    const seat = (label: string, role: string): void => {
      const name = partitionHash.highest(label, free);
      if (name === null) return;
      free.delete(name);
      roles.set(name, role);
    };
    const hasOwnPartition = isolatedTenants.length <= Math.floor(count / 4);
    if (hasOwnPartition) for (const tenant of [...isolatedTenants].sort()) seat(`own:${tenant}`, tenant);
    const mixedCount = hasOwnPartition ? Math.ceil(free.size / 4) : Math.ceil(count / 2);
    for (let at = 0; at < mixedCount; at += 1) seat('mixed', mixed);
    return roles;
  },
};

const admits = (role: string, isolatedTenant: string | null): boolean =>
  role === mixed || role === (isolatedTenant ?? shared);

/**
 * Assigns replicas to tenants by rendezvous hashing (Thaler and Ravishankar), alike at every gateway; a replica changes
 * over only once it was claimed.
 */
export class TenantPartitions {
  private readonly seats = new Map<string, Seat>();

  /**
   * Assigns the ready replicas by the tenants of the committed state. Replicas keep their time of assignment while it
   * stays the same.
   */
  readonly align = (records: Iterable<ReplicaRecord>, state: CommittedState | null, now: number): void => {
    if (state === null) return;
    const isolated = Object.entries(state.config.tenants).filter(([, tenant]) => tenant.isolated);
    const served = new Set(Object.values(state.config.lanes).map((lane) => lane.pool));
    const byPool = new Map<string, ReplicaRecord[]>();
    const present = new Set<string>();
    for (const record of records) {
      if (record.state !== 'ready' || record.kind !== 'replica' || !served.has(record.pool)) continue;
      present.add(record.name);
      byPool.set(record.pool, [...(byPool.get(record.pool) ?? []), record]);
    }
    for (const [pool, some] of byPool) {
      const tenants = isolated
        .filter(([, tenant]) => tenant.lanes.some((lane) => state.config.lanes[lane]?.pool === pool))
        .map(([name]) => name);
      const roles = tenantPartitionPlan.roles(some.map((record) => record.name).sort(), tenants);
      for (const record of some) this.seat(record, roles.get(record.name) ?? mixed, now);
    }
    for (const name of [...this.seats.keys()]) if (!present.has(name)) this.seats.delete(name);
  };

  private readonly seat = (record: ReplicaRecord, role: string, now: number): void => {
    const held = this.seats.get(record.name);
    if (held === undefined || held.incarnation !== record.incarnation)
      this.seats.set(record.name, { incarnation: record.incarnation, role, roleSince: now, openAt: new Map() });
    else if (held.role !== role) Object.assign(held, { role, roleSince: now });
  };

  /** Claims that this gateway has to make before it may send requests to replicas by their new assignments. */
  readonly pendingClaims = (now: number): IsolationClaim[] =>
    [...this.seats].flatMap(([replica, { incarnation, role, roleSince, openAt }]) =>
      openAt.has(role) || (openAt.size > 0 && now - roleSince < steadyMs) ? [] : [{ replica, incarnation, side: role }],
    );

  /**
   * A claim was granted: the replica opens to its tenant at once where it served no other, else after the time that
   * earlier requests and cache entries may last.
   */
  readonly applyGrantedClaim = (
    { replica, incarnation, side, sides, ageMs }: IsolationStatus,
    isUsed: boolean,
    now: number,
  ): void => {
    const seat = this.seats.get(replica);
    if (seat === undefined || seat.incarnation !== incarnation) return;
    const isSole = sides.every((one) => one === side);
    seat.openAt.set(side, isSole ? now : now + Math.max(0, (isUsed ? usedGraceMs : unusedGraceMs) - ageMs));
  };

  /** Whether a request of the tenant (null: any that isn't isolated) may run on the replica now. */
  readonly mayRun = (record: ReplicaRecord, isolatedTenant: string | null, now: number): boolean => {
    const seat = this.seats.get(record.name);
    if (seat === undefined || seat.incarnation !== record.incarnation || !admits(seat.role, isolatedTenant))
      return false;
    return [...seat.openAt].some(([role, openAt]) => admits(role, isolatedTenant) && now >= openAt);
  };

  /** Whether the replica may be named as a source of cache entries for the tenant. */
  readonly mayBeSource = (record: ReplicaRecord, isolatedTenant: string | null): boolean => {
    if (record.kind === 'store') return isolatedTenant === null;
    const side = isolatedTenant ?? shared;
    const seat = this.seats.get(record.name);
    return (
      seat?.role === side &&
      seat.incarnation === record.incarnation &&
      record.sides.length === 1 &&
      record.sides[0] === side
    );
  };

  /** Each replica's assignment, for the operators' pages. */
  readonly roles = (): { replica: string; role: string }[] =>
    [...this.seats].map(([replica, seat]) => ({ replica, role: seat.role }));
}
