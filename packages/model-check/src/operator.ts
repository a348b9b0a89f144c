/** Operators of a schedule, who order changes of the configuration and judge the answers. */
import { err, ok } from 'neverthrow';
import { proposalErrors } from '@martenworks/control-plane';
import type { Proposer } from '@martenworks/control-plane';
import type { CommittedState, Change, ActiveRouting } from '@martenworks/core-types';
import type { Checker, Order } from './checker.js';
import type { ModelNode } from './modelNode.js';

const orderTimeoutMs = 3_000;

/** Turns an operator's order into what the configuration service proposes for it. */
const proposalOf = (order: Order): Parameters<Proposer['propose']> => {
  const routing = { configVersion: order.configVersion, table: {}, source: order.id } as unknown as ActiveRouting;
  const change: Change = { id: order.id, digest: order.id, body: { kind: 'routing', base: order.base, routing } };
  const check = (state: CommittedState) => {
    const configVersion = state.routing?.configVersion ?? 0;
    if (configVersion === order.base) return ok(change);
    return err(proposalErrors.conflict(configVersion, `${configVersion} is in force`));
  };
  return [check, order.id, order.id, orderTimeoutMs];
};

/** One operator: builds each order on the newest version it knows, and may send its last one again. */
export class Operator {
  private known = 0;
  private sent = 0;
  private last: Order | null = null;

  constructor(
    private readonly number: number,
    private readonly checker: () => Checker,
  ) {}

  /** Sends a new order to a node; true once it was acknowledged. */
  readonly order = (node: ModelNode): Promise<boolean> => {
    this.sent += 1;
    this.last = { id: `ways/${this.number}-${this.sent}`, base: this.known, configVersion: this.known + 1 };
    return this.attempt(this.last, node);
  };

  /** Sends the last order again; false where there is none. */
  readonly resend = (node: ModelNode): boolean => {
    if (this.last === null) return false;
    void this.attempt(this.last, node);
    return true;
  };

  private readonly attempt = async (order: Order, node: ModelNode): Promise<boolean> => {
    const outcome = await node.propose(...proposalOf(order));
    if (outcome.isOk()) {
      this.checker().orderAcknowledged(order, outcome.value.logIndex);
      this.known = Math.max(this.known, order.configVersion);
      return true;
    }
    if (outcome.error.code === 'conflict' || outcome.error.code === 'rejected')
      this.checker().orderRefused(order, node.name);
    return false;
  };

  /** Reads what is in force; true where the node confirmed it. */
  readonly read = async (node: ModelNode): Promise<boolean> => {
    const floor = this.checker().readFloor();
    const state = await node.read();
    if (state === null) return false;
    this.checker().readAnswered(floor, state.logIndex, node.name);
    this.known = Math.max(this.known, state.routing?.configVersion ?? 0);
    return true;
  };
}
