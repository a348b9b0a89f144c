/** Costs of cluster membership for any node. */
import type { CapacityEstimate } from './capacityEstimate.js';

/** In the order of the table. */
export const membershipEstimates: readonly CapacityEstimate[] = [
  {
    id: 'N1',
    role: 'any node',
    what: 'member list exchanges, one sent and one received per second',
    unit: 'B/s',
    budgetItem: 'networkBytes',
    formula: '2 x `gossip/bytes`',
    value: (costOf) => 2 * costOf('gossip/bytes'),
  },
  {
    id: 'N2',
    role: 'watcher',
    what: 'heartbeats',
    unit: 'ms/s',
    budgetItem: 'cpuMs',
    formula: '2 per second x `watch/beat-cpu`',
    value: (costOf) => 2 * costOf('watch/beat-cpu'),
  },
];
