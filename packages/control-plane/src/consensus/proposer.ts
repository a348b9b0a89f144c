/**
 * The proposer: runs Paxos ballots (Lamport, "Paxos Made Simple", 2001) to get changes committed, one log index after
 * another.
 */
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { CommandQueue, stateMachine, timing } from '@martenworks/core-types';
import type { CommittedState, Change, Clock, Log, Member, Random } from '@martenworks/core-types';
import { proposalErrors } from '../errors.js';
import type { ProposalError } from '../errors.js';
import { ballots } from './ballots.js';
import type { Acceptor } from './acceptor.js';
import type { Accepted, Ballot, CommittedChange, Since, Vote } from './ballots.js';
import { ConfirmedRead } from './confirmedRead.js';
import { askMembers, majorityOf } from './quorumCall.js';
import type { Voters } from './quorumCall.js';

/** A change that is committed at `logIndex`; `isRepeat` where it was committed before the call. */
export interface Applied {
  readonly logIndex: number;
  readonly isRepeat: boolean;
}

export type { Voters } from './quorumCall.js';

type Check = (state: CommittedState) => Result<Change, ProposalError>;

type Round =
  | { readonly kind: 'committed'; readonly committed: CommittedChange }
  | { readonly kind: 'nothing to settle' }
  | { readonly kind: 'given up' }
  | { readonly kind: 'again' }
  | { readonly kind: 'no majority' };

const queueLimit = 64;
const backoffMs = 40;
const longestBackoffMs = 400;
const mostBackoffs = 3;
const ballotsBeforeRescue = 2;
const lateDetail = 'no majority of voters agreed in time';
const unreachableDetail = 'no majority of voters can be reached';

/** One caller's order on its way through the queue and the ballots. */
class Attempt {
  private isOver = false;
  private wasOffered = false;

  constructor(
    readonly changeId: string,
    readonly digest: string,
    readonly until: number,
  ) {}

  readonly isOf = (change: Change): boolean => change.id === this.changeId && change.digest === this.digest;

  /** True where the value may go to acceptors now; from then on it counts as offered. */
  readonly offer = (): boolean => {
    if (!this.isOver) this.wasOffered = true;
    return !this.isOver;
  };

  /** Another change was committed in the slot for which this one had been offered. */
  readonly lostSlot = (): void => {
    this.wasOffered = false;
  };

  readonly mayHaveBeenTaken = (): boolean => this.wasOffered;

  readonly isEnded = (): boolean => this.isOver;

  /** Ends it: nothing is offered any more. `unavailable` is returned only where no acceptor can hold the value. */
  readonly giveUp = (detail: string): Result<Applied, ProposalError> => {
    this.isOver = true;
    return err(this.wasOffered ? proposalErrors.unknown(this.changeId) : proposalErrors.unavailable(detail));
  };
}

/** Gets changes committed, one log index after another, by ballots among the voters; one change at a time, others wait in a queue. */
export class Proposer {
  private readonly queue = new CommandQueue();
  private readonly read: ConfirmedRead;
  private seenRound = 0;
  private lastRoundMs = 0;

  constructor(
    private readonly acceptor: Acceptor,
    private readonly voters: Voters,
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly log: Log,
  ) {
    this.read = new ConfirmedRead(acceptor, voters, clock, random, this.learn);
  }

  /** Answers within `patienceMs`, waiting in the queue included. A refusal (`conflict`, `rejected`) and a repeat rest on a majority's replies to messages sent after the call came; `unavailable` says that this call's value was offered to no acceptor; `unknown` that it may yet be taken. */
  readonly propose = (
    check: Check,
    changeId: string,
    digest: string,
    timeoutMs: number,
  ): Promise<Result<Applied, ProposalError>> => {
    const attempt = new Attempt(changeId, digest, this.clock.now() + timeoutMs);
    if (this.queue.depth() >= queueLimit) return Promise.resolve(attempt.giveUp('too many changes are waiting'));
    const work = this.queue.run(() => this.push(check, attempt));
    return timing.withTimeout(this.clock, timeoutMs, work, () => attempt.giveUp(lateDetail));
  };

  /** Settles a value that was accepted here and whose proposer may be gone. */
  readonly finishPending = (): Promise<void> =>
    this.queue.run(async () => {
      const state = this.acceptor.agreed();
      const pendingMs = this.acceptor.pendingForMs();
      if (state === null || pendingMs === null || pendingMs < this.rescueAfterMs()) return;
      await this.round(state, null, null);
    });

  /** A state as new as any that was acknowledged before the call, or null where no majority confirmed one within `patienceMs`. */
  readonly confirm = (timeoutMs: number): Promise<CommittedState | null> => {
    const settlePending = (state: CommittedState): Promise<unknown> =>
      this.queue.run(() => this.round(state, null, null));
    const work = this.read.newest(this.clock.now() + timeoutMs, settlePending);
    return timing.withTimeout(this.clock, timeoutMs, work, () => null);
  };

  /** Proposals that run or wait in the queue. */
  readonly depth = (): number => this.queue.depth();

  private readonly push = async (check: Check, attempt: Attempt): Promise<Result<Applied, ProposalError>> => {
    for (let attemptNumber = 0; ; attemptNumber += 1) {
      if (attempt.isEnded() || this.clock.now() >= attempt.until) return attempt.giveUp(lateDetail);
      const state = this.acceptor.agreed();
      if (state === null) return attempt.giveUp('no fleet is founded yet');
      const answered = this.answeredBy(state, attempt, attemptNumber === 0);
      const checked = check(state);
      if (answered !== null || checked.isErr()) {
        const newest = await this.confirmWithin(attempt);
        if (newest === null) return attempt.giveUp(unreachableDetail);
        if (newest.logIndex !== state.logIndex) continue;
        return answered ?? (checked as Result<never, ProposalError>);
      }
      const outcome = await this.round(state, checked.value, attempt);
      if (outcome.kind === 'committed') {
        if (attempt.isOf(outcome.committed.change))
          return ok({ logIndex: outcome.committed.logIndex, isRepeat: false });
        attempt.lostSlot();
      } else if (outcome.kind === 'no majority' && !attempt.mayHaveBeenTaken())
        return attempt.giveUp(unreachableDetail);
      else await this.backOff(attemptNumber);
    }
  };

  /** What the record of the change says, if there is one. */
  private readonly answeredBy = (
    { changeIds, configLogIndex }: CommittedState,
    { changeId, digest }: Attempt,
    isRepeat: boolean,
  ): Result<Applied, ProposalError> | null => {
    const known = Object.hasOwn(changeIds, changeId) ? changeIds[changeId] : undefined;
    if (known === undefined) return null;
    if (known.digest === digest) return ok({ logIndex: known.logIndex, isRepeat });
    return err(proposalErrors.conflict(configLogIndex, 'this change id was used for another change'));
  };

  private readonly confirmWithin = (attempt: Attempt): Promise<CommittedState | null> =>
    this.read.newest(attempt.until, (state) => this.round(state, null, null));

  /** How long a value may stay undecided before it is taken for abandoned; bounded, since edges wait for it. */
  private readonly rescueAfterMs = (): number => Math.min(ballotsBeforeRescue * this.lastRoundMs, longestBackoffMs);

  /** Waits about as long as a ballot takes here, longer after each try, so that proposers on slow disks let each other finish. */
  private readonly backOff = (attemptNumber: number): Promise<void> => {
    const base = Math.min(Math.max(backoffMs, this.lastRoundMs), longestBackoffMs);
    return timing.sleep(this.clock, base * (0.5 + this.random.fraction()) * Math.min(attemptNumber + 1, mostBackoffs));
  };

  /** Applies what another member has committed beyond this node's log index. */
  readonly learn = async (since: Since): Promise<void> => {
    if (since.kind === 'checkpoint') await this.acceptor.adopt(since.agreed);
    if (since.kind === 'changes') for (const committed of since.committed) await this.acceptor.commit(committed);
  };

  private readonly vote = (
    state: CommittedState,
    call: (member: Member) => Promise<Vote | null>,
    wanted: Vote['kind'],
  ): Promise<Vote[] | 'again' | 'no majority'> => {
    const majority = majorityOf(state.members);
    const ask = async (member: Member): Promise<Vote | null> => {
      const vote = await this.helpful(member, call);
      if (vote !== null) await this.heed(member, vote, state);
      return vote;
    };
    return askMembers<Vote, Vote[] | 'again' | 'no majority'>(
      stateMachine.distinctVoters(state),
      ask,
      (replies, open) => {
        const votes = replies.filter((vote) => vote !== null);
        const wantedVotes = votes.filter(({ kind: k }) => k === wanted);
        if (wantedVotes.length >= majority) return wantedVotes;
        if (wantedVotes.length + open >= majority) return null;
        return votes.some(({ kind: k }) => k === 'rejected' || k === 'ahead') ? 'again' : 'no majority';
      },
    );
  };

  /** Takes from a vote what the next ballot must know. */
  private readonly heed = async (member: Member, vote: Vote, state: CommittedState): Promise<void> => {
    if (vote.kind === 'rejected') this.seenRound = Math.max(this.seenRound, vote.promised[0]);
    if (vote.kind !== 'ahead') return;
    const since = await this.voters.since(member, state.logIndex);
    if (since !== null) await this.learn(since);
  };

  private readonly helpful = async (
    member: Member,
    call: (member: Member) => Promise<Vote | null>,
  ): Promise<Vote | null> => {
    const vote = await call(member);
    if (vote?.kind !== 'behind') return vote;
    await this.voters.supply(member, this.acceptor.since(vote.logIndex));
    return call(member);
  };

  private readonly round = async (
    state: CommittedState,
    own: Change | null,
    attempt: Attempt | null,
  ): Promise<Round> => {
    const begunAt = this.clock.now();
    const outcome = await this.ballot(state, own, attempt);
    if (outcome.kind !== 'no majority') this.lastRoundMs = this.clock.now() - begunAt;
    return outcome;
  };

  private readonly ballot = async (
    state: CommittedState,
    own: Change | null,
    attempt: Attempt | null,
  ): Promise<Round> => {
    const slot = state.logIndex + 1;
    this.seenRound = Math.max(this.seenRound, this.acceptor.highestRound()) + 1;
    const ballot: Ballot = [this.seenRound, this.acceptor.incarnation];
    const promises = await this.vote(state, (member) => this.voters.prepare(member, slot, ballot), 'promised');
    if (promises === 'again' || promises === 'no majority') return { kind: promises };
    const change = this.newestAccepted(promises)?.change ?? own;
    if (change === null) return { kind: 'nothing to settle' };
    if (attempt?.isOf(change) === true && !attempt.offer()) return { kind: 'given up' };
    const accepts = await this.vote(state, (member) => this.voters.accept(member, slot, ballot, change), 'accepted');
    if (accepts === 'again' || accepts === 'no majority') return { kind: accepts };
    const committed: CommittedChange = { logIndex: slot, change };
    this.voters.commit(committed);
    const isKept = await this.acceptor.commit(committed);
    this.log.info('log entry committed', {
      logIndex: slot,
      changeId: change.id,
      kind: change.body.kind,
      isVoid: stateMachine.isNoOp(state, change),
      isKept,
    });
    return { kind: 'committed', committed };
  };

  /** The value that may already be chosen: the one accepted under the highest ballot. */
  private readonly newestAccepted = (promises: readonly Vote[]): Accepted | null => {
    let newest: Accepted | null = null;
    for (const vote of promises) {
      if (vote.kind !== 'promised' || vote.accepted === null) continue;
      if (newest === null || ballots.compare(vote.accepted.ballot, newest.ballot) > 0) newest = vote.accepted;
    }
    return newest;
  };
}
