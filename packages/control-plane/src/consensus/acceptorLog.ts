/**
 * The acceptor's write-ahead log: the events an acceptor persists, and their encoding on disk. Changes and states are
 * compressed; records and snapshots that earlier releases wrote uncompressed are still read.
 */
import type { CommittedState, Member } from '@martenworks/core-types';
import type { Accepted, Ballot, CommittedChange } from './ballots.js';
import { compressedChanges, compressedStates } from './compression.js';
import { legacyRecords } from './legacyRecords.js';

/** What an acceptor has promised and accepted in the slot after its committed state. */
export interface BallotState {
  readonly promised: Ballot | null;
  readonly accepted: Accepted | null;
}

/** A step of the acceptor, applied to memory once it is on disk. */
export type AcceptorEvent =
  | { readonly t: 'identity'; readonly incarnation: string; readonly isFresh?: boolean }
  | { readonly t: 'vow'; readonly members: readonly Member[] }
  | { readonly t: 'adopted'; readonly agreed: CommittedState }
  | { readonly t: 'promised'; readonly slot: number; readonly ballot: Ballot }
  | { readonly t: 'accepted'; readonly slot: number; readonly accepted: Accepted }
  | { readonly t: 'settled'; readonly committed: CommittedChange };

/**
 * An event as it is written: changes and states compressed, and a committed change that is the accepted one not written
 * again. Earlier releases wrote the events as they stand.
 */
export type AcceptorRecord =
  | AcceptorEvent
  | { readonly t: 'adoptedCompressed'; readonly agreed: Uint8Array }
  | { readonly t: 'acceptedCompressed'; readonly slot: number; readonly ballot: Ballot; readonly change: Uint8Array }
  | { readonly t: 'settledCompressed'; readonly logIndex: number; readonly change: Uint8Array }
  | { readonly t: 'settledAsAccepted'; readonly logIndex: number };

/** The acceptor's whole state. The field names are those that earlier releases wrote to disk. */
export interface AcceptorSnapshot {
  readonly incarnation: string;
  readonly isFresh?: boolean;
  readonly foundingVote: readonly Member[] | null;
  readonly agreed: CommittedState | null;
  readonly live: BallotState;
}

/** A snapshot as it is written, with its state and its accepted change compressed. */
export interface CompressedSnapshot extends Omit<AcceptorSnapshot, 'agreed' | 'live'> {
  readonly compressedAgreed: Uint8Array | null;
  readonly promised: Ballot | null;
  readonly accepted: { readonly ballot: Ballot; readonly change: Uint8Array } | null;
}

/** A snapshot as any release wrote it. */
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

const settledRecord = ({ logIndex, change }: CommittedChange, accepted: Accepted | null): AcceptorRecord => {
  const bytes = compressedChanges.encode(change);
  const isAccepted = accepted !== null && isSameBytes(compressedChanges.encode(accepted.change), bytes);
  return isAccepted ? { t: 'settledAsAccepted', logIndex } : { t: 'settledCompressed', logIndex, change: bytes };
};

/** Encoding of the acceptor's records and snapshots. Decoding throws on compressed bytes that are damaged. */
export const acceptorLog = {
  /** The record for an event; `accepted` is the change that the acceptor holds as accepted before the event. */
  encodeRecord: (event: AcceptorEvent, accepted: Accepted | null): AcceptorRecord => {
    switch (event.t) {
      case 'adopted':
        return { t: 'adoptedCompressed', agreed: compressedStates.encode(event.agreed) };
      case 'accepted': {
        const { ballot, change } = event.accepted;
        return { t: 'acceptedCompressed', slot: event.slot, ballot, change: compressedChanges.encode(change) };
      }
      case 'settled':
        return settledRecord(event.committed, accepted);
      default:
        return event;
    }
  },

  /**
   * The event of a record of any release, given the slot and the accepted change that the records before it lead to;
   * null for a committed change that refers to an acceptance of another slot.
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
        const isOfSlot = logIndex === nextLogIndex && accepted !== null;
        return isOfSlot ? { t: 'settled', committed: { logIndex, change: accepted.change } } : null;
      }
      default:
        return upgradeEvent(record);
    }
  },

  /** The snapshot as it is written. */
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

  /** The snapshot that any release wrote. */
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
