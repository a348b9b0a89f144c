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
export interface Order {
  readonly id: string;
  readonly base: number;
  readonly configVersion: number;
}

/** What the checker may look at on one node, from outside. */
export interface Observed {
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
  readonly fence: number | null;
}

interface Vote {
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
  private readonly texts = new Map<number, string>();
  private readonly votes = new Map<number, Vote[]>();
  private readonly chosen = new Map<number, string>();
  private readonly compared = new WeakSet<CommittedState>();
  private readonly acknowledged = new Map<string, number>();
  private readonly orderAt = new Map<number, string>();
  private newestAcknowledged = 0;
  private newestRead = 0;
  private newestChosenGeneration = 0;
  private newestChosenConfigVersion = 0;
  private leader: { node: string; fence: number } | null = null;
  private highestFence = 0;

  constructor(founded: CommittedState) {
    this.learn(founded, 'the founding');
  }

  private readonly tell = (rule: Rule, detail: string): void => void this.violations.push({ rule, detail });

  /** The highest log index for which a change was chosen. */
  readonly newestGeneration = (): number => this.newestChosenGeneration;

  /** The committed state of the highest log index that is known whole. */
  readonly newestState = (): CommittedState => this.states.get(this.newestStateGeneration()) as CommittedState;

  private readonly newestStateGeneration = (): number => {
    let newest = 0;
    for (const logIndex of this.states.keys()) newest = Math.max(newest, logIndex);
    return newest;
  };

  /** The committed state of a log index, where any node has shown it. */
  readonly stateAt = (logIndex: number): CommittedState | undefined => this.states.get(logIndex);

  /** Takes note of a state that a node holds durable; states of one log index must be equal. */
  readonly learn = (state: CommittedState, where: string): void => {
    if (this.compared.has(state)) return;
    this.compared.add(state);
    const text = JSON.stringify([state.members, state.routing, Object.keys(state.changeIds).sort()]);
    const known = this.texts.get(state.logIndex);
    if (known !== undefined) {
      if (known !== text) this.tell('one history', `generation ${state.logIndex} at ${where}: ${text}, not ${known}`);
      return;
    }
    this.texts.set(state.logIndex, text);
    this.states.set(state.logIndex, state);
    const seats = new Set(state.members.map((member) => member.incarnation));
    if (seats.size !== state.members.length)
      this.tell('seats distinct', `generation ${state.logIndex}: ${state.members.map((one) => one.name).join()}`);
    if (state.logIndex > 0 && !this.chosen.has(state.logIndex))
      this.tell('settled by a majority', `generation ${state.logIndex} at ${where} was accepted by no majority`);
    this.newestChosenConfigVersion = Math.max(this.newestChosenConfigVersion, state.routing?.configVersion ?? 0);
  };

  /** An acceptor reported, or was about to report, that it has accepted a change. */
  readonly accepted = (voter: string, slot: number, ballot: string, change: Change): void => {
    const votes = this.votes.get(slot) ?? [];
    this.votes.set(slot, votes);
    let vote = votes.find((one) => one.ballot === ballot && one.changeId === change.id);
    if (vote === undefined) {
      vote = { ballot, changeId: change.id, voters: new Set() };
      votes.push(vote);
    }
    vote.voters.add(voter);
    const members = this.states.get(slot - 1)?.members ?? [];
    const seats = new Set(members.map((member) => member.incarnation));
    const held = [...vote.voters].filter((one) => seats.has(one)).length;
    if (held >= majorityOf(members.length)) this.choose(slot, change);
  };

  private readonly choose = (slot: number, change: Change): void => {
    const known = this.chosen.get(slot);
    if (known !== undefined) {
      if (known !== change.id) this.tell('one change a generation', `generation ${slot}: ${known} and ${change.id}`);
      return;
    }
    this.chosen.set(slot, change.id);
    this.orderAt.set(slot, change.id);
    this.newestChosenGeneration = Math.max(this.newestChosenGeneration, slot);
    if (change.body.kind === 'routing')
      this.newestChosenConfigVersion = Math.max(this.newestChosenConfigVersion, change.body.routing.configVersion);
  };

  /** An operator got the reply that its change was committed at a log index. */
  readonly orderAcknowledged = (order: Order, logIndex: number): void => {
    const known = this.acknowledged.get(order.id);
    if (known !== undefined && known !== logIndex)
      this.tell('one change a generation', `${order.id} acknowledged as ${known} and as ${logIndex}`);
    this.acknowledged.set(order.id, logIndex);
    this.newestAcknowledged = Math.max(this.newestAcknowledged, logIndex);
    const chosen = this.chosen.get(logIndex);
    if (chosen !== order.id)
      this.tell('acknowledged in force', `${order.id} acknowledged as ${logIndex}, which is ${chosen ?? 'not chosen'}`);
  };

  /** An operator got the reply that its change cannot be made on the version it named. */
  readonly orderRefused = (order: Order, node: string): void => {
    const isInForce =
      [...this.chosen.values()].includes(order.id) && this.newestChosenConfigVersion === order.configVersion;
    if (isInForce) this.tell('resend refused', `${order.id} is in force and was refused at ${node}`);
    else if (this.newestChosenConfigVersion <= order.base)
      this.tell('newest base refused', `${order.id} on ${order.base}, the newest, was refused at ${node}`);
  };

  /** The log index that a read beginning now may not fall short of. */
  readonly readFloor = (): number => Math.max(this.newestAcknowledged, this.newestRead);

  /** A node confirmed a read as of `logIndex`; `floor` is what `readFloor` gave when the read began. */
  readonly readAnswered = (floor: number, logIndex: number, node: string): void => {
    if (logIndex < floor) this.tell('stale read', `${node} confirmed generation ${logIndex}, ${floor} was known`);
    this.newestRead = Math.max(this.newestRead, logIndex);
  };

  /** Checks what holds between any two steps. */
  readonly observe = (nodes: readonly Observed[]): void => {
    for (const node of nodes) {
      if (node.state !== null) this.learn(node.state, node.node);
    }
    this.checkHolders(nodes);
    this.checkLeases(nodes);
  };

  private readonly holds = (node: Observed, logIndex: number): boolean =>
    (node.state !== null && node.state.logIndex >= logIndex) ||
    (node.accepted?.slot === logIndex && node.accepted.changeId === this.chosen.get(logIndex));

  private readonly checkHolders = (nodes: readonly Observed[]): void => {
    const logIndex = this.newestAcknowledged;
    if (logIndex === 0) return;
    const members = this.newestState().members;
    const seats = new Set(members.map((member) => member.incarnation));
    const without = nodes.filter((node) => !node.isLost && seats.has(node.incarnation) && !this.holds(node, logIndex));
    if (without.length >= majorityOf(members.length))
      this.tell(
        'acknowledged change held',
        `generation ${logIndex} is lacking at ${without.map((node) => node.node).join()}, a majority of those who vote next`,
      );
  };

  private readonly checkLeases = (nodes: readonly Observed[]): void => {
    const holders = nodes.filter((node) => node.isAlive && node.fence !== null);
    if (holders.length > 1)
      this.tell('leases disjoint', holders.map((node) => `${node.node} with fence ${node.fence}`).join(' and '));
    for (const { node, fence } of holders) {
      if (fence === null || (this.leader?.node === node && this.leader.fence === fence)) continue;
      if (fence <= this.highestFence) this.tell('fences rising', `${node} got ${fence} after ${this.highestFence}`);
      this.leader = { node, fence };
      this.highestFence = Math.max(this.highestFence, fence);
    }
  };

  /** Checks the end of a schedule, after the bounded number of fair steps. */
  readonly finish = (nodes: readonly Observed[], isLastOrderAcknowledged: boolean, rounds: number): void => {
    const members = this.newestState().members;
    const seats = new Set(members.map((member) => member.incarnation));
    const living = nodes.filter((node) => node.isAlive && seats.has(node.incarnation));
    for (const node of living)
      if ((node.state?.logIndex ?? -1) < this.newestChosenGeneration)
        this.tell(
          'catching up',
          `${node.node} holds ${node.state?.logIndex ?? 'nothing'} after ${rounds} fair rounds, ${this.newestChosenGeneration} is the newest`,
        );
    if (!isLastOrderAcknowledged) this.tell('progress', `no order was acknowledged in ${rounds} fair rounds`);
  };
}
