/** The view of a schedule's fleet that its fair end needs; the world of the schedule implements it. */
import type { Checker, NodeObservation } from './checker.js';
import type { ModelNode } from './modelNode.js';
import type { Network } from './network.js';
import type { VirtualClock } from './virtualClock.js';

/** The nodes of one schedule, the network between them and the checker that judges them. */
export interface FleetUnderTest {
  readonly clock: VirtualClock;
  readonly network: Network;
  readonly nodes: readonly ModelNode[];
  /** Throws before the fleet is founded. */
  readonly checker: () => Checker;
  /** The state of every node, as the checker sees it. */
  readonly observations: () => NodeObservation[];
  /** Lets everything run that waits for neither a message, a disk nor the clock. */
  readonly drain: () => Promise<void>;
}
