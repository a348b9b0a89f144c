/** The rules that every schedule must keep, judged from what nodes show outside (docs/proof.md). */
import type { CommittedState, Change } from '@martenworks/core-types';

/** The rules that a schedule must keep. */
export type Rule =
  | 'one change a generation'
  | 'one history'
  | 'seats distinct'
  | 'settled by a majority'
  | 'stale read'
  | 'acknowledged change held'
  | 'acknowledged in force'
  | 'resend refused'
  | 'newest base refused'
  | 'leases disjoint'
  | 'fences rising'
  | 'catching up'
  | 'progress';

/** A rule that a schedule broke, and how. */
export interface Violation {
  readonly rule: Rule;
  readonly detail: string;
}

/** A change of configuration that an operator asked for, built on the version `base`. */
export interface ChangeRequest {
  readonly id: string;
  readonly base: number;
  readonly configVersion: number;
}

/** What the checker may look at on one node, from outside. */
export interface NodeObservation {
  readonly node: string;
  readonly incarnation: string;
  readonly isAlive: boolean;
  /** No disk holds this incarnation any more. */
  readonly isLost: boolean;
  /** The state that is durable there, as far as it was seen. */
  readonly state: CommittedState | null;
  /** The change that is accepted there and not known to be committed. */
  readonly accepted: { readonly slot: number; readonly changeId: string } | null;
  /** The fence of the lease that it holds at this moment. */
  readonly fencingToken: number | null;
}

interface VoteTally {
  readonly ballot: string;
  readonly changeId: string;
  readonly voters: Set<string>;
}

const majorityOf = (count: number): number => Math.floor(count / 2) + 1;

/** Judges one schedule from outside: it counts votes by itself and compares what nodes tell with it. */
export class Checker {
  /** The violations so far, the oldest first. */
  readonly violations: Violation[] = [];
  private readonly states = new Map<number, CommittedState>();
  private readonly stateTexts = new Map<number, string>();
  private readonly tallies = new Map<number, VoteTally[]>();
  private readonly chosen = new Map<number, string>();
  private readonly recordedStates = new WeakSet<CommittedState>();
  private readonly acknowledged = new Map<string, number>();
  private readonly changeIdBySlot = new Map<number, string>();
  private newestAcknowledgedIndex = 0;
  private newestReadIndex = 0;
  private highestChosenIndex = 0;
  private newestChosenConfigVersion = 0;
  private leaseHolder: { node: string; fencingToken: number } | null = null;
  private highestFencingToken = 0;

  constructor(initialState: CommittedState) {
    this.recordState(initialState, 'the founding');
  }

  private readonly report = (rule: Rule, detail: string): void => void this.violations.push({ rule, detail });

  /** The highest log index for which a change was chosen. */
  readonly newestChosenIndex = (): number => this.highestChosenIndex;

  /** The committed state of the highest log index that is known whole. */
  readonly newestState = (): CommittedState => this.states.get(this.newestStateIndex()) as CommittedState;

  private readonly newestStateIndex = (): number => {
    let newest = 0;
    for (const logIndex of this.states.keys()) newest = Math.max(newest, logIndex);
    return newest;
  };

  /** The committed state of a log index, where any node has shown it. */
  readonly stateAt = (logIndex: number): CommittedState | undefined => this.states.get(logIndex);

  /** Takes note of a state that a node holds durable; states of one log index must be equal. */
  readonly recordState = (state: CommittedState, where: string): void => {
    if (this.recordedStates.has(state)) return;
    this.recordedStates.add(state);
    const text = JSON.stringify([state.members, state.routing, Object.keys(state.changeIds).sort()]);
    const known = this.stateTexts.get(state.logIndex);
    if (known !== undefined) {
      if (known !== text) this.report('one history', `generation ${state.logIndex} at ${where}: ${text}, not ${known}`);
      return;
    }
    this.stateTexts.set(state.logIndex, text);
    this.states.set(state.logIndex, state);
    const voterIncarnations = new Set(state.members.map((member) => member.incarnation));
    if (voterIncarnations.size !== state.members.length)
      this.report('seats distinct', `generation ${state.logIndex}: ${state.members.map((one) => one.name).join()}`);
    if (state.logIndex > 0 && !this.chosen.has(state.logIndex))
      this.report('settled by a majority', `generation ${state.logIndex} at ${where} was accepted by no majority`);
    this.newestChosenConfigVersion = Math.max(this.newestChosenConfigVersion, state.routing?.configVersion ?? 0);
  };

  /** An acceptor reported, or was about to report, that it has accepted a change. */
  readonly recordAcceptance = (voter: string, slot: number, ballot: string, change: Change): void => {
    const tallies = this.tallies.get(slot) ?? [];
    this.tallies.set(slot, tallies);
    let tally = tallies.find((one) => one.ballot === ballot && one.changeId === change.id);
    if (tally === undefined) {
      tally = { ballot, changeId: change.id, voters: new Set() };
      tallies.push(tally);
    }
    tally.voters.add(voter);
    const members = this.states.get(slot - 1)?.members ?? [];
    const voterIncarnations = new Set(members.map((member) => member.incarnation));
    const voteCount = [...tally.voters].filter((one) => voterIncarnations.has(one)).length;
    if (voteCount >= majorityOf(members.length)) this.recordChosen(slot, change);
  };

  private readonly recordChosen = (slot: number, change: Change): void => {
    const known = this.chosen.get(slot);
    if (known !== undefined) {
      if (known !== change.id) this.report('one change a generation', `generation ${slot}: ${known} and ${change.id}`);
      return;
    }
    this.chosen.set(slot, change.id);
    this.changeIdBySlot.set(slot, change.id);
    this.highestChosenIndex = Math.max(this.highestChosenIndex, slot);
    if (change.body.kind === 'routing')
      this.newestChosenConfigVersion = Math.max(this.newestChosenConfigVersion, change.body.routing.configVersion);
  };

  /** An operator got the reply that its change was committed at a log index. */
  readonly recordAcknowledgement = (request: ChangeRequest, logIndex: number): void => {
    const known = this.acknowledged.get(request.id);
    if (known !== undefined && known !== logIndex)
      this.report('one change a generation', `${request.id} acknowledged as ${known} and as ${logIndex}`);
    this.acknowledged.set(request.id, logIndex);
    this.newestAcknowledgedIndex = Math.max(this.newestAcknowledgedIndex, logIndex);
    const chosen = this.chosen.get(logIndex);
    if (chosen !== request.id)
      this.report(
        'acknowledged in force',
        `${request.id} acknowledged as ${logIndex}, which is ${chosen ?? 'not chosen'}`,
      );
  };

  /** An operator got the reply that its change cannot be made on the version it named. */
  readonly recordRejection = (request: ChangeRequest, node: string): void => {
    const isInForce =
      [...this.chosen.values()].includes(request.id) && this.newestChosenConfigVersion === request.configVersion;
    if (isInForce) this.report('resend refused', `${request.id} is in force and was refused at ${node}`);
    else if (this.newestChosenConfigVersion <= request.base)
      this.report('newest base refused', `${request.id} on ${request.base}, the newest, was refused at ${node}`);
  };

  /** The log index that a read beginning now may not fall short of. */
  readonly minReadIndex = (): number => Math.max(this.newestAcknowledgedIndex, this.newestReadIndex);

  /** A node confirmed a read as of `logIndex`; `floor` is what `readFloor` gave when the read began. */
  readonly recordRead = (minIndex: number, logIndex: number, node: string): void => {
    if (logIndex < minIndex)
      this.report('stale read', `${node} confirmed generation ${logIndex}, ${minIndex} was known`);
    this.newestReadIndex = Math.max(this.newestReadIndex, logIndex);
  };

  /** Checks what holds between any two steps. */
  readonly observe = (nodes: readonly NodeObservation[]): void => {
    for (const node of nodes) {
      if (node.state !== null) this.recordState(node.state, node.node);
    }
    this.checkDurability(nodes);
    this.checkLeases(nodes);
  };

  private readonly hasChange = (node: NodeObservation, logIndex: number): boolean =>
    (node.state !== null && node.state.logIndex >= logIndex) ||
    (node.accepted?.slot === logIndex && node.accepted.changeId === this.chosen.get(logIndex));

  private readonly checkDurability = (nodes: readonly NodeObservation[]): void => {
    const logIndex = this.newestAcknowledgedIndex;
    if (logIndex === 0) return;
    const members = this.newestState().members;
    const voterIncarnations = new Set(members.map((member) => member.incarnation));
    const lacking = nodes.filter(
      (node) => !node.isLost && voterIncarnations.has(node.incarnation) && !this.hasChange(node, logIndex),
    );
    if (lacking.length >= majorityOf(members.length))
      this.report(
        'acknowledged change held',
        `generation ${logIndex} is lacking at ${lacking.map((node) => node.node).join()}, a majority of those who vote next`,
      );
  };

  private readonly checkLeases = (nodes: readonly NodeObservation[]): void => {
    const holders = nodes.filter((node) => node.isAlive && node.fencingToken !== null);
    if (holders.length > 1)
      this.report(
        'leases disjoint',
        holders.map((node) => `${node.node} with fence ${node.fencingToken}`).join(' and '),
      );
    for (const { node, fencingToken } of holders) {
      if (fencingToken === null || (this.leaseHolder?.node === node && this.leaseHolder.fencingToken === fencingToken))
        continue;
      if (fencingToken <= this.highestFencingToken)
        this.report('fences rising', `${node} got ${fencingToken} after ${this.highestFencingToken}`);
      this.leaseHolder = { node, fencingToken: fencingToken };
      this.highestFencingToken = Math.max(this.highestFencingToken, fencingToken);
    }
  };

  /** Checks the end of a schedule, after the bounded number of fair steps. */
  readonly finish = (nodes: readonly NodeObservation[], isChangeAcknowledged: boolean, rounds: number): void => {
    const members = this.newestState().members;
    const voterIncarnations = new Set(members.map((member) => member.incarnation));
    const liveVoters = nodes.filter((node) => node.isAlive && voterIncarnations.has(node.incarnation));
    for (const node of liveVoters)
      if ((node.state?.logIndex ?? -1) < this.highestChosenIndex)
        this.report(
          'catching up',
          `${node.node} holds ${node.state?.logIndex ?? 'nothing'} after ${rounds} fair rounds, ${this.highestChosenIndex} is the newest`,
        );
    if (!isChangeAcknowledged) this.report('progress', `no order was acknowledged in ${rounds} fair rounds`);
  };
}
