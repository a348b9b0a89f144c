/** Tracks which sides (isolated tenants) each replica may have served, and when this node learned of each. */
import type { Clock, ReplicaRecord, IsolationClaim, IsolationStatus } from '@martenworks/core-types';
import type { ReplicaTable } from './replicaTable.js';

/** Writes the sides that gateways claim on replicas into the replica records, and keeps the time of each. */
export class IsolationRegistry {
  private readonly recordedAt = new Map<string, number>();

  constructor(
    private readonly table: ReplicaTable,
    private readonly clock: Clock,
  ) {
    this.recordSides(table.records());
    table.watch(this.recordSides);
  }

  private readonly keyOf = (replica: string, incarnation: number, side: string): string =>
    `${replica}\n${incarnation}\n${side}`;

  private readonly recordSides = (records: readonly ReplicaRecord[]): void => {
    for (const { name, incarnation, sides, state } of records) {
      for (const side of sides) {
        const key = this.keyOf(name, incarnation, side);
        if (state === 'gone') this.recordedAt.delete(key);
        else if (!this.recordedAt.has(key)) this.recordedAt.set(key, this.clock.now());
      }
    }
  };

  /**
   * Records that replicas serve a side. Returns all sides of each replica, and how many milliseconds ago this node
   * learned of the claimed one; null if the write failed. Replicas whose current incarnation differs are left out.
   */
  readonly recordClaims = async (claims: readonly IsolationClaim[]): Promise<IsolationStatus[] | null> => {
    const known = claims.filter(({ replica, incarnation }) => this.table.find(replica)?.incarnation === incarnation);
    const records = known.map(({ replica, side }) => ({
      ...(this.table.find(replica) as ReplicaRecord),
      sides: [side],
    }));
    const merged = await this.table.merge(records);
    if (merged.isErr()) return null;
    return known.flatMap((claim) => {
      const record = this.table.find(claim.replica);
      const since = this.recordedAt.get(this.keyOf(claim.replica, claim.incarnation, claim.side));
      return record === undefined || record.incarnation !== claim.incarnation || since === undefined
        ? []
        : [{ ...claim, sides: record.sides, ageMs: this.clock.now() - since }];
    });
  };
}
