import { probes } from './probes.js';

const probe = probes[process.argv[2] ?? ''];
if (probe === undefined) process.exit(2);
const told = await probe();
process.send?.({ measured: told, peakBytes: process.resourceUsage().maxRSS * 1_024 }, () => process.exit(0));
