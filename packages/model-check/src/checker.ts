/** Checks the rules that every schedule must keep, using only what nodes show to the outside (docs/proof.md). */
import type { CommittedState, Change } from '@martenworks/core-types';

/** A rule that every schedule must keep: a safety invariant, or, for `catching up` and `progress`, a liveness property. */
export type Rule =
  // At most one change is chosen for a log index, and a change is acknowledged at one log index only.
  | 'one change a generation'
  // All nodes have the same state at a log index.
  | 'one history'
  // No member is listed as two voters.
  | 'seats distinct'
  // A committed change was accepted by a majority.
  | 'settled by a majority'
  // A linearizable read is not older than a change acknowledged, or a read confirmed, before it began.
  | 'stale read'
  // The newest acknowledged change is never missing at a majority of the current voters.
  | 'acknowledged change held'
  // An acknowledged change is the one chosen for its log index.
  | 'acknowledged in force'
  // An active change that is sent again is not rejected.
  | 'resend refused'
  // A change request based on the newest version is not rejected.
  | 'newest base refused'
  // At most one node holds the lease.
  | 'leases disjoint'
  // Each new lease has a higher fencing token than all before it.
  | 'fences rising'
  // Every live voter reaches the newest log index in the liveness phase.
  | 'catching up'
  // A change is acknowledged in the liveness phase.
  | 'progress';

/** A rule that a schedule broke, and how. */
export interface Violation {
  readonly rule: Rule;
  readonly detail: string;
}

/** An operator's request to change the configuration from version `base` to `configVersion`. */
export interface ChangeRequest {
  readonly id: string;
  readonly base: number;
  readonly configVersion: number;
}

/** The externally visible state of one node. */
export interface NodeObservation {
  readonly node: string;
  readonly incarnation: string;
  readonly isAlive: boolean;
  /** Whether no disk has this incarnation: it was lost, or the node has never started. */
  readonly isLost: boolean;
  /** The last durable state that was seen on the node. */
  readonly state: CommittedState | null;
  /** The change that the node has accepted and does not know to be committed. */
  readonly accepted: { readonly slot: number; readonly changeId: string } | null;
  /** The fencing token of the lease that the node holds now. */
  readonly fencingToken: number | null;
}

interface VoteTally {
  readonly ballot: string;
  readonly changeId: string;
  readonly voters: Set<string>;
}

const majorityOf = (count: number): number => Math.floor(count / 2) + 1;

/** Checks one schedule from the outside: counts the votes itself and compares the nodes' states and replies with them. */
export class Checker {
  /** The violations found so far, oldest first. */
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
    this.recordState(initialState, 'the initial state');
  }

  private readonly report = (rule: Rule, detail: string): void => void this.violations.push({ rule, detail });

  /** The highest log index for which a change was chosen. */
  readonly newestChosenIndex = (): number => this.highestChosenIndex;

  /** The committed state of the highest log index whose state is known. */
  readonly newestState = (): CommittedState => this.states.get(this.newestStateIndex()) as CommittedState;

  private readonly newestStateIndex = (): number => {
    let newest = 0;
    for (const logIndex of this.states.keys()) newest = Math.max(newest, logIndex);
    return newest;
  };

  /** The committed state of a log index, if any node has shown it. */
  readonly stateAt = (logIndex: number): CommittedState | undefined => this.states.get(logIndex);

  /** Records a durable state of a node. States of one log index must be equal. */
  readonly recordState = (state: CommittedState, where: string): void => {
    if (this.recordedStates.has(state)) return;
    this.recordedStates.add(state);
    const text = JSON.stringify([state.members, state.routing, Object.keys(state.changeIds).sort()]);
    const known = this.stateTexts.get(state.logIndex);
    if (known !== undefined) {
      if (known !== text)
        this.report('one history', `log index ${state.logIndex} at ${where}: got ${text}, expected ${known}`);
      return;
    }
    this.stateTexts.set(state.logIndex, text);
    this.states.set(state.logIndex, state);
    const voterIncarnations = new Set(state.members.map((member) => member.incarnation));
    if (voterIncarnations.size !== state.members.length)
      this.report(
        'seats distinct',
        `log index ${state.logIndex}: duplicate voters in ${state.members.map((one) => one.name).join()}`,
      );
    if (state.logIndex > 0 && !this.chosen.has(state.logIndex))
      this.report('settled by a majority', `log index ${state.logIndex} at ${where} was not accepted by a majority`);
    this.newestChosenConfigVersion = Math.max(this.newestChosenConfigVersion, state.routing?.configVersion ?? 0);
  };

  /** Records that an acceptor has accepted a change, before its reply is sent. */
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
      if (known !== change.id)
        this.report('one change a generation', `log index ${slot}: ${known} and ${change.id} were both chosen`);
      return;
    }
    this.chosen.set(slot, change.id);
    this.changeIdBySlot.set(slot, change.id);
    this.highestChosenIndex = Math.max(this.highestChosenIndex, slot);
    if (change.body.kind === 'routing')
      this.newestChosenConfigVersion = Math.max(this.newestChosenConfigVersion, change.body.routing.configVersion);
  };

  /** Records that an operator was told that its change is committed at `logIndex`. */
  readonly recordAcknowledgement = (request: ChangeRequest, logIndex: number): void => {
    const known = this.acknowledged.get(request.id);
    if (known !== undefined && known !== logIndex)
      this.report('one change a generation', `${request.id} was acknowledged at log index ${known} and at ${logIndex}`);
    this.acknowledged.set(request.id, logIndex);
    this.newestAcknowledgedIndex = Math.max(this.newestAcknowledgedIndex, logIndex);
    const chosen = this.chosen.get(logIndex);
    if (chosen !== request.id)
      this.report(
        'acknowledged in force',
        `${request.id} was acknowledged at log index ${logIndex}, where ${chosen ?? 'no change'} was chosen`,
      );
  };

  /** Records that an operator's change was rejected because its base is not the active version. */
  readonly recordRejection = (request: ChangeRequest, node: string): void => {
    const isActive =
      [...this.chosen.values()].includes(request.id) && this.newestChosenConfigVersion === request.configVersion;
    if (isActive) this.report('resend refused', `${request.id} is active and was rejected at ${node}`);
    else if (this.newestChosenConfigVersion <= request.base)
      this.report(
        'newest base refused',
        `${request.id} on base ${request.base}, the newest version, was rejected at ${node}`,
      );
  };

  /** The lowest log index that a read which begins now may return. */
  readonly minReadIndex = (): number => Math.max(this.newestAcknowledgedIndex, this.newestReadIndex);

  /** Records a read that a node confirmed at `logIndex`; `minIndex` is the result of `minReadIndex` when the read began. */
  readonly recordRead = (minIndex: number, logIndex: number, node: string): void => {
    if (logIndex < minIndex)
      this.report('stale read', `${node} confirmed log index ${logIndex}, expected at least ${minIndex}`);
    this.newestReadIndex = Math.max(this.newestReadIndex, logIndex);
  };

  /** Checks the invariants that hold between any two steps. */
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
        `log index ${logIndex} is missing at ${lacking.map((node) => node.node).join()}, a majority of the current voters`,
      );
  };

  private readonly checkLeases = (nodes: readonly NodeObservation[]): void => {
    const holders = nodes.filter((node) => node.isAlive && node.fencingToken !== null);
    if (holders.length > 1)
      this.report(
        'leases disjoint',
        holders.map((node) => `${node.node} with fencing token ${node.fencingToken}`).join(' and '),
      );
    for (const { node, fencingToken } of holders) {
      if (fencingToken === null || (this.leaseHolder?.node === node && this.leaseHolder.fencingToken === fencingToken))
        continue;
      if (fencingToken <= this.highestFencingToken)
        this.report('fences rising', `${node} got fencing token ${fencingToken} after ${this.highestFencingToken}`);
      this.leaseHolder = { node, fencingToken: fencingToken };
      this.highestFencingToken = Math.max(this.highestFencingToken, fencingToken);
    }
  };

  /** Checks the liveness properties at the end of a schedule, after the bounded number of rounds of its liveness phase. */
  readonly finish = (nodes: readonly NodeObservation[], isChangeAcknowledged: boolean, rounds: number): void => {
    const members = this.newestState().members;
    const voterIncarnations = new Set(members.map((member) => member.incarnation));
    const liveVoters = nodes.filter((node) => node.isAlive && voterIncarnations.has(node.incarnation));
    for (const node of liveVoters)
      if ((node.state?.logIndex ?? -1) < this.highestChosenIndex)
        this.report(
          'catching up',
          `${node.node} is at log index ${node.state?.logIndex ?? 'none'} after ${rounds} rounds, the newest is ${this.highestChosenIndex}`,
        );
    if (!isChangeAcknowledged) this.report('progress', `no change was acknowledged in ${rounds} rounds`);
  };
}
