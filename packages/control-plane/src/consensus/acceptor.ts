import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { CommandQueue, stateMachine } from '@martenworks/core-types';
import type { CommittedState, Change, Clock, Disk, Log, Member, Random } from '@martenworks/core-types';
import { writeAheadLogs } from '@martenworks/write-ahead-log';
import type { WriteAheadLog, WriteAheadLogError } from '@martenworks/write-ahead-log';
import { compressedChanges, compressedStates } from './compression.js';
import { earlierRecords } from './earlierRecords.js';
import { logPrefixes, removeDamagedLogs } from './memberLogs.js';

export type Ballot = readonly [number, string];

export interface Accepted {
  readonly ballot: Ballot;
  readonly change: Change;
}

export interface CommittedChange {
  readonly logIndex: number;
  readonly change: Change;
}

export type Vote =
  | { readonly kind: 'promised'; readonly accepted: Accepted | null }
  | { readonly kind: 'accepted' }
  | { readonly kind: 'denied'; readonly promised: Ballot }
  | { readonly kind: 'ahead'; readonly logIndex: number }
  | { readonly kind: 'behind'; readonly logIndex: number }
  | { readonly kind: 'mute'; readonly cause: 'unfounded' | 'no voter' | 'disk' };

export type Since =
  | { readonly kind: 'changes'; readonly committed: readonly CommittedChange[] }
  | { readonly kind: 'checkpoint'; readonly agreed: CommittedState }
  | { readonly kind: 'nothing' };

interface Live {
  promised: Ballot | null;
  accepted: Accepted | null;
}

/** A settled change in its compressed bytes. */
export interface CompressedCommit {
  readonly logIndex: number;
  readonly change: Uint8Array;
}

/** What happened, as the acceptor applies it to its memory once it is on disk. */
type AcceptorEvent =
  | { readonly t: 'identity'; readonly incarnation: string; readonly isFresh?: boolean }
  | { readonly t: 'vow'; readonly members: readonly Member[] }
  | { readonly t: 'adopted'; readonly agreed: CommittedState }
  | { readonly t: 'promised'; readonly slot: number; readonly ballot: Ballot }
  | { readonly t: 'accepted'; readonly slot: number; readonly accepted: Accepted }
  | { readonly t: 'settled'; readonly committed: CommittedChange };

/** The same on disk: changes and states compressed; a settled change that is the accepted one is not written again. Records of earlier releases are events as they stand. */
type LogRecord =
  | AcceptorEvent
  | { readonly t: 'adoptedCompressed'; readonly agreed: Uint8Array }
  | { readonly t: 'acceptedCompressed'; readonly slot: number; readonly ballot: Ballot; readonly change: Uint8Array }
  | { readonly t: 'settledCompressed'; readonly logIndex: number; readonly change: Uint8Array }
  | { readonly t: 'settledAsAccepted'; readonly logIndex: number };

interface AcceptorSnapshot {
  readonly incarnation: string;
  readonly isFresh?: boolean;
  readonly foundingVote: readonly Member[] | null;
  readonly agreed: CommittedState | null;
  readonly live: Live;
}

/** A snapshot with its state and its accepted change compressed; those of earlier releases are not. */
interface CompressedSnapshot extends Omit<AcceptorSnapshot, 'agreed' | 'live'> {
  readonly compressedAgreed: Uint8Array | null;
  readonly promised: Ballot | null;
  readonly accepted: { readonly ballot: Ballot; readonly change: Uint8Array } | null;
}

const recentLimit = 256;
const recentLimitBytes = 4 * 1024 * 1024;
const sinceLimit = 16;
const segmentsBeforeSnapshot = 4;

export const ballots = {
  compare: (a: Ballot, b: Ballot): number => a[0] - b[0] || (a[1] < b[1] ? -1 : a[1] > b[1] ? 1 : 0),
};

const sameBytes = (a: Uint8Array, b: Uint8Array): boolean => Buffer.compare(a, b) === 0;

const acceptedOf = ({ ballot, change }: Accepted): Accepted => ({ ballot, change: earlierRecords.change(change) });

const uncompressedSnapshot = (held: AcceptorSnapshot): AcceptorSnapshot => ({
  ...held,
  agreed: held.agreed === null ? null : earlierRecords.state(held.agreed),
  live: { ...held.live, accepted: held.live.accepted === null ? null : acceptedOf(held.live.accepted) },
});

/** An uncompressed record, as releases wrote them that compressed nothing. */
const uncompressedEvent = (record: AcceptorEvent): AcceptorEvent => {
  switch (record.t) {
    case 'adopted':
      return { ...record, agreed: earlierRecords.state(record.agreed) };
    case 'accepted':
      return { ...record, accepted: acceptedOf(record.accepted) };
    case 'settled': {
      const { logIndex, change } = record.committed;
      return { ...record, committed: { logIndex, change: earlierRecords.change(change) } };
    }
    default:
      return record;
  }
};

const snapshotOf = (stored: AcceptorSnapshot | CompressedSnapshot): AcceptorSnapshot => {
  const held = earlierRecords.fields(stored);
  if (!('compressedAgreed' in held)) return uncompressedSnapshot(held);
  const { compressedAgreed, promised, accepted, ...rest } = held;
  return {
    ...rest,
    agreed: compressedAgreed === null ? null : compressedStates.decode(compressedAgreed),
    live: {
      promised,
      accepted:
        accepted === null ? null : { ballot: accepted.ballot, change: compressedChanges.decode(accepted.change) },
    },
  };
};

/** One voter's part of the agreement: what it promised, accepted and knows to be settled, on disk before it is told. */
export class Acceptor {
  private readonly commands = new CommandQueue();
  private readonly recent: CompressedCommit[] = [];
  private recentBytes = 0;
  private readonly watchers: ((committed: CommittedChange | null) => void)[] = [];
  private state: CommittedState | null = null;
  private live: Live = { promised: null, accepted: null };
  private foundingVote: readonly Member[] | null = null;
  private acceptedAt = 0;
  incarnation = '';
  isFresh = true;

  constructor(
    private readonly wal: WriteAheadLog,
    private readonly clock: Clock,
    private readonly log: Log,
  ) {}

  readonly replay = (held: AcceptorSnapshot | CompressedSnapshot | null, records: readonly LogRecord[]): void => {
    const snapshot = held === null ? null : snapshotOf(held);
    if (snapshot !== null) {
      this.incarnation = snapshot.incarnation;
      this.isFresh = snapshot.isFresh ?? true;
      this.foundingVote = snapshot.foundingVote;
      this.state = snapshot.agreed === null ? null : stateMachine.filled(snapshot.agreed);
      this.live = snapshot.live;
    }
    for (const record of records) {
      const event = this.eventOf(record);
      if (event !== null) this.redo(event);
    }
    this.acceptedAt = this.clock.now();
  };

  /** The event that a record of any release tells; null for a settled change that refers to an acceptance of another slot. */
  private readonly eventOf = (stored: LogRecord): AcceptorEvent | null => {
    const record = earlierRecords.fields(stored);
    switch (record.t) {
      case 'adoptedCompressed':
        return { t: 'adopted', agreed: compressedStates.decode(record.agreed) };
      case 'acceptedCompressed':
        return {
          t: 'accepted',
          slot: record.slot,
          accepted: { ballot: record.ballot, change: compressedChanges.decode(record.change) },
        };
      case 'settledCompressed':
        return {
          t: 'settled',
          committed: { logIndex: record.logIndex, change: compressedChanges.decode(record.change) },
        };
      case 'settledAsAccepted':
        return record.logIndex === this.nextLogIndex() && this.live.accepted !== null
          ? { t: 'settled', committed: { logIndex: record.logIndex, change: this.live.accepted.change } }
          : null;
      default:
        return uncompressedEvent(record);
    }
  };

  private readonly recordOf = (event: AcceptorEvent): LogRecord => {
    switch (event.t) {
      case 'adopted':
        return { t: 'adoptedCompressed', agreed: compressedStates.encode(event.agreed) };
      case 'accepted': {
        const { ballot, change } = event.accepted;
        return { t: 'acceptedCompressed', slot: event.slot, ballot, change: compressedChanges.encode(change) };
      }
      case 'settled': {
        const { logIndex, change } = event.committed;
        const bytes = compressedChanges.encode(change);
        const isAccepted =
          this.live.accepted !== null && sameBytes(compressedChanges.encode(this.live.accepted.change), bytes);
        return isAccepted ? { t: 'settledAsAccepted', logIndex } : { t: 'settledCompressed', logIndex, change: bytes };
      }
      default:
        return event;
    }
  };

  private readonly remember = ({ logIndex, change }: CommittedChange): void => {
    const bytes = compressedChanges.encode(change);
    this.recent.push({ logIndex, change: bytes });
    this.recentBytes += bytes.length;
    while (this.recent.length > recentLimit || (this.recentBytes > recentLimitBytes && this.recent.length > 1))
      this.recentBytes -= this.recent.shift()?.change.length ?? 0;
  };

  private readonly redo = (record: AcceptorEvent): void => {
    switch (record.t) {
      case 'identity':
        this.incarnation = record.incarnation;
        this.isFresh = record.isFresh ?? true;
        return;
      case 'vow':
        this.foundingVote = record.members;
        return;
      case 'adopted':
        this.state = stateMachine.filled(record.agreed);
        this.live = { promised: null, accepted: null };
        this.recent.length = 0;
        this.recentBytes = 0;
        return;
      case 'promised':
        if (record.slot === this.nextLogIndex()) this.live = { ...this.live, promised: record.ballot };
        return;
      case 'accepted':
        if (record.slot === this.nextLogIndex()) {
          this.live = { promised: record.accepted.ballot, accepted: record.accepted };
          this.acceptedAt = this.clock.now();
        }
        return;
      case 'settled':
        if (this.state === null || record.committed.logIndex !== this.nextLogIndex()) return;
        this.state = stateMachine.apply(this.state, record.committed.change);
        this.live = { promised: null, accepted: null };
        this.remember(record.committed);
        return;
    }
  };

  private readonly keep = async (record: AcceptorEvent): Promise<Result<void, WriteAheadLogError>> => {
    const written = await this.wal.append(this.recordOf(record));
    if (written.isErr()) {
      this.log.error('log append failed', { record: record.t, fault: written.error });
      return written;
    }
    this.redo(record);
    if (this.wal.segmentCount() > segmentsBeforeSnapshot) {
      const made = await this.wal.snapshot(this.capture);
      if (made.isErr()) this.log.warn('snapshot write failed', { fault: made.error });
    }
    return written;
  };

  private readonly capture = (): CompressedSnapshot => {
    const { promised, accepted } = this.live;
    return {
      incarnation: this.incarnation,
      isFresh: this.isFresh,
      foundingVote: this.foundingVote,
      compressedAgreed: this.state === null ? null : compressedStates.encode(this.state),
      promised,
      accepted:
        accepted === null ? null : { ballot: accepted.ballot, change: compressedChanges.encode(accepted.change) },
    };
  };

  readonly identify = (random: Random, isFresh: boolean): Promise<Result<void, WriteAheadLogError>> =>
    this.commands.run(async () =>
      this.incarnation === '' ? this.keep({ t: 'identity', incarnation: random.token(8), isFresh }) : ok(undefined),
    );

  readonly agreed = (): CommittedState | null => this.state;

  readonly nextLogIndex = (): number => (this.state === null ? -1 : this.state.logIndex + 1);

  readonly isVoter = (): boolean =>
    this.state?.members.some((member) => member.incarnation === this.incarnation) === true;

  readonly pendingForMs = (): number | null =>
    this.live.accepted === null ? null : this.clock.now() - this.acceptedAt;

  readonly highestRound = (): number => this.live.promised?.[0] ?? 0;

  readonly acceptedSlot = (): number | null => (this.live.accepted === null ? null : this.nextLogIndex());

  /** Whether a swap of members was accepted here that is not known to be settled. */
  readonly hasPendingSwap = (): boolean => this.live.accepted?.change.body.kind === 'swap';

  readonly watch = (listener: (committed: CommittedChange | null) => void): void => void this.watchers.push(listener);

  private readonly notifyWatchers = (committed: CommittedChange | null): void => {
    for (const verb of this.watchers) verb(committed);
  };

  readonly voteFounding = (
    members: readonly Member[],
  ): Promise<{ isGranted: boolean; members: readonly Member[] | null }> =>
    this.commands.run(async () => {
      if (this.state !== null) return { isGranted: false, members: null };
      if (this.foundingVote === null) {
        const kept = await this.keep({ t: 'vow', members });
        if (kept.isErr()) return { isGranted: false, members: null };
      }
      return { isGranted: JSON.stringify(this.foundingVote) === JSON.stringify(members), members: this.foundingVote };
    });

  readonly foundingVoteCast = (): readonly Member[] | null => this.foundingVote;

  readonly adopt = (agreed: CommittedState): Promise<boolean> =>
    this.commands.run(async () => {
      if (this.state !== null && this.state.logIndex >= agreed.logIndex) return false;
      const kept = await this.keep({ t: 'adopted', agreed });
      if (kept.isOk()) this.notifyWatchers(null);
      return kept.isOk();
    });

  private readonly objection = (slot: number): Vote | null => {
    if (this.state === null) return { kind: 'mute', cause: 'unfounded' };
    if (slot < this.nextLogIndex()) return { kind: 'ahead', logIndex: this.state.logIndex };
    if (slot > this.nextLogIndex()) return { kind: 'behind', logIndex: this.state.logIndex };
    return this.isVoter() ? null : { kind: 'mute', cause: 'no voter' };
  };

  readonly prepare = (slot: number, ballot: Ballot): Promise<Vote> =>
    this.commands.run(async (): Promise<Vote> => {
      const objection = this.objection(slot);
      if (objection !== null) return objection;
      if (this.live.promised !== null && ballots.compare(ballot, this.live.promised) <= 0)
        return { kind: 'denied', promised: this.live.promised };
      const kept = await this.keep({ t: 'promised', slot, ballot });
      return kept.isErr() ? { kind: 'mute', cause: 'disk' } : { kind: 'promised', accepted: this.live.accepted };
    });

  readonly accept = (slot: number, ballot: Ballot, change: Change): Promise<Vote> =>
    this.commands.run(async (): Promise<Vote> => {
      const objection = this.objection(slot);
      if (objection !== null) return objection;
      if (this.live.promised !== null && ballots.compare(ballot, this.live.promised) < 0)
        return { kind: 'denied', promised: this.live.promised };
      const kept = await this.keep({ t: 'accepted', slot, accepted: { ballot, change } });
      return kept.isErr() ? { kind: 'mute', cause: 'disk' } : { kind: 'accepted' };
    });

  readonly commit = (committed: CommittedChange): Promise<boolean> =>
    this.commands.run(async () => {
      if (committed.logIndex !== this.nextLogIndex())
        return this.state !== null && committed.logIndex < this.nextLogIndex();
      const kept = await this.keep({ t: 'settled', committed });
      if (kept.isOk()) this.notifyWatchers(committed);
      return kept.isOk();
    });

  readonly since = (logIndex: number): Since => {
    if (this.state === null) return { kind: 'nothing' };
    if (logIndex >= this.state.logIndex) return { kind: 'changes', committed: [] };
    const first = this.recent[0];
    const isNear = this.state.logIndex - logIndex <= sinceLimit;
    if (isNear && logIndex >= 0 && first !== undefined && first.logIndex <= logIndex + 1)
      return {
        kind: 'changes',
        committed: this.recent
          .filter((one) => one.logIndex > logIndex)
          .map((one) => ({ logIndex: one.logIndex, change: compressedChanges.decode(one.change) })),
      };
    return { kind: 'checkpoint', agreed: this.state };
  };

  /** The change in these bytes, which is mostly the one accepted already. */
  readonly changeOf = (bytes: Uint8Array): Change => {
    const accepted = this.live.accepted?.change;
    return accepted !== undefined && sameBytes(compressedChanges.encode(accepted), bytes)
      ? accepted
      : compressedChanges.decode(bytes);
  };

  /** All changes after a generation in their compressed bytes, the oldest first; null where this node no longer keeps them all. */
  readonly changesAfter = (logIndex: number): readonly CompressedCommit[] | null => {
    const first = this.recent[0];
    if (logIndex < 0 || first === undefined || first.logIndex > logIndex + 1) return null;
    return this.recent.filter((one) => one.logIndex > logIndex);
  };

  readonly segmentCount = (): number => this.wal.segmentCount();

  readonly close = (): Promise<void> => this.wal.close();
}

export const acceptors = {
  /** Opens this node's part of the agreement, first of all its logs: if any of them is damaged, all are removed and the node begins anew under another incarnation. */
  open: async (
    disk: Disk,
    clock: Clock,
    random: Random,
    log: Log,
    isFresh = true,
  ): Promise<Result<Acceptor, WriteAheadLogError>> => {
    const removed = await removeDamagedLogs(disk, log);
    if (removed.isErr()) return err(removed.error);
    const opened = await writeAheadLogs.open(disk, logPrefixes.acceptor);
    if (opened.isErr()) return err(opened.error);
    const { wal, snapshot, records, cutBytes } = opened.value;
    if (cutBytes > 0) log.warn('truncated a torn log tail', { wal: 'decrees', cutBytes });
    const acceptor = new Acceptor(wal, clock, log);
    acceptor.replay(snapshot as AcceptorSnapshot | null, records as LogRecord[]);
    const identified = await acceptor.identify(random, isFresh && !removed.value);
    return identified.isErr() ? err(identified.error) : ok(acceptor);
  },
};
