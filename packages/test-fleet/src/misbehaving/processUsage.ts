/** Memory and descriptors of a running process, from the proc file system of Linux (proc_pid_status(5)). */
import { readFileSync, readdirSync } from 'node:fs';

const kilobytesPerMb = 1_024;

/** What a process uses; peaks are those since its start. */
export interface ProcessUsage {
  /** Peak resident memory, in MiB. */
  readonly peakMemoryMb: number;
  /** Descriptors that are open now. */
  readonly openFiles: number;
}

const peakMemoryMbOf = (status: string): number =>
  Number(/^VmHWM:\s+(\d+) kB$/m.exec(status)?.[1] ?? Number.NaN) / kilobytesPerMb;

/** Reads the usage of a process; null once it has ended. */
export const processUsageOf = (pid: number): ProcessUsage | null => {
  try {
    const peakMemoryMb = peakMemoryMbOf(readFileSync(`/proc/${pid}/status`, 'utf8'));
    if (Number.isNaN(peakMemoryMb)) return null;
    return { peakMemoryMb, openFiles: readdirSync(`/proc/${pid}/fd`).length };
  } catch {
    return null;
  }
};
