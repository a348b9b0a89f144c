/** The ports over the real machine; tests use simulated ones in their place. */
import { realClock } from './realClock.js';
import { noDisk, realDisk } from './realDisk.js';
import { realNetwork } from './realNetwork.js';
import { realRandom } from './realRandom.js';

/**
 * The real clock, randomness, network (given the local host to dial from, or null for any) and disk (given its folder).
 * `noDisk` fails every call with `NODATA`.
 */
export const machine = { clock: realClock, random: realRandom, net: realNetwork, disk: realDisk, noDisk };
