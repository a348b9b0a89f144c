/** Checks progress at the end of a schedule, since a group that does nothing breaks no safety rule. */
import type { Checker, NodeObservation } from './checker.js';
import type { FleetUnderTest } from './fleetUnderTest.js';
import type { ModelNode } from './modelNode.js';
import type { Operator } from './operator.js';

const roundMs = 300;
const maxRounds = 80;
const firstRequestRound = 2;
const requestTimeoutRounds = 15;
const maxExchangesPerInstant = 200;

/** The fault-free end of a schedule, in which every live voter must reach the newest state and a change be acknowledged. */
export class LivenessPhase {
  private isAcknowledged = false;
  private requestedInRound = Number.NEGATIVE_INFINITY;

  constructor(
    private readonly fleet: FleetUnderTest,
    private readonly nodesKeptDown: ReadonlySet<ModelNode>,
    private readonly operator: Operator,
  ) {}

  /** Runs rounds until all live voters have caught up and a change was acknowledged, but at most 80. */
  readonly run = async (): Promise<void> => {
    for (let round = 0; round < maxRounds; round += 1) {
      await this.beginRound(round);
      await this.runRound();
      if (this.isAcknowledged && this.isCaughtUp()) break;
    }
    this.checker().finish(this.observations(), this.isAcknowledged, maxRounds);
  };

  private readonly checker = (): Checker => this.fleet.checker();

  private readonly observations = (): NodeObservation[] => this.fleet.observations();

  private readonly beginRound = async (round: number): Promise<void> => {
    for (const node of this.fleet.nodes) {
      if (!node.isAlive() && !node.isAbsent && !this.nodesKeptDown.has(node)) await node.start();
      node.checkMembership();
      node.commitPending();
      node.tickLeases();
    }
    const isRequestDue = round >= firstRequestRound && round - this.requestedInRound >= requestTimeoutRounds;
    if (isRequestDue && !this.isAcknowledged) this.requestChange(round);
  };

  private readonly voters = (): Set<string> =>
    new Set(
      this.checker()
        .newestState()
        .members.map((member) => member.incarnation),
    );

  private readonly requestChange = (round: number): void => {
    const voterIncarnations = this.voters();
    const running = this.fleet.nodes.filter((node) => node.isAlive() && voterIncarnations.has(node.incarnation()));
    const node = running[round % Math.max(1, running.length)];
    if (node === undefined) return;
    this.requestedInRound = round;
    void this.readAndRequestChange(node);
  };

  private readonly readAndRequestChange = async (node: ModelNode): Promise<void> => {
    const isCommitted = (await this.operator.read(node)) && (await this.operator.requestChange(node));
    if (isCommitted) this.isAcknowledged = true;
    else this.requestedInRound = Number.NEGATIVE_INFINITY;
  };

  private readonly isCaughtUp = (): boolean => {
    const voterIncarnations = this.voters();
    const newest = this.checker().newestChosenIndex();
    return this.observations().every(
      (node) => !node.isAlive || !voterIncarnations.has(node.incarnation) || (node.state?.logIndex ?? -1) >= newest,
    );
  };

  private readonly runRound = async (): Promise<void> => {
    const { clock } = this.fleet;
    const until = clock.now() + roundMs;
    do {
      await this.exchange();
    } while (clock.fireNext(until));
    clock.advanceTo(until);
  };

  /** Delivers messages in the order sent and completes pending syncs, until none are left or the limit of exchanges is reached. */
  private readonly exchange = async (): Promise<void> => {
    const { network, nodes } = this.fleet;
    for (let count = 0; count < maxExchangesPerInstant; count += 1) {
      await this.fleet.drain();
      const messages = network.inFlight.splice(0);
      for (const message of messages) network.deliver(message);
      let hasSynced = false;
      for (const node of nodes) while (node.disk.completeSync()) hasSynced = true;
      if (messages.length === 0 && !hasSynced) break;
    }
    this.checker().observe(this.observations());
  };
}
