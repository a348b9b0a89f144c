/** The record of a replica as nodes gossip it, and the merge of two records of the same replica. */

/** The states in the order in which a replica goes through them; the later one wins a merge. */
type ReplicaState = 'ready' | 'leaving' | 'gone';

/**
 * A replica or a cache store of a gateway. `incarnation` increases with each run of its process; `born` is the log
 * index at which it was announced; `sides` are the isolated tenants that it may have served.
 */
export interface ReplicaRecord {
  readonly name: string;
  readonly kind: 'replica' | 'store';
  readonly incarnation: number;
  readonly state: ReplicaState;
  readonly pool: string;
  readonly address: string;
  readonly zone: string;
  readonly slots: number | null;
  readonly born: number;
  readonly sides: readonly string[];
}

const stateRanks: Record<ReplicaState, number> = { ready: 0, leaving: 1, gone: 2 };

const supersedes = (a: ReplicaRecord, b: ReplicaRecord): boolean => {
  if (a.incarnation !== b.incarnation) return a.incarnation > b.incarnation;
  if (a.state !== b.state) return stateRanks[a.state] > stateRanks[b.state];
  return JSON.stringify({ ...a, born: 0, sides: [] }) < JSON.stringify({ ...b, born: 0, sides: [] });
};

/** Added to the `sides` of an incarnation that was listed in two pools. */
const movedSide = '*moved*';
/** The `sides` of a record of an older release, which does not list them. */
const unknownSide = '*unknown*';

/**
 * Merges records of one replica. The merge is commutative and idempotent, so that nodes converge regardless of the
 * order in which they receive records. `withDefaults` completes a record of an older release, and `isUpdate` returns
 * whether a received record adds anything to the known one.
 */
export const replicaRecords = {
  withDefaults: (record: ReplicaRecord): ReplicaRecord => ({
    ...record,
    sides: (record.sides as readonly string[] | undefined) ?? [unknownSide],
  }),
  merge: (known: ReplicaRecord | undefined, received: ReplicaRecord): ReplicaRecord => {
    if (known === undefined) return received;
    const newer = supersedes(received, known) ? received : known;
    if (known.incarnation !== received.incarnation) return newer;
    const sides = new Set([...known.sides, ...received.sides, ...(known.pool === received.pool ? [] : [movedSide])]);
    return { ...newer, born: Math.min(known.born, received.born), sides: [...sides].sort() };
  },
  isUpdate: (known: ReplicaRecord | undefined, received: ReplicaRecord): boolean => {
    const merged = replicaRecords.merge(known, received);
    return known === undefined || JSON.stringify(merged) !== JSON.stringify(known);
  },
};
