/** The part of a schedule's world that its liveness phase uses. */
import type { Checker, NodeObservation } from './checker.js';
import type { ModelNode } from './modelNode.js';
import type { Network } from './network.js';
import type { VirtualClock } from './virtualClock.js';

/** The nodes of one schedule, the network between them and the checker of their invariants. */
export interface FleetUnderTest {
  readonly clock: VirtualClock;
  readonly network: Network;
  readonly nodes: readonly ModelNode[];
  /** Throws before the initial members have started. */
  readonly checker: () => Checker;
  /** The externally visible state of every node. */
  readonly observations: () => NodeObservation[];
  /** Runs all work that waits for neither a message, a disk nor the clock. */
  readonly drain: () => Promise<void>;
}
