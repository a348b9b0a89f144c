/** The record of one replica of a gateway, as the nodes gossip it, and the merge of two records of the same replica. */

type ReplicaState = 'ready' | 'leaving' | 'gone';

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

const isAhead = (a: ReplicaRecord, b: ReplicaRecord): boolean => {
  if (a.incarnation !== b.incarnation) return a.incarnation > b.incarnation;
  if (a.state !== b.state) return stateRanks[a.state] > stateRanks[b.state];
  return JSON.stringify({ ...a, born: 0, sides: [] }) < JSON.stringify({ ...b, born: 0, sides: [] });
};

const movedSide = '*moved*';
const unknownSide = '*unknown*';

export const replicas = {
  filled: (record: ReplicaRecord): ReplicaRecord => ({
    ...record,
    sides: (record.sides as readonly string[] | undefined) ?? [unknownSide],
  }),
  merge: (held: ReplicaRecord | undefined, told: ReplicaRecord): ReplicaRecord => {
    if (held === undefined) return told;
    const ahead = isAhead(told, held) ? told : held;
    if (held.incarnation !== told.incarnation) return ahead;
    const sides = new Set([...held.sides, ...told.sides, ...(held.pool === told.pool ? [] : [movedSide])]);
    return { ...ahead, born: Math.min(held.born, told.born), sides: [...sides].sort() };
  },
  isNews: (held: ReplicaRecord | undefined, told: ReplicaRecord): boolean => {
    const merged = replicas.merge(held, told);
    return held === undefined || JSON.stringify(merged) !== JSON.stringify(held);
  },
};
