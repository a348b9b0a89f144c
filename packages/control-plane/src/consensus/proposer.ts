/**
 * The Paxos proposer (Lamport, "Paxos Made Simple", 2001): runs ballots to commit changes, one log index after another.
 */
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { CommandQueue, stateMachine, timing } from '@martenworks/core-types';
import type { CommittedState, Change, Clock, Log, Member, Random } from '@martenworks/core-types';
import { proposalErrors } from '../errors.js';
import type { ProposalError } from '../errors.js';
import { ballots } from './ballots.js';
import type { Acceptor } from './acceptor.js';
import type { Accepted, Ballot, CommittedChange, LogSuffix, Vote } from './ballots.js';
import { LinearizableRead } from './linearizableRead.js';
import { askMembers, majorityOf } from './quorumCall.js';
import type { Voters } from './quorumCall.js';

/** A change that is committed at `logIndex`; `isRepeat` if it was committed before the call. */
export interface AppliedChange {
  readonly logIndex: number;
  readonly isRepeat: boolean;
}

export type { Voters } from './quorumCall.js';

type BuildChange = (state: CommittedState) => Result<Change, ProposalError>;

type BallotOutcome =
  | { readonly kind: 'committed'; readonly committed: CommittedChange }
  | { readonly kind: 'nothing pending' }
  | { readonly kind: 'abandoned' }
  | { readonly kind: 'retry' }
  | { readonly kind: 'no majority' };

const maxQueuedChanges = 64;
const minBackoffMs = 40;
const maxBackoffMs = 400;
const maxBackoffFactor = 3;
const ballotsBeforeTakeover = 2;
const timeoutDetail = 'no majority of voters agreed in time';
const unreachableDetail = 'no majority of voters can be reached';

/** One call of `propose`, from the queue through its ballots. */
class Attempt {
  private isFailed = false;
  private wasProposed = false;

  constructor(
    readonly changeId: string,
    readonly digest: string,
    readonly deadline: number,
  ) {}

  readonly proposes = (change: Change): boolean => change.id === this.changeId && change.digest === this.digest;

  /** Whether the change may be sent to acceptors now; if so, it counts as proposed from then on. */
  readonly tryPropose = (): boolean => {
    if (!this.isFailed) this.wasProposed = true;
    return !this.isFailed;
  };

  /** Called when another change was committed in the slot for which this one was proposed. */
  readonly markNotProposed = (): void => {
    this.wasProposed = false;
  };

  readonly mayBeAccepted = (): boolean => this.wasProposed;

  readonly hasFailed = (): boolean => this.isFailed;

  /** Ends the attempt: nothing is proposed any more. Returns `unavailable` only if no acceptor can have the change. */
  readonly fail = (detail: string): Result<AppliedChange, ProposalError> => {
    this.isFailed = true;
    return err(this.wasProposed ? proposalErrors.unknown(this.changeId) : proposalErrors.unavailable(detail));
  };
}

/** Commits changes by ballots among the voters, one change at a time; others wait in a queue of limited length. */
export class Proposer {
  private readonly queue = new CommandQueue();
  private readonly read: LinearizableRead;
  private highestSeenRound = 0;
  private lastBallotMs = 0;

  constructor(
    private readonly acceptor: Acceptor,
    private readonly voters: Voters,
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly log: Log,
  ) {
    this.read = new LinearizableRead(acceptor, voters, clock, random, this.applySuffix);
  }

  /**
   * Proposes the change that `buildChange` returns for the newest state. Resolves within `timeoutMs`, time in the queue
   * included. A `conflict`, `rejected` or repeated change is reported only after a majority has answered messages sent
   * after the call. `unavailable`: the change was proposed to no acceptor; `unknown`: it may still be committed.
   */
  readonly propose = (
    buildChange: BuildChange,
    changeId: string,
    digest: string,
    timeoutMs: number,
  ): Promise<Result<AppliedChange, ProposalError>> => {
    const attempt = new Attempt(changeId, digest, this.clock.now() + timeoutMs);
    if (this.queue.depth() >= maxQueuedChanges) return Promise.resolve(attempt.fail('too many changes are waiting'));
    const work = this.queue.run(() => this.runAttempt(buildChange, attempt));
    return timing.withTimeout(this.clock, timeoutMs, work, () => attempt.fail(timeoutDetail));
  };

  /** Commits a change that was accepted here and whose proposer may have failed. */
  readonly finishPending = (): Promise<void> =>
    this.queue.run(async () => {
      const state = this.acceptor.committedState();
      const pendingMs = this.acceptor.pendingForMs();
      if (state === null || pendingMs === null || pendingMs < this.takeoverDelayMs()) return;
      await this.timedBallot(state, null, null);
    });

  /** A state with every change acknowledged before the call; null if no majority confirmed one within `timeoutMs`. */
  readonly linearizableRead = (timeoutMs: number): Promise<CommittedState | null> => {
    const commitPending = (state: CommittedState): Promise<unknown> =>
      this.queue.run(() => this.timedBallot(state, null, null));
    const work = this.read.newest(this.clock.now() + timeoutMs, commitPending);
    return timing.withTimeout(this.clock, timeoutMs, work, () => null);
  };

  /** Number of proposals running or waiting. */
  readonly queueDepth = (): number => this.queue.depth();

  private readonly runAttempt = async (
    buildChange: BuildChange,
    attempt: Attempt,
  ): Promise<Result<AppliedChange, ProposalError>> => {
    for (let retryCount = 0; ; retryCount += 1) {
      if (attempt.hasFailed() || this.clock.now() >= attempt.deadline) return attempt.fail(timeoutDetail);
      const state = this.acceptor.committedState();
      if (state === null) return attempt.fail('no cluster exists yet');
      const earlierResult = this.earlierOutcome(state, attempt, retryCount === 0);
      const built = buildChange(state);
      if (earlierResult !== null || built.isErr()) {
        const newest = await this.readUntilDeadline(attempt);
        if (newest === null) return attempt.fail(unreachableDetail);
        if (newest.logIndex !== state.logIndex) continue;
        return earlierResult ?? (built as Result<never, ProposalError>);
      }
      const outcome = await this.timedBallot(state, built.value, attempt);
      if (outcome.kind === 'committed') {
        if (attempt.proposes(outcome.committed.change))
          return ok({ logIndex: outcome.committed.logIndex, isRepeat: false });
        attempt.markNotProposed();
      } else if (outcome.kind === 'no majority' && !attempt.mayBeAccepted()) return attempt.fail(unreachableDetail);
      else await this.backOff(retryCount);
    }
  };

  /** The outcome for a change id that was committed before; null if there is no record of it. */
  private readonly earlierOutcome = (
    { changeIds, configLogIndex }: CommittedState,
    { changeId, digest }: Attempt,
    isRepeat: boolean,
  ): Result<AppliedChange, ProposalError> | null => {
    const record = Object.hasOwn(changeIds, changeId) ? changeIds[changeId] : undefined;
    if (record === undefined) return null;
    if (record.digest === digest) return ok({ logIndex: record.logIndex, isRepeat });
    return err(proposalErrors.conflict(configLogIndex, 'this change id was used for another change'));
  };

  private readonly readUntilDeadline = (attempt: Attempt): Promise<CommittedState | null> =>
    this.read.newest(attempt.deadline, (state) => this.timedBallot(state, null, null));

  /**
   * How long a change may be pending before its proposer is assumed to have failed; bounded, since edges wait for it.
   */
  private readonly takeoverDelayMs = (): number => Math.min(ballotsBeforeTakeover * this.lastBallotMs, maxBackoffMs);

  /**
   * Waits about as long as a ballot takes, longer after each retry, so that proposers on slow disks do not collide.
   */
  private readonly backOff = (retryCount: number): Promise<void> => {
    const base = Math.min(Math.max(minBackoffMs, this.lastBallotMs), maxBackoffMs);
    return timing.sleep(this.clock, base * (0.5 + this.random.fraction()) * Math.min(retryCount + 1, maxBackoffFactor));
  };

  /** Applies what another member has committed after this node's log index. */
  readonly applySuffix = async (suffix: LogSuffix): Promise<void> => {
    if (suffix.kind === 'checkpoint') await this.acceptor.adopt(suffix.agreed);
    if (suffix.kind === 'changes') for (const committed of suffix.committed) await this.acceptor.commit(committed);
  };

  private readonly vote = (
    state: CommittedState,
    call: (member: Member) => Promise<Vote | null>,
    wantedKind: Vote['kind'],
  ): Promise<Vote[] | 'retry' | 'no majority'> => {
    const majority = majorityOf(state.members);
    const ask = async (member: Member): Promise<Vote | null> => {
      const vote = await this.callWithCatchUp(member, call);
      if (vote !== null) await this.learnFromVote(member, vote, state);
      return vote;
    };
    return askMembers<Vote, Vote[] | 'retry' | 'no majority'>(
      stateMachine.distinctVoters(state),
      ask,
      (replies, outstanding) => {
        const votes = replies.filter((vote) => vote !== null);
        const matchingVotes = votes.filter(({ kind: k }) => k === wantedKind);
        if (matchingVotes.length >= majority) return matchingVotes;
        if (matchingVotes.length + outstanding >= majority) return null;
        return votes.some(({ kind: k }) => k === 'rejected' || k === 'ahead') ? 'retry' : 'no majority';
      },
    );
  };

  /** Records what the next ballot needs: a higher round that was promised, and changes committed elsewhere. */
  private readonly learnFromVote = async (member: Member, vote: Vote, state: CommittedState): Promise<void> => {
    if (vote.kind === 'rejected') this.highestSeenRound = Math.max(this.highestSeenRound, vote.promised[0]);
    if (vote.kind !== 'ahead') return;
    const suffix = await this.voters.logSuffixAfter(member, state.logIndex);
    if (suffix !== null) await this.applySuffix(suffix);
  };

  /** Calls a member; if it is behind, brings it up to date and calls it a second time. */
  private readonly callWithCatchUp = async (
    member: Member,
    call: (member: Member) => Promise<Vote | null>,
  ): Promise<Vote | null> => {
    const vote = await call(member);
    if (vote?.kind !== 'behind') return vote;
    await this.voters.bringUpToDate(member, this.acceptor.logSuffixAfter(vote.logIndex));
    return call(member);
  };

  private readonly timedBallot = async (
    state: CommittedState,
    own: Change | null,
    attempt: Attempt | null,
  ): Promise<BallotOutcome> => {
    const startedAt = this.clock.now();
    const outcome = await this.ballot(state, own, attempt);
    if (outcome.kind !== 'no majority') this.lastBallotMs = this.clock.now() - startedAt;
    return outcome;
  };

  private readonly ballot = async (
    state: CommittedState,
    own: Change | null,
    attempt: Attempt | null,
  ): Promise<BallotOutcome> => {
    const slot = state.logIndex + 1;
    this.highestSeenRound = Math.max(this.highestSeenRound, this.acceptor.highestRound()) + 1;
    const ballot: Ballot = [this.highestSeenRound, this.acceptor.incarnation];
    const promises = await this.vote(state, (member) => this.voters.prepare(member, slot, ballot), 'promised');
    if (promises === 'retry' || promises === 'no majority') return { kind: promises };
    const change = this.newestAccepted(promises)?.change ?? own;
    if (change === null) return { kind: 'nothing pending' };
    if (attempt?.proposes(change) === true && !attempt.tryPropose()) return { kind: 'abandoned' };
    const accepts = await this.vote(state, (member) => this.voters.accept(member, slot, ballot, change), 'accepted');
    if (accepts === 'retry' || accepts === 'no majority') return { kind: accepts };
    const committed: CommittedChange = { logIndex: slot, change };
    this.voters.broadcastCommit(committed);
    const isStored = await this.acceptor.commit(committed);
    this.log.info('log entry committed', {
      logIndex: slot,
      changeId: change.id,
      kind: change.body.kind,
      isVoid: stateMachine.isNoOp(state, change),
      isKept: isStored,
    });
    return { kind: 'committed', committed };
  };

  /** The change that may already be chosen: the one accepted under the highest ballot. */
  private readonly newestAccepted = (promises: readonly Vote[]): Accepted | null => {
    let newest: Accepted | null = null;
    for (const vote of promises) {
      if (vote.kind !== 'promised' || vote.accepted === null) continue;
      if (newest === null || ballots.compare(vote.accepted.ballot, newest.ballot) > 0) newest = vote.accepted;
    }
    return newest;
  };
}
