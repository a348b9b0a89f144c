/** The fair end of a schedule, in which progress is checked: safety rules alone would allow to do nothing. */
import type { Checker, Observed } from './checker.js';
import type { FleetUnderTest } from './fleetUnderTest.js';
import type { ModelNode } from './modelNode.js';
import type { Operator } from './operator.js';

const roundMs = 300;
const mostRounds = 80;
const roundBeforeOrder = 2;
const roundsForOrder = 15;
const exchangesAtOnce = 200;

/** The fair end of a schedule: everything that can run does, and all must reach the newest state and take an order. */
export class FairEnd {
  private isAcknowledged = false;
  private orderedIn = Number.NEGATIVE_INFINITY;

  constructor(
    private readonly fleet: FleetUnderTest,
    private readonly keptDown: ReadonlySet<ModelNode>,
    private readonly operator: Operator,
  ) {}

  /** Runs rounds until all nodes have caught up and an order was acknowledged, for 80 rounds at most. */
  readonly run = async (): Promise<void> => {
    for (let round = 0; round < mostRounds; round += 1) {
      await this.begin(round);
      await this.passRound();
      if (this.isAcknowledged && this.isCaughtUp()) break;
    }
    this.checker().finish(this.observed(), this.isAcknowledged, mostRounds);
  };

  private readonly checker = (): Checker => this.fleet.checker();

  private readonly observed = (): Observed[] => this.fleet.observed();

  private readonly begin = async (round: number): Promise<void> => {
    for (const node of this.fleet.nodes) {
      if (!node.isAlive() && !node.isAway && !this.keptDown.has(node)) await node.start();
      node.upkeep();
      node.commitPending();
      node.dutyTick();
    }
    const isOrderDue = round >= roundBeforeOrder && round - this.orderedIn >= roundsForOrder;
    if (isOrderDue && !this.isAcknowledged) this.order(round);
  };

  private readonly seats = (): Set<string> =>
    new Set(
      this.checker()
        .newestState()
        .members.map((member) => member.incarnation),
    );

  private readonly order = (round: number): void => {
    const seats = this.seats();
    const running = this.fleet.nodes.filter((node) => node.isAlive() && seats.has(node.incarnation()));
    const node = running[round % Math.max(1, running.length)];
    if (node === undefined) return;
    this.orderedIn = round;
    void this.readAndOrder(node);
  };

  private readonly readAndOrder = async (node: ModelNode): Promise<void> => {
    const isTaken = (await this.operator.read(node)) && (await this.operator.order(node));
    if (isTaken) this.isAcknowledged = true;
    else this.orderedIn = Number.NEGATIVE_INFINITY;
  };

  private readonly isCaughtUp = (): boolean => {
    const seats = this.seats();
    const newest = this.checker().newestGeneration();
    return this.observed().every(
      (node) => !node.isAlive || !seats.has(node.incarnation) || (node.state?.logIndex ?? -1) >= newest,
    );
  };

  private readonly passRound = async (): Promise<void> => {
    const { clock } = this.fleet;
    const until = clock.now() + roundMs;
    do {
      await this.exchange();
    } while (clock.ringNext(until));
    clock.moveTo(until);
  };

  /** Delivers all messages in their order and completes all writes, until nothing is on the way or time must pass. */
  private readonly exchange = async (): Promise<void> => {
    const { network, nodes } = this.fleet;
    for (let count = 0; count < exchangesAtOnce; count += 1) {
      await this.fleet.drain();
      const messages = network.inFlight.splice(0);
      for (const message of messages) network.deliver(message);
      let hasWritten = false;
      for (const node of nodes) while (node.disk.completeSync()) hasWritten = true;
      if (messages.length === 0 && !hasWritten) break;
    }
    this.checker().observe(this.observed());
  };
}
