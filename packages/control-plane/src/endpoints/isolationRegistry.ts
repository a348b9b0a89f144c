/** Which sides (isolated tenants) each replica may have served, and since when this node knows it. */
import type { Clock, ReplicaRecord, IsolationClaim, IsolationStatus } from '@martenworks/core-types';
import type { ReplicaTable } from './replicaTable.js';

/** Writes the sides that gateways claim of replicas into the replica records, and keeps the time of each. */
export class IsolationRegistry {
  private readonly since = new Map<string, number>();

  constructor(
    private readonly table: ReplicaTable,
    private readonly clock: Clock,
  ) {
    this.note(table.records());
    table.watch(this.note);
  }

  private readonly labelOf = (replica: string, incarnation: number, side: string): string =>
    `${replica}\n${incarnation}\n${side}`;

  private readonly note = (records: readonly ReplicaRecord[]): void => {
    for (const { name, incarnation, sides, state } of records) {
      for (const side of sides) {
        const label = this.labelOf(name, incarnation, side);
        if (state === 'gone') this.since.delete(label);
        else if (!this.since.has(label)) this.since.set(label, this.clock.now());
      }
    }
  };

  /**
   * Records that replicas serve a side; replies all sides of each and how long ago this node learnt of the claimed one,
   * in milliseconds. Null where the disk failed; replicas that are unknown under their incarnation are left out.
   */
  readonly recordClaims = async (claims: readonly IsolationClaim[]): Promise<IsolationStatus[] | null> => {
    const known = claims.filter(({ replica, incarnation }) => this.table.find(replica)?.incarnation === incarnation);
    const records = known.map(({ replica, side }) => ({
      ...(this.table.find(replica) as ReplicaRecord),
      sides: [side],
    }));
    const kept = await this.table.merge(records);
    if (kept.isErr()) return null;
    return known.flatMap((claim) => {
      const record = this.table.find(claim.replica);
      const since = this.since.get(this.labelOf(claim.replica, claim.incarnation, claim.side));
      return record === undefined || record.incarnation !== claim.incarnation || since === undefined
        ? []
        : [{ ...claim, sides: record.sides, ageMs: this.clock.now() - since }];
    });
  };
}
