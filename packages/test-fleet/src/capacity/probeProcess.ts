/** The child process of one probe: `probeProcess NAME` sends the measurements to its parent and ends. */
import { probes } from './probes.js';
import type { Measurement } from './table.js';

/** What the probe's process sends: the measurements, and the most memory that it held. */
export interface ProbeOutcome {
  readonly measured: readonly Measurement[];
  readonly peakBytes: number;
}

const usageExitCode = 2;
const bytesPerKilobyte = 1_024;

const probe = probes.find(({ name }) => name === process.argv[2]);
if (probe === undefined) process.exit(usageExitCode);
const measured = await probe.measure();
const outcome: ProbeOutcome = { measured, peakBytes: process.resourceUsage().maxRSS * bytesPerKilobyte };
process.send?.(outcome, () => process.exit(0));
