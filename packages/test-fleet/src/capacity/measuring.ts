/** Timers and resource measurements of the probes. */
import type { Meter } from './meteredNet.js';

const usPerMs = 1_000;

/** Returns the CPU time of this process so far, in microseconds. */
export const cpuUs = (): number => {
  const { user, system } = process.cpuUsage();
  return user + system;
};

/** Returns the used bytes of the heap after a garbage collection; needs `--expose-gc`. */
export const heapBytes = (): number => {
  (globalThis as { gc?: () => void }).gc?.();
  return process.memoryUsage().heapUsed;
};

/** Returns the mean CPU time of `work` in microseconds. */
export const meanCpuUs = (times: number, work: (at: number) => void): number => {
  const startUs = cpuUs();
  for (let at = 0; at < times; at += 1) work(at);
  return (cpuUs() - startUs) / times;
};

/** Returns the mean CPU time of `work` in milliseconds. */
export const meanCpuMs = (times: number, work: (at: number) => void): number => meanCpuUs(times, work) / usPerMs;

/** Resolves after `ms` milliseconds of wall-clock time. */
export const sleep = (ms: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, ms));

/** Waits until the condition holds; resolves to false if it does not within `timeoutMs`. */
export const until = async (condition: () => boolean, timeoutMs: number, pollMs = 2): Promise<boolean> => {
  const endAt = performance.now() + timeoutMs;
  while (!condition()) {
    if (performance.now() > endAt) return false;
    await sleep(pollMs);
  }
  return true;
};

/** Resources used between the start of a measurement and its end. */
export interface ResourceUsage {
  readonly cpuUs: number;
  readonly cpuMs: number;
  readonly wallMs: number;
  readonly sentBytes: number;
  readonly receivedBytes: number;
}

/** Starts a measurement; the returned function gives the resources used since then. */
export const startMeasurement = (meter: Meter = { sent: 0, received: 0 }): (() => ResourceUsage) => {
  const [startCpuUs, sentBefore, receivedBefore, startedAt] = [cpuUs(), meter.sent, meter.received, performance.now()];
  return () => {
    const usedUs = cpuUs() - startCpuUs;
    return {
      cpuUs: usedUs,
      cpuMs: usedUs / usPerMs,
      wallMs: performance.now() - startedAt,
      sentBytes: meter.sent - sentBefore,
      receivedBytes: meter.received - receivedBefore,
    };
  };
};

/** Runs `work` `warmUps` times with `isMeasured` false, then `times` times with it true. */
export const repeat = async (
  times: number,
  warmUps: number,
  work: (isMeasured: boolean, at: number) => Promise<void> | void,
): Promise<void> => {
  for (let at = 0; at < warmUps + times; at += 1) await work(at >= warmUps, at);
};

/** Returns the integers from 0 to `count` - 1. */
export const range = (count: number): number[] => Array.from({ length: count }, (_, at) => at);
