/** The ports of the real machine; tests use simulated ones instead. */
import { realClock } from './realClock.js';
import { noDisk, realDisk } from './realDisk.js';
import { realNetwork } from './realNetwork.js';
import { realRandom } from './realRandom.js';

/**
 * The real clock and random source, a network for a local host to dial from (null for any), and a disk for a folder.
 * Every operation of `noDisk` fails with `NODATA`.
 */
export const machine = { clock: realClock, random: realRandom, net: realNetwork, disk: realDisk, noDisk };
