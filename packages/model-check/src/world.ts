/** The simulated world of one schedule: nodes, network, clock, operators and checker. */
import { stateMachine } from '@martenworks/core-types';
import type { Member } from '@martenworks/core-types';
import type { InjectedFault } from './injectedFaults.js';
import { Checker } from './checker.js';
import type { NodeObservation } from './checker.js';
import type { Choice } from './choices.js';
import { LivenessPhase } from './livenessPhase.js';
import type { FleetUnderTest } from './fleetUnderTest.js';
import { LossBound } from './lossBound.js';
import { ModelNode } from './modelNode.js';
import { Network } from './network.js';
import { Operator } from './operator.js';
import { SeededRandom } from './seededRandom.js';
import { VirtualClock } from './virtualClock.js';

const operatorCount = 2;
const spareCount = 2;
const leaveDownProbability = 0.3;

/** The fleet of one schedule: voters, spare machines and operators. It performs one choice at a time. */
export class World implements FleetUnderTest {
  readonly clock = new VirtualClock();
  readonly network = new Network(this.clock);
  readonly nodes: readonly ModelNode[];
  /** The operators, by the number that a choice names. */
  readonly operators: readonly Operator[];
  private readonly random: SeededRandom;
  private readonly leavesNodesDown: boolean;
  private readonly lossBound: LossBound;
  private nodesKeptDown: ReadonlySet<ModelNode> = new Set();
  private currentChecker: Checker | null = null;

  constructor(
    /** Number of initial voters. */
    readonly voterCount: number,
    seed: number,
    injectedFault: InjectedFault | null,
  ) {
    this.random = new SeededRandom(seed);
    this.leavesNodesDown = this.random.chance(leaveDownProbability);
    this.lossBound = new LossBound(this.checker, this.observations, this.clock.now);
    const environment = {
      clock: this.clock,
      random: this.random,
      network: this.network,
      injectedFault,
      nodes: () => this.nodes,
      onAccepted: this.onAccepted,
      onProposed: this.lossBound.recordProposal,
      onMemberStatus: this.lossBound.recordMemberStatus,
    };
    this.nodes = Array.from({ length: voterCount + spareCount }, (_, at) => new ModelNode(`n${at}`, environment));
    this.operators = Array.from({ length: operatorCount }, (_, number) => new Operator(number, this.checker));
  }

  private readonly onAccepted: ConstructorParameters<typeof ModelNode>[1]['onAccepted'] = (
    acceptor,
    slot,
    ballot,
    change,
  ) => {
    const state = acceptor.committedState();
    if (state !== null) this.checker().recordState(state, acceptor.incarnation);
    this.checker().recordAcceptance(acceptor.incarnation, slot, ballot.join('/'), change);
  };

  readonly checker = (): Checker => {
    if (this.currentChecker === null) throw new Error('the initial members have not started yet');
    return this.currentChecker;
  };

  /** Starts the initial voters on a common initial state. The spare machines stay absent until they join. */
  readonly bootstrap = async (): Promise<void> => {
    const voters = this.nodes.slice(0, this.voterCount);
    for (const node of voters) await node.start();
    const members = voters.map(
      (node): Member => ({ name: node.name, address: `${node.name}:1`, incarnation: node.incarnation() }),
    );
    const initialState = stateMachine.initialState(members);
    for (const node of voters) await node.bootstrap(initialState);
    this.currentChecker = new Checker(initialState);
  };

  /** Runs all work up to the next wait for the scheduler. Work between steps uses only promises, so one `setImmediate` suffices. */
  readonly drain = (): Promise<void> => new Promise((resolve) => setImmediate(resolve));

  /** The node with this name, if any. */
  readonly node = (name: string): ModelNode | undefined => this.nodes.find((node) => node.name === name);

  /** The externally visible state of each node. */
  readonly observations = (): NodeObservation[] => this.nodes.map((node) => node.observation());

  /** Whether `node` has a disk and may lose it. */
  readonly mayLoseDisk = (node: ModelNode): boolean =>
    node.incarnation() !== '' &&
    this.lossBound.allows([node, ...this.nodesKeptDown].map((missing) => missing.incarnation()));

  /** Performs one step and checks the rules after it; resolves to false if the step is not possible now. */
  readonly apply = async (choice: Choice): Promise<boolean> => {
    const isDone = await this.perform(choice);
    if (!isDone) return false;
    await this.drain();
    this.checker().observe(this.observations());
    return true;
  };

  private readonly perform = async (choice: Choice): Promise<boolean> => {
    switch (choice.do) {
      case 'deliver':
      case 'drop':
      case 'double':
        return this.performOnMessage(choice.do, choice.message, choice.at);
      case 'sync':
        return this.node(choice.node)?.disk.completeSync() ?? false;
      case 'failSync':
        return this.node(choice.node)?.disk.failSync() ?? false;
      case 'cut':
        this.network.partition(choice.from, choice.to, choice.isNoticed);
        return true;
      case 'heal':
        return this.heal(choice.from, choice.to);
      case 'order':
      case 'resend':
      case 'read': {
        const operator = this.operators[choice.operator];
        const node = this.node(choice.node);
        return operator !== undefined && node?.isAlive() === true && this.performByOperator(choice, operator, node);
      }
      case 'nextTimer':
        return this.clock.fireNext();
      case 'pass':
        await this.passTime(choice.ms);
        return true;
      default:
        return this.performOnNode(choice);
    }
  };

  private readonly performOnNode = async (choice: Extract<Choice, { node: string }>): Promise<boolean> => {
    const node = this.node(choice.node);
    if (node === undefined) return false;
    switch (choice.do) {
      case 'restart':
        if (node.isAlive() || node.isAbsent) return false;
        await node.start();
        return true;
      case 'join':
        if (!node.isAbsent) return false;
        await node.start();
        return true;
      default:
        return node.isAlive() && this.performOnLiveNode(node, choice);
    }
  };

  private readonly performOnLiveNode = async (node: ModelNode, choice: Choice): Promise<boolean> => {
    switch (choice.do) {
      case 'crash':
        await node.crash(choice.keptShare);
        return true;
      case 'loseDisk':
        if (!this.mayLoseDisk(node)) return false;
        await node.loseDisk();
        return true;
      case 'leave':
        void node.leave(() => this.mayLoseDisk(node));
        return true;
      case 'upkeep':
        node.checkMembership();
        return true;
      case 'settleRival':
        node.commitPending();
        return true;
      case 'dutyTick':
        node.tickLeases();
        return true;
      default:
        return false;
    }
  };

  private readonly heal = (from: string, to: string): boolean => {
    const wasConnected = this.network.isConnected(from, to);
    if (!this.network.heal(from, to)) return false;
    const [one, other] = [this.node(from), this.node(to)];
    if (!wasConnected && this.network.isConnected(from, to) && other !== undefined) one?.connectTo(other);
    return true;
  };

  private readonly performOnMessage = (kind: 'deliver' | 'drop' | 'double', label: string, at: number): boolean => {
    const message = this.network.find(label, at);
    if (message === undefined) return false;
    if (kind !== 'double') this.network.remove(message);
    if (kind !== 'drop') this.network.deliver(message);
    return true;
  };

  private readonly passTime = async (ms: number): Promise<void> => {
    const until = this.clock.now() + ms;
    while (this.clock.fireNext(until)) await this.drain();
    this.clock.advanceTo(until);
  };

  private readonly performByOperator = (
    choice: Extract<Choice, { operator: number }>,
    operator: Operator,
    node: ModelNode,
  ): boolean => {
    switch (choice.do) {
      case 'order':
        void operator.requestChange(node);
        return true;
      case 'resend':
        return operator.resend(node);
      case 'read':
        void operator.read(node);
        return true;
    }
  };

  /**
   * Ends the schedule with its liveness phase: links heal, processes restart, and messages and syncs go through. In some
   * schedules the nodes that are down stay down, if the loss bound allows it.
   */
  readonly finish = async (): Promise<void> => {
    for (const [from, to] of this.network.partitionedLinks()) this.heal(from, to);
    const down = this.nodes.filter((node) => !node.isAlive() && !node.isAbsent);
    const staysDown = this.leavesNodesDown && this.lossBound.allows(down.map((node) => node.incarnation()));
    if (staysDown) this.nodesKeptDown = new Set(down);
    const [operator] = this.operators;
    if (operator !== undefined) await new LivenessPhase(this, this.nodesKeptDown, operator).run();
  };
}
