/** The injection for every kind of fault. */
import { cacheFaults } from './cacheFaults.js';
import { clockFaults } from './clockFaults.js';
import { configurationChanges } from './configurationChanges.js';
import { crashes } from './crashes.js';
import { crashesAfterAcknowledgement } from './crashesAfterAcknowledgement.js';
import { diskFaults } from './diskFaults.js';
import type { Injections } from './faultContext.js';
import { gracefulShutdowns } from './gracefulShutdowns.js';
import { memberReplacements } from './memberReplacements.js';
import { networkPartitions } from './networkPartitions.js';
import { processPauses } from './processPauses.js';
import { responseFaults } from './responseFaults.js';
import { tenantChanges } from './tenantChanges.js';

/** All injections by kind; the compiler checks that no kind is missing. */
export const injections: Required<Injections> = {
  ...cacheFaults,
  ...clockFaults,
  ...configurationChanges,
  ...crashes,
  ...crashesAfterAcknowledgement,
  ...diskFaults,
  ...gracefulShutdowns,
  ...memberReplacements,
  ...networkPartitions,
  ...processPauses,
  ...responseFaults,
  ...tenantChanges,
};
