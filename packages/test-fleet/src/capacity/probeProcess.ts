/** The child process of one probe: `probeProcess NAME` sends the measurements to its parent process and exits. */
import { probes } from './probes.js';
import type { Measurement } from './table.js';

/** The message that the probe process sends: the measurements, and its peak resident memory. */
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
