/** What membership costs any node. */
import type { CapacityEstimate } from './capacityEstimate.js';

/** In the order of the page. */
export const membershipEstimates: readonly CapacityEstimate[] = [
  {
    id: 'N1',
    role: 'any node',
    what: 'roster exchanges, one begun and one answered a second',
    unit: 'B/s',
    budgetItem: 'networkBytes',
    formula: '2 x `gossip/bytes`',
    value: (costOf) => 2 * costOf('gossip/bytes'),
  },
  {
    id: 'N2',
    role: 'watcher',
    what: 'beats',
    unit: 'ms/s',
    budgetItem: 'cpuMs',
    formula: '2 a second x `watch/beat-cpu`',
    value: (costOf) => 2 * costOf('watch/beat-cpu'),
  },
];
