/**
 * The Paxos acceptor of one control node. Paxos runs once per log index; only the slot after the committed state is open
 * for votes.
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
import type { Ballot, CommittedChange, CompressedCommit, LogSuffix, Vote } from './ballots.js';
import { compressedChanges } from './compression.js';
import { logPrefixes, removeDamagedLogs } from './memberLogs.js';
import { RecentChanges } from './recentChanges.js';

/** Receives each committed change, or null when a complete state was adopted. */
type CommitListener = (committed: CommittedChange | null) => void;

/** The reply to a request to vote for the initial members; `members` are those voted for, null if no vote was cast. */
interface BootstrapVote {
  readonly isGranted: boolean;
  readonly members: readonly Member[] | null;
}

const maxSuffixChanges = 16;
const segmentsBeforeSnapshot = 4;
const noBallot: BallotState = { promised: null, accepted: null };

/** Stores what this node has promised, accepted and committed; each of them is on disk before it is reported. */
export class Acceptor {
  private readonly commands = new CommandQueue();
  private readonly recentChanges = new RecentChanges();
  private readonly listeners: CommitListener[] = [];
  private state: CommittedState | null = null;
  private ballotState: BallotState = noBallot;
  private bootstrapVote: readonly Member[] | null = null;
  private acceptedAt = 0;
  /** Identity of this log; a node that loses its disk gets a new one. Empty until `identify`. */
  incarnation = '';
  /** Whether this log began on a new node, not after a disk loss; only a new node asks others for bootstrap votes. */
  isNewNode = true;

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
    this.isNewNode = snapshot.isFresh ?? true;
    this.bootstrapVote = snapshot.foundingVote;
    this.state = snapshot.agreed === null ? null : stateMachine.withDefaults(snapshot.agreed);
    this.ballotState = snapshot.live;
  };

  private readonly applyEvent = (event: AcceptorEvent): void => {
    switch (event.t) {
      case 'identity':
        this.incarnation = event.incarnation;
        this.isNewNode = event.isFresh ?? true;
        return;
      case 'vow':
        this.bootstrapVote = event.members;
        return;
      case 'adopted':
        this.state = stateMachine.withDefaults(event.agreed);
        this.ballotState = noBallot;
        this.recentChanges.clear();
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
    this.recentChanges.add(committed);
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
    const written = await this.wal.snapshot(this.encodeCurrentState);
    if (written.isErr()) this.log.warn('snapshot write failed', { fault: written.error });
  };

  private readonly encodeCurrentState = (): CompressedSnapshot =>
    acceptorLog.encodeSnapshot({
      incarnation: this.incarnation,
      isFresh: this.isNewNode,
      foundingVote: this.bootstrapVote,
      agreed: this.state,
      live: this.ballotState,
    });

  /** Generates an incarnation for a log that has none. Fails if the log cannot be written. */
  readonly identify = (random: Random, isNewNode: boolean): Promise<Result<void, WriteAheadLogError>> =>
    this.commands.run(async () =>
      this.incarnation === ''
        ? this.persist({ t: 'identity', incarnation: random.token(8), isFresh: isNewNode })
        : ok(undefined),
    );

  /** The committed state; null until the node belongs to a cluster. */
  readonly committedState = (): CommittedState | null => this.state;

  /** The slot that is open for votes; -1 if there is no committed state. */
  readonly nextLogIndex = (): number => (this.state === null ? -1 : this.state.logIndex + 1);

  /** Whether this incarnation is a member in the committed state. */
  readonly isVoter = (): boolean =>
    this.state?.members.some((member) => member.incarnation === this.incarnation) === true;

  /** Milliseconds since a change was accepted that is not known to be committed; null if there is none. */
  readonly pendingForMs = (): number | null =>
    this.ballotState.accepted === null ? null : this.clock.now() - this.acceptedAt;

  /** The round of the highest ballot promised in the open slot, 0 for none. */
  readonly highestRound = (): number => this.ballotState.promised?.[0] ?? 0;

  /** The slot of a change that is accepted and not known to be committed; null if there is none. */
  readonly acceptedSlot = (): number | null => (this.ballotState.accepted === null ? null : this.nextLogIndex());

  /** Whether a membership change is accepted and not known to be committed. */
  readonly hasPendingSwap = (): boolean => this.ballotState.accepted?.change.body.kind === 'swap';

  /** Calls the listener after each committed change or adopted state is on disk. */
  readonly watch = (listener: CommitListener): void => void this.listeners.push(listener);

  private readonly notifyListeners = (committed: CommittedChange | null): void => {
    for (const listener of this.listeners) listener(committed);
  };

  /** Votes for the initial members of a cluster, once: later requests are granted only for the same members. */
  readonly voteForInitialMembers = (members: readonly Member[]): Promise<BootstrapVote> =>
    this.commands.run(async () => {
      if (this.state !== null) return { isGranted: false, members: null };
      if (this.bootstrapVote === null) {
        const persisted = await this.persist({ t: 'vow', members });
        if (persisted.isErr()) return { isGranted: false, members: null };
      }
      return { isGranted: JSON.stringify(this.bootstrapVote) === JSON.stringify(members), members: this.bootstrapVote };
    });

  /** The initial members this node voted for; null if it cast no vote. */
  readonly initialMembersVotedFor = (): readonly Member[] | null => this.bootstrapVote;

  /** Replaces the state by a newer one. False if it is not newer, or the disk failed. */
  readonly adopt = (newState: CommittedState): Promise<boolean> =>
    this.commands.run(async () => {
      if (this.state !== null && this.state.logIndex >= newState.logIndex) return false;
      const persisted = await this.persist({ t: 'adopted', agreed: newState });
      if (persisted.isOk()) this.notifyListeners(null);
      return persisted.isOk();
    });

  /** The reply if this node cannot vote on the slot; null if it can. */
  private readonly refusal = (slot: number): Vote | null => {
    if (this.state === null) return { kind: 'unavailable', cause: 'unfounded' };
    if (slot < this.nextLogIndex()) return { kind: 'ahead', logIndex: this.state.logIndex };
    if (slot > this.nextLogIndex()) return { kind: 'behind', logIndex: this.state.logIndex };
    return this.isVoter() ? null : { kind: 'unavailable', cause: 'no voter' };
  };

  /** Phase 1 of Paxos: promises to accept no lower ballot, and returns the change accepted so far. */
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

  /** Applies a chosen change. True if it is on disk, also from an earlier call; false for a gap or a disk failure. */
  readonly commit = (committed: CommittedChange): Promise<boolean> =>
    this.commands.run(async () => {
      if (committed.logIndex !== this.nextLogIndex())
        return this.state !== null && committed.logIndex < this.nextLogIndex();
      const persisted = await this.persist({ t: 'settled', committed });
      if (persisted.isOk()) this.notifyListeners(committed);
      return persisted.isOk();
    });

  /** What was committed after a log index: up to 16 changes if all are in memory, otherwise a snapshot. */
  readonly logSuffixAfter = (logIndex: number): LogSuffix => {
    if (this.state === null) return { kind: 'nothing' };
    if (logIndex >= this.state.logIndex) return { kind: 'changes', committed: [] };
    const isWithinLimit = this.state.logIndex - logIndex <= maxSuffixChanges;
    const missed = isWithinLimit ? this.recentChanges.after(logIndex) : null;
    if (missed === null) return { kind: 'checkpoint', agreed: this.state };
    return {
      kind: 'changes',
      committed: missed.map((entry) => ({ logIndex: entry.logIndex, change: compressedChanges.decode(entry.change) })),
    };
  };

  /**
   * Decodes a compressed change; throws on damaged bytes. Returns the accepted change itself if the bytes are the same,
   * which is the usual case and saves the decompression.
   */
  readonly decodeChange = (bytes: Uint8Array): Change => {
    const accepted = this.ballotState.accepted?.change;
    return accepted !== undefined && acceptorLog.isSameBytes(compressedChanges.encode(accepted), bytes)
      ? accepted
      : compressedChanges.decode(bytes);
  };

  /** All changes after a log index, compressed, oldest first; null if some of them are no longer in memory. */
  readonly changesAfter = (logIndex: number): readonly CompressedCommit[] | null => this.recentChanges.after(logIndex);

  /** Number of log segments on disk. */
  readonly segmentCount = (): number => this.wal.segmentCount();

  /** Closes the log. */
  readonly close = (): Promise<void> => this.wal.close();
}

/** Opens acceptors. */
export const acceptors = {
  /**
   * Opens a node's acceptor and restores it from disk. If any log of the node is damaged, all of them are removed and
   * the node starts empty under a new incarnation. Fails if the disk fails.
   */
  open: async (
    disk: Disk,
    clock: Clock,
    random: Random,
    log: Log,
    isNewNode = true,
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
      logIndex: acceptor.committedState()?.logIndex ?? null,
    });
    const identified = await acceptor.identify(random, isNewNode && !removed.value);
    return identified.isErr() ? err(identified.error) : ok(acceptor);
  },
};
