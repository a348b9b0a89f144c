/**
 * The acceptor of one control node: its promises, votes and committed state, each on disk before anyone is told. Paxos
 * runs once per log index; only the slot after the committed state is open for votes.
 */
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { CommandQueue, stateMachine } from '@martenworks/core-types';
import type { CommittedState, Change, Clock, Disk, Log, Member, Random } from '@martenworks/core-types';
import { writeAheadLogs } from '@martenworks/write-ahead-log';
import type { WriteAheadLog, WriteAheadLogError } from '@martenworks/write-ahead-log';
import { acceptorLog } from './acceptorLog.js';
import type { AcceptorEvent, AcceptorRecord, BallotState, CompressedSnapshot, StoredSnapshot } from './acceptorLog.js';
import { ballots } from './ballots.js';
import type { Ballot, CommittedChange, CompressedCommit, Since, Vote } from './ballots.js';
import { compressedChanges } from './compression.js';
import { logPrefixes, removeDamagedLogs } from './memberLogs.js';
import { RecentChanges } from './recentChanges.js';

/** Told of a committed change, or of null where a whole state was adopted. */
type CommitListener = (committed: CommittedChange | null) => void;

/** A reply to a request for a founding vote: `members` are those voted for, null where no vote was cast. */
interface FoundingVote {
  readonly isGranted: boolean;
  readonly members: readonly Member[] | null;
}

const sinceLimit = 16;
const segmentsBeforeSnapshot = 4;
const noBallot: BallotState = { promised: null, accepted: null };

/** One voter's part of the agreement: what it promised, accepted and knows to be committed, on disk before it is reported. */
export class Acceptor {
  private readonly commands = new CommandQueue();
  private readonly recent = new RecentChanges();
  private readonly listeners: CommitListener[] = [];
  private state: CommittedState | null = null;
  private ballotState: BallotState = noBallot;
  private foundingVote: readonly Member[] | null = null;
  private acceptedAt = 0;
  /** Identity of this log; a node that loses its disk comes back under another one. Empty until `identify`. */
  incarnation = '';
  /** Whether this log began with a new node, not after a loss; only such a node asks others for founding votes. */
  isFresh = true;

  constructor(
    private readonly wal: WriteAheadLog,
    private readonly clock: Clock,
    private readonly log: Log,
  ) {}

  /** Restores the state from disk; called once, before any other method. Throws on damaged compressed bytes. */
  readonly replay = (stored: StoredSnapshot | null, records: readonly AcceptorRecord[]): void => {
    if (stored !== null) this.restore(stored);
    for (const record of records) {
      const event = acceptorLog.decodeRecord(record, this.nextLogIndex(), this.ballotState.accepted);
      if (event !== null) this.applyEvent(event);
    }
    this.acceptedAt = this.clock.now();
  };

  private readonly restore = (stored: StoredSnapshot): void => {
    const snapshot = acceptorLog.decodeSnapshot(stored);
    this.incarnation = snapshot.incarnation;
    this.isFresh = snapshot.isFresh ?? true;
    this.foundingVote = snapshot.foundingVote;
    this.state = snapshot.agreed === null ? null : stateMachine.withDefaults(snapshot.agreed);
    this.ballotState = snapshot.live;
  };

  private readonly applyEvent = (event: AcceptorEvent): void => {
    switch (event.t) {
      case 'identity':
        this.incarnation = event.incarnation;
        this.isFresh = event.isFresh ?? true;
        return;
      case 'vow':
        this.foundingVote = event.members;
        return;
      case 'adopted':
        this.state = stateMachine.withDefaults(event.agreed);
        this.ballotState = noBallot;
        this.recent.clear();
        return;
      case 'promised':
        if (event.slot === this.nextLogIndex()) this.ballotState = { ...this.ballotState, promised: event.ballot };
        return;
      case 'accepted':
        if (event.slot !== this.nextLogIndex()) return;
        this.ballotState = { promised: event.accepted.ballot, accepted: event.accepted };
        this.acceptedAt = this.clock.now();
        return;
      case 'settled':
        this.applyCommitted(event.committed);
    }
  };

  private readonly applyCommitted = (committed: CommittedChange): void => {
    if (this.state === null || committed.logIndex !== this.nextLogIndex()) return;
    this.state = stateMachine.apply(this.state, committed.change);
    this.ballotState = noBallot;
    this.recent.add(committed);
  };

  private readonly persist = async (event: AcceptorEvent): Promise<Result<void, WriteAheadLogError>> => {
    const written = await this.wal.append(acceptorLog.encodeRecord(event, this.ballotState.accepted));
    if (written.isErr()) {
      this.log.error('log append failed', { record: event.t, fault: written.error });
      return written;
    }
    this.applyEvent(event);
    if (this.wal.segmentCount() > segmentsBeforeSnapshot) await this.writeSnapshot();
    return written;
  };

  private readonly writeSnapshot = async (): Promise<void> => {
    const written = await this.wal.snapshot(this.capture);
    if (written.isErr()) this.log.warn('snapshot write failed', { fault: written.error });
  };

  private readonly capture = (): CompressedSnapshot =>
    acceptorLog.encodeSnapshot({
      incarnation: this.incarnation,
      isFresh: this.isFresh,
      foundingVote: this.foundingVote,
      agreed: this.state,
      live: this.ballotState,
    });

  /** Draws an incarnation for a log that has none; the error is that of the disk. */
  readonly identify = (random: Random, isFresh: boolean): Promise<Result<void, WriteAheadLogError>> =>
    this.commands.run(async () =>
      this.incarnation === '' ? this.persist({ t: 'identity', incarnation: random.token(8), isFresh }) : ok(undefined),
    );

  /** The committed state; null while the node belongs to no founded cluster. */
  readonly agreed = (): CommittedState | null => this.state;

  /** The slot that is open for votes; -1 without a committed state. */
  readonly nextLogIndex = (): number => (this.state === null ? -1 : this.state.logIndex + 1);

  /** Whether the committed state names this incarnation as a member. */
  readonly isVoter = (): boolean =>
    this.state?.members.some((member) => member.incarnation === this.incarnation) === true;

  /** Milliseconds since a change was accepted that is not known to be committed; null where there is none. */
  readonly pendingForMs = (): number | null =>
    this.ballotState.accepted === null ? null : this.clock.now() - this.acceptedAt;

  /** The round of the highest ballot promised in the open slot, 0 for none. */
  readonly highestRound = (): number => this.ballotState.promised?.[0] ?? 0;

  /** The slot of a change that is accepted and not known to be committed; null where there is none. */
  readonly acceptedSlot = (): number | null => (this.ballotState.accepted === null ? null : this.nextLogIndex());

  /** Whether a swap of members was accepted here that is not known to be committed. */
  readonly hasPendingSwap = (): boolean => this.ballotState.accepted?.change.body.kind === 'swap';

  /** Calls the listener after each committed change or adopted state that is on disk. */
  readonly watch = (listener: CommitListener): void => void this.listeners.push(listener);

  private readonly notifyListeners = (committed: CommittedChange | null): void => {
    for (const listener of this.listeners) listener(committed);
  };

  /** Votes for a set of founding members, once: later requests are granted for the same set only. */
  readonly voteFounding = (members: readonly Member[]): Promise<FoundingVote> =>
    this.commands.run(async () => {
      if (this.state !== null) return { isGranted: false, members: null };
      if (this.foundingVote === null) {
        const persisted = await this.persist({ t: 'vow', members });
        if (persisted.isErr()) return { isGranted: false, members: null };
      }
      return { isGranted: JSON.stringify(this.foundingVote) === JSON.stringify(members), members: this.foundingVote };
    });

  /** The founding members this node voted for; null where it cast no vote. */
  readonly foundingVoteCast = (): readonly Member[] | null => this.foundingVote;

  /** Takes a whole state that is newer than the own one; false where it is not, or the disk failed. */
  readonly adopt = (agreed: CommittedState): Promise<boolean> =>
    this.commands.run(async () => {
      if (this.state !== null && this.state.logIndex >= agreed.logIndex) return false;
      const persisted = await this.persist({ t: 'adopted', agreed });
      if (persisted.isOk()) this.notifyListeners(null);
      return persisted.isOk();
    });

  /** Why this node cannot vote on the slot; null where it can. */
  private readonly refusal = (slot: number): Vote | null => {
    if (this.state === null) return { kind: 'unavailable', cause: 'unfounded' };
    if (slot < this.nextLogIndex()) return { kind: 'ahead', logIndex: this.state.logIndex };
    if (slot > this.nextLogIndex()) return { kind: 'behind', logIndex: this.state.logIndex };
    return this.isVoter() ? null : { kind: 'unavailable', cause: 'no voter' };
  };

  /** Phase 1 of Paxos: promises to accept no lower ballot, and reports the change accepted so far. */
  readonly prepare = (slot: number, ballot: Ballot): Promise<Vote> =>
    this.commands.run(async (): Promise<Vote> => {
      const refusal = this.refusal(slot);
      if (refusal !== null) return refusal;
      const { promised } = this.ballotState;
      if (promised !== null && ballots.compare(ballot, promised) <= 0) return { kind: 'rejected', promised };
      const persisted = await this.persist({ t: 'promised', slot, ballot });
      if (persisted.isErr()) return { kind: 'unavailable', cause: 'disk' };
      return { kind: 'promised', accepted: this.ballotState.accepted };
    });

  /** Phase 2 of Paxos: accepts the change unless a higher ballot was promised. */
  readonly accept = (slot: number, ballot: Ballot, change: Change): Promise<Vote> =>
    this.commands.run(async (): Promise<Vote> => {
      const refusal = this.refusal(slot);
      if (refusal !== null) return refusal;
      const { promised } = this.ballotState;
      if (promised !== null && ballots.compare(ballot, promised) < 0) return { kind: 'rejected', promised };
      const persisted = await this.persist({ t: 'accepted', slot, accepted: { ballot, change } });
      return persisted.isErr() ? { kind: 'unavailable', cause: 'disk' } : { kind: 'accepted' };
    });

  /** Applies a chosen change. True where it is on disk, now or from before; false for a gap or a failed disk. */
  readonly commit = (committed: CommittedChange): Promise<boolean> =>
    this.commands.run(async () => {
      if (committed.logIndex !== this.nextLogIndex())
        return this.state !== null && committed.logIndex < this.nextLogIndex();
      const persisted = await this.persist({ t: 'settled', committed });
      if (persisted.isOk()) this.notifyListeners(committed);
      return persisted.isOk();
    });

  /** What this node holds beyond a log index: a few changes one by one, a larger gap as a whole state. */
  readonly since = (logIndex: number): Since => {
    if (this.state === null) return { kind: 'nothing' };
    if (logIndex >= this.state.logIndex) return { kind: 'changes', committed: [] };
    const isNear = this.state.logIndex - logIndex <= sinceLimit;
    const missed = isNear ? this.recent.after(logIndex) : null;
    if (missed === null) return { kind: 'checkpoint', agreed: this.state };
    return {
      kind: 'changes',
      committed: missed.map((one) => ({ logIndex: one.logIndex, change: compressedChanges.decode(one.change) })),
    };
  };

  /** The change in these bytes, which is mostly the one accepted already; throws on damaged bytes. */
  readonly changeOf = (bytes: Uint8Array): Change => {
    const accepted = this.ballotState.accepted?.change;
    return accepted !== undefined && acceptorLog.isSameBytes(compressedChanges.encode(accepted), bytes)
      ? accepted
      : compressedChanges.decode(bytes);
  };

  /** All changes after a log index in compressed bytes, the oldest first; null where some are no longer kept. */
  readonly changesAfter = (logIndex: number): readonly CompressedCommit[] | null => this.recent.after(logIndex);

  /** Segments of the log on disk. */
  readonly segmentCount = (): number => this.wal.segmentCount();

  /** Closes the log. */
  readonly close = (): Promise<void> => this.wal.close();
}

/** Opens acceptors. */
export const acceptors = {
  /**
   * Opens this node's part of the agreement, first of all its logs: if any of them is damaged, all are removed and the
   * node begins anew under another incarnation. The error is that of the disk.
   */
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
    acceptor.replay(snapshot as StoredSnapshot | null, records as AcceptorRecord[]);
    log.info('log read', {
      wal: logPrefixes.acceptor,
      hasSnapshot: snapshot !== null,
      records: records.length,
      logIndex: acceptor.agreed()?.logIndex ?? null,
    });
    const identified = await acceptor.identify(random, isFresh && !removed.value);
    return identified.isErr() ? err(identified.error) : ok(acceptor);
  },
};
