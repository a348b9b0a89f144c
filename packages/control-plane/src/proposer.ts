import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { Owner, agreed as agreedState, pause } from '@martenworks/core-types';
import type { Agreed, Change, Clock, Log, Member, Random } from '@martenworks/core-types';
import type { Complaint } from '@martenworks/settings';
import { ballots } from './acceptor.js';
import type { Accepted, Ballot, Acceptor, Settled, Since, Vote } from './acceptor.js';

export type ProposeFault =
  | { readonly kind: 'conflict'; readonly layoutGeneration: number; readonly detail: string }
  | { readonly kind: 'rejected'; readonly complaints: readonly Complaint[] }
  | { readonly kind: 'unknown'; readonly changeId: string }
  | { readonly kind: 'unavailable'; readonly detail: string };

export interface Applied {
  readonly generation: number;
  readonly isRepeat: boolean;
}

export interface Voters {
  readonly prepare: (member: Member, slot: number, ballot: Ballot) => Promise<Vote | null>;
  readonly accept: (member: Member, slot: number, ballot: Ballot, change: Change) => Promise<Vote | null>;
  readonly settle: (settled: Settled) => void;
  readonly since: (member: Member, generation: number) => Promise<Since | null>;
  readonly supply: (member: Member, since: Since) => Promise<void>;
}

type Check = (state: Agreed) => Result<Change, ProposeFault>;

type Round =
  | { readonly k: 'settled'; readonly settled: Settled }
  | { readonly k: 'nothing to settle' }
  | { readonly k: 'again'; readonly wasOffered: boolean }
  | { readonly k: 'no majority'; readonly wasOffered: boolean };

const queueLimit = 64;
const backoffMs = 40;

export class Proposer {
  private readonly owner = new Owner();

  constructor(
    private readonly acceptor: Acceptor,
    private readonly voters: Voters,
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly log: Log,
  ) {}

  readonly propose = (
    check: Check,
    changeId: string,
    digest: string,
    patienceMs: number,
  ): Promise<Result<Applied, ProposeFault>> => {
    if (this.owner.depth() >= queueLimit)
      return Promise.resolve(err({ kind: 'unavailable', detail: 'too many changes are waiting' }));
    return this.owner.run(() => this.push(check, changeId, digest, this.clock.now() + patienceMs));
  };

  readonly finishRival = (): Promise<void> =>
    this.owner.run(async () => {
      const state = this.acceptor.agreed();
      if (state === null || this.acceptor.unsettledFor() === null) return;
      await this.round(state, null);
    });

  /** Settles what a majority may have accepted. True once none of them holds more: the state agreed here is then as new as any that was acknowledged before. */
  readonly confirm = (patienceMs: number): Promise<boolean> =>
    this.owner.run(async () => {
      const until = this.clock.now() + patienceMs;
      for (let shot = 0; shot === 0 || this.clock.now() < until; shot += 1) {
        const state = this.acceptor.agreed();
        if (state === null) return false;
        const outcome = await this.round(state, null);
        if (outcome.k === 'nothing to settle') return true;
        if (outcome.k !== 'settled') await pause.for(this.clock, backoffMs * (0.5 + this.random.fraction()));
      }
      return false;
    });

  readonly depth = (): number => this.owner.depth();

  private readonly push = async (
    check: Check,
    changeId: string,
    digest: string,
    horizonAt: number,
  ): Promise<Result<Applied, ProposeFault>> => {
    let wasOffered = false;
    const giveUp = (detail: string): Result<Applied, ProposeFault> =>
      err(wasOffered ? { kind: 'unknown', changeId } : { kind: 'unavailable', detail });
    for (let shot = 0; ; shot += 1) {
      const state = this.acceptor.agreed();
      if (state === null) return giveUp('no fleet is founded yet');
      const known = state.changeIds[changeId];
      if (known !== undefined) {
        if (known.digest !== digest)
          return err({
            kind: 'conflict',
            layoutGeneration: state.layoutGeneration,
            detail: 'this change id was used for another change',
          });
        return ok({ generation: known.generation, isRepeat: shot === 0 });
      }
      if (shot > 0 && this.clock.now() >= horizonAt) return giveUp('no majority of postmasters agreed in time');
      const checked = check(state);
      if (checked.isErr()) {
        if (shot === 0 && !(await this.catchUp(state))) return giveUp('no majority of postmasters can be reached');
        const newest = this.acceptor.agreed() as Agreed;
        if (newest.generation !== state.generation) continue;
        return err(checked.error);
      }
      const outcome = await this.round(state, checked.value);
      if (outcome.k === 'no majority' || outcome.k === 'again') {
        wasOffered ||= outcome.wasOffered;
        await pause.for(this.clock, backoffMs * (0.5 + this.random.fraction()) * Math.min(shot + 1, 8));
      } else if (outcome.k === 'settled') {
        if (outcome.settled.change.id === changeId)
          return ok({ generation: outcome.settled.generation, isRepeat: false });
        wasOffered = false;
      }
    }
  };

  private readonly catchUp = async (state: Agreed): Promise<boolean> => {
    const told = await Promise.all(this.others(state).map((member) => this.voters.since(member, state.generation)));
    const heard = told.filter((since) => since !== null);
    for (const since of heard) await this.learn(since);
    return heard.length + (this.acceptor.isVoter() ? 1 : 0) > state.members.length / 2;
  };

  readonly learn = async (since: Since): Promise<void> => {
    if (since.k === 'checkpoint') await this.acceptor.adopt(since.agreed);
    if (since.k === 'changes') for (const settled of since.settled) await this.acceptor.settle(settled);
  };

  private readonly others = (state: Agreed): Member[] =>
    agreedState.distinctVoters(state).filter((member) => member.incarnation !== this.acceptor.incarnation);

  private readonly vote = async (
    state: Agreed,
    call: (member: Member) => Promise<Vote | null>,
    wanted: Vote['k'],
  ): Promise<Vote[] | 'again' | 'no majority'> => {
    const majority = Math.floor(state.members.length / 2) + 1;
    const votes: Vote[] = [];
    let isOutrun = false;
    return new Promise((settle) => {
      const voters = agreedState.distinctVoters(state);
      let open = voters.length;
      let isDone = false;
      const finish = (outcome: Vote[] | 'again' | 'no majority'): void => {
        if (isDone) return;
        isDone = true;
        settle(outcome);
      };
      for (const member of voters) {
        void this.helpful(member, call).then(async (vote) => {
          if (vote?.k === wanted) votes.push(vote);
          if (vote?.k === 'denied' || vote?.k === 'ahead') isOutrun = true;
          if (vote?.k === 'denied') this.seenRound = Math.max(this.seenRound, vote.promised[0]);
          if (vote?.k === 'ahead') {
            const since = await this.voters.since(member, state.generation);
            if (since !== null) await this.learn(since);
          }
          open -= 1;
          if (votes.length >= majority) finish([...votes]);
          else if (open === 0) finish(isOutrun ? 'again' : 'no majority');
        });
      }
    });
  };

  private seenRound = 0;

  private readonly helpful = async (
    member: Member,
    call: (member: Member) => Promise<Vote | null>,
  ): Promise<Vote | null> => {
    const vote = await call(member);
    if (vote?.k !== 'behind') return vote;
    await this.voters.supply(member, this.acceptor.since(vote.generation));
    return call(member);
  };

  private readonly round = async (state: Agreed, own: Change | null): Promise<Round> => {
    const slot = state.generation + 1;
    this.seenRound = Math.max(this.seenRound, this.acceptor.highestRound()) + 1;
    const ballot: Ballot = [this.seenRound, this.acceptor.incarnation];
    const promises = await this.vote(state, (member) => this.voters.prepare(member, slot, ballot), 'promised');
    if (promises === 'again' || promises === 'no majority') return { k: promises, wasOffered: false };
    let highest: Accepted | null = null;
    for (const vote of promises) {
      if (
        vote.k === 'promised' &&
        vote.accepted !== null &&
        (highest === null || ballots.compare(vote.accepted.ballot, highest.ballot) > 0)
      )
        highest = vote.accepted;
    }
    const change = highest?.change ?? own;
    if (change === null) return { k: 'nothing to settle' };
    const isOwn = own !== null && change.id === own.id;
    const accepts = await this.vote(state, (member) => this.voters.accept(member, slot, ballot, change), 'accepted');
    if (accepts === 'again' || accepts === 'no majority') return { k: accepts, wasOffered: isOwn };
    const settled: Settled = { generation: slot, change };
    this.voters.settle(settled);
    const isKept = await this.acceptor.settle(settled);
    this.log.info('a generation is settled', {
      generation: slot,
      changeId: change.id,
      kind: change.body.kind,
      isVoid: agreedState.isVoid(state, change),
      isKept,
    });
    return { k: 'settled', settled };
  };
}
