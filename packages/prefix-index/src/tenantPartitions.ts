/** Divides the replicas of a pool between the isolated tenants, all shared tenants, and mixed use. */
import { RendezvousHash } from '@martenworks/core-types';
import type { CommittedState, ReplicaRecord, IsolationClaim, IsolationStatus } from '@martenworks/core-types';

const usedReplicaGraceMs = 9_000;
const unusedReplicaGraceMs = 3_000;
const reassignmentDelayMs = 1_000;
const mixed = '*mixed*';
const shared = '*shared*';

interface Assignment {
  readonly incarnation: number;
  role: string;
  roleSince: number;
  /** For each role whose claim was granted, the time from which its requests may be sent to the replica. */
  readonly openAt: Map<string, number>;
}

const partitionHash = new RendezvousHash({ algorithm: 'sha256', separator: '\n' });

const tenantPartitionPlan = {
  roles: (replicaNames: readonly string[], isolatedTenants: readonly string[]): Map<string, string> => {
    const roles = new Map(replicaNames.map((name) => [name, shared]));
    if (isolatedTenants.length === 0) return roles;
    const count = replicaNames.length;
    const free = new Set(replicaNames);
    const assign = (label: string, role: string): void => {
      const name = partitionHash.highest(label, free);
      if (name === null) return;
      free.delete(name);
      roles.set(name, role);
    };
    const hasOwnPartition = isolatedTenants.length <= Math.floor(count / 4);
    if (hasOwnPartition) for (const tenant of [...isolatedTenants].sort()) assign(`own:${tenant}`, tenant);
    const mixedCount = hasOwnPartition ? Math.ceil(free.size / 4) : Math.ceil(count / 2);
    for (let at = 0; at < mixedCount; at += 1) assign('mixed', mixed);
    return roles;
  },
};

const admits = (role: string, isolatedTenant: string | null): boolean =>
  role === mixed || role === (isolatedTenant ?? shared);

/**
 * Assigns replicas to tenants by rendezvous hashing (Thaler and Ravishankar, 1998), with the same result on every
 * gateway. A replica serves its new tenant only once the claim on it is granted.
 */
export class TenantPartitions {
  private readonly assignments = new Map<string, Assignment>();

  /**
   * Assigns the ready replicas to the tenants of the committed state. While a replica's assignment is unchanged, it keeps
   * the time at which it was made.
   */
  readonly reconcile = (records: Iterable<ReplicaRecord>, state: CommittedState | null, now: number): void => {
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
    for (const [pool, poolRecords] of byPool) {
      const tenants = isolated
        .filter(([, tenant]) => tenant.lanes.some((lane) => state.config.lanes[lane]?.pool === pool))
        .map(([name]) => name);
      const roles = tenantPartitionPlan.roles(poolRecords.map((record) => record.name).sort(), tenants);
      for (const record of poolRecords) this.assign(record, roles.get(record.name) ?? mixed, now);
    }
    for (const name of [...this.assignments.keys()]) if (!present.has(name)) this.assignments.delete(name);
  };

  private readonly assign = (record: ReplicaRecord, role: string, now: number): void => {
    const assignment = this.assignments.get(record.name);
    if (assignment === undefined || assignment.incarnation !== record.incarnation)
      this.assignments.set(record.name, { incarnation: record.incarnation, role, roleSince: now, openAt: new Map() });
    else if (assignment.role !== role) Object.assign(assignment, { role, roleSince: now });
  };

  /** Returns the claims that must be granted before this gateway may send requests by the new assignments. */
  readonly pendingClaims = (now: number): IsolationClaim[] =>
    [...this.assignments].flatMap(([replica, { incarnation, role, roleSince, openAt }]) =>
      openAt.has(role) || (openAt.size > 0 && now - roleSince < reassignmentDelayMs)
        ? []
        : [{ replica, incarnation, side: role }],
    );

  /**
   * Applies a granted claim: the replica opens to the tenant at once if it has served no other tenant, otherwise after a
   * grace period for earlier requests and cache entries to end.
   */
  readonly applyGrantedClaim = (
    { replica, incarnation, side, sides, ageMs }: IsolationStatus,
    isUsed: boolean,
    now: number,
  ): void => {
    const assignment = this.assignments.get(replica);
    if (assignment === undefined || assignment.incarnation !== incarnation) return;
    const isOnlySide = sides.every((one) => one === side);
    assignment.openAt.set(
      side,
      isOnlySide ? now : now + Math.max(0, (isUsed ? usedReplicaGraceMs : unusedReplicaGraceMs) - ageMs),
    );
  };

  /** Whether a request of the isolated tenant (null: of any shared tenant) may run on the replica now. */
  readonly mayRun = (record: ReplicaRecord, isolatedTenant: string | null, now: number): boolean => {
    const assignment = this.assignments.get(record.name);
    if (
      assignment === undefined ||
      assignment.incarnation !== record.incarnation ||
      !admits(assignment.role, isolatedTenant)
    )
      return false;
    return [...assignment.openAt].some(([role, openAt]) => admits(role, isolatedTenant) && now >= openAt);
  };

  /** Whether cached blocks may be pulled from the replica for the isolated tenant (null: for any shared tenant). */
  readonly mayBeSource = (record: ReplicaRecord, isolatedTenant: string | null): boolean => {
    if (record.kind === 'store') return isolatedTenant === null;
    const side = isolatedTenant ?? shared;
    const assignment = this.assignments.get(record.name);
    return (
      assignment?.role === side &&
      assignment.incarnation === record.incarnation &&
      record.sides.length === 1 &&
      record.sides[0] === side
    );
  };

  /** Returns each replica's assignment, for the operators' pages. */
  readonly roles = (): { replica: string; role: string }[] =>
    [...this.assignments].map(([replica, assignment]) => ({ replica, role: assignment.role }));
}
