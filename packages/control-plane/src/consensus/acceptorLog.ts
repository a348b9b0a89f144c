/**
 * The acceptor's write-ahead log: the events it persists and their encoding on disk. Changes and states are compressed;
 * the uncompressed records and snapshots of earlier releases can still be read.
 */
import type { CommittedState, Member } from '@martenworks/core-types';
import type { Accepted, Ballot, CommittedChange } from './ballots.js';
import { compressedChanges, compressedStates } from './compression.js';
import { legacyRecords } from './legacyRecords.js';

/** What an acceptor has promised and accepted in the open slot, the one after its committed state. */
export interface BallotState {
  readonly promised: Ballot | null;
  readonly accepted: Accepted | null;
}

/**
 * A state transition of the acceptor, applied in memory once it is on disk. `vow` is a vote for the initial members,
 * `settled` a commit; the names are those of the records on disk.
 */
export type AcceptorEvent =
  | { readonly t: 'identity'; readonly incarnation: string; readonly isFresh?: boolean }
  | { readonly t: 'vow'; readonly members: readonly Member[] }
  | { readonly t: 'adopted'; readonly agreed: CommittedState }
  | { readonly t: 'promised'; readonly slot: number; readonly ballot: Ballot }
  | { readonly t: 'accepted'; readonly slot: number; readonly accepted: Accepted }
  | { readonly t: 'settled'; readonly committed: CommittedChange };

/**
 * An event as it is written: changes and states are compressed, and a committed change that equals the accepted one is
 * not written a second time. Earlier releases wrote `AcceptorEvent` uncompressed.
 */
export type AcceptorRecord =
  | AcceptorEvent
  | { readonly t: 'adoptedCompressed'; readonly agreed: Uint8Array }
  | { readonly t: 'acceptedCompressed'; readonly slot: number; readonly ballot: Ballot; readonly change: Uint8Array }
  | { readonly t: 'settledCompressed'; readonly logIndex: number; readonly change: Uint8Array }
  | { readonly t: 'settledAsAccepted'; readonly logIndex: number };

/**
 * The acceptor's complete state, with the field names on disk: `agreed` is the committed state, `live` the ballot state
 * of the open slot, `foundingVote` the vote for the initial members; `isFresh` is true if the log began on a new node.
 */
export interface AcceptorSnapshot {
  readonly incarnation: string;
  readonly isFresh?: boolean;
  readonly foundingVote: readonly Member[] | null;
  readonly agreed: CommittedState | null;
  readonly live: BallotState;
}

/** A snapshot as it is written: the state and the accepted change are compressed. */
export interface CompressedSnapshot extends Omit<AcceptorSnapshot, 'agreed' | 'live'> {
  readonly compressedAgreed: Uint8Array | null;
  readonly promised: Ballot | null;
  readonly accepted: { readonly ballot: Ballot; readonly change: Uint8Array } | null;
}

/** A snapshot as this or an earlier release wrote it. */
export type StoredSnapshot = AcceptorSnapshot | CompressedSnapshot;

const isSameBytes = (a: Uint8Array, b: Uint8Array): boolean => Buffer.compare(a, b) === 0;

const upgradeAccepted = ({ ballot, change }: Accepted): Accepted => ({
  ballot,
  change: legacyRecords.upgradeChange(change),
});

const upgradeSnapshot = (snapshot: AcceptorSnapshot): AcceptorSnapshot => {
  const { agreed, live } = snapshot;
  return {
    ...snapshot,
    agreed: agreed === null ? null : legacyRecords.upgradeState(agreed),
    live: { ...live, accepted: live.accepted === null ? null : upgradeAccepted(live.accepted) },
  };
};

const upgradeEvent = (event: AcceptorEvent): AcceptorEvent => {
  switch (event.t) {
    case 'adopted':
      return { ...event, agreed: legacyRecords.upgradeState(event.agreed) };
    case 'accepted':
      return { ...event, accepted: upgradeAccepted(event.accepted) };
    case 'settled': {
      const { logIndex, change } = event.committed;
      return { ...event, committed: { logIndex, change: legacyRecords.upgradeChange(change) } };
    }
    default:
      return event;
  }
};

const commitRecord = ({ logIndex, change }: CommittedChange, accepted: Accepted | null): AcceptorRecord => {
  const bytes = compressedChanges.encode(change);
  const isAccepted = accepted !== null && isSameBytes(compressedChanges.encode(accepted.change), bytes);
  return isAccepted ? { t: 'settledAsAccepted', logIndex } : { t: 'settledCompressed', logIndex, change: bytes };
};

/** Encodes and decodes the acceptor's records and snapshots. Decoding throws on damaged compressed bytes. */
export const acceptorLog = {
  /** Encodes an event; `accepted` is the change that was accepted in the open slot before the event, if any. */
  encodeRecord: (event: AcceptorEvent, accepted: Accepted | null): AcceptorRecord => {
    switch (event.t) {
      case 'adopted':
        return { t: 'adoptedCompressed', agreed: compressedStates.encode(event.agreed) };
      case 'accepted': {
        const { ballot, change } = event.accepted;
        return { t: 'acceptedCompressed', slot: event.slot, ballot, change: compressedChanges.encode(change) };
      }
      case 'settled':
        return commitRecord(event.committed, accepted);
      default:
        return event;
    }
  },

  /**
   * Decodes a record of any release. `nextLogIndex` and `accepted` are the open slot and its accepted change after the
   * earlier records. Null for a commit record that refers to the accepted change of another slot.
   */
  decodeRecord: (stored: AcceptorRecord, nextLogIndex: number, accepted: Accepted | null): AcceptorEvent | null => {
    const record = legacyRecords.upgradeFields(stored);
    switch (record.t) {
      case 'adoptedCompressed':
        return { t: 'adopted', agreed: compressedStates.decode(record.agreed) };
      case 'acceptedCompressed': {
        const { slot, ballot, change } = record;
        return { t: 'accepted', slot, accepted: { ballot, change: compressedChanges.decode(change) } };
      }
      case 'settledCompressed': {
        const { logIndex, change } = record;
        return { t: 'settled', committed: { logIndex, change: compressedChanges.decode(change) } };
      }
      case 'settledAsAccepted': {
        const { logIndex } = record;
        const isAcceptedChange = logIndex === nextLogIndex && accepted !== null;
        return isAcceptedChange ? { t: 'settled', committed: { logIndex, change: accepted.change } } : null;
      }
      default:
        return upgradeEvent(record);
    }
  },

  /** Encodes a snapshot for the disk. */
  encodeSnapshot: ({ agreed, live, ...rest }: AcceptorSnapshot): CompressedSnapshot => {
    const { promised, accepted } = live;
    return {
      ...rest,
      compressedAgreed: agreed === null ? null : compressedStates.encode(agreed),
      promised,
      accepted:
        accepted === null ? null : { ballot: accepted.ballot, change: compressedChanges.encode(accepted.change) },
    };
  },

  /** Decodes a snapshot of any release. */
  decodeSnapshot: (stored: StoredSnapshot): AcceptorSnapshot => {
    const snapshot = legacyRecords.upgradeFields(stored);
    if (!('compressedAgreed' in snapshot)) return upgradeSnapshot(snapshot);
    const { compressedAgreed, promised, accepted, ...rest } = snapshot;
    const decoded =
      accepted === null ? null : { ballot: accepted.ballot, change: compressedChanges.decode(accepted.change) };
    return {
      ...rest,
      agreed: compressedAgreed === null ? null : compressedStates.decode(compressedAgreed),
      live: { promised, accepted: decoded },
    };
  },

  isSameBytes,
};
