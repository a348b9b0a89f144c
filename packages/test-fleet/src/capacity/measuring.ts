/** Clocks and gauges of the probes. */
import type { Meter } from './meteredNet.js';

const usPerMs = 1_000;

/** Processor time of this process so far, in microseconds. */
export const cpuUs = (): number => {
  const { user, system } = process.cpuUsage();
  return user + system;
};

/** Bytes on the heap after a collection; the process must run with `--expose-gc`. */
export const heapBytes = (): number => {
  (globalThis as { gc?: () => void }).gc?.();
  return process.memoryUsage().heapUsed;
};

/** Mean processor time of `work` in microseconds. */
export const meanCpuUs = (times: number, work: (at: number) => void): number => {
  const began = cpuUs();
  for (let at = 0; at < times; at += 1) work(at);
  return (cpuUs() - began) / times;
};

/** Mean processor time of `work` in milliseconds. */
export const meanCpuMs = (times: number, work: (at: number) => void): number => meanCpuUs(times, work) / usPerMs;

/** Resolves after real milliseconds. */
export const sleep = (ms: number): Promise<void> => new Promise((wake) => setTimeout(wake, ms));

/** Waits until the condition holds; false where it did not within `limitMs`. */
export const until = async (isSo: () => boolean, limitMs: number, stepMs = 2): Promise<boolean> => {
  const endAt = performance.now() + limitMs;
  while (!isSo()) {
    if (performance.now() > endAt) return false;
    await sleep(stepMs);
  }
  return true;
};

/** What passed between two readings. */
export interface ResourceUsage {
  readonly cpuUs: number;
  readonly cpuMs: number;
  readonly wallMs: number;
  readonly sentBytes: number;
  readonly receivedBytes: number;
}

/** Reads clock, processor time and the meter, and gives the difference when called. */
export const startMeasurement = (meter: Meter = { sent: 0, received: 0 }): (() => ResourceUsage) => {
  const [beganCpu, sent, got, beganAt] = [cpuUs(), meter.sent, meter.received, performance.now()];
  return () => {
    const spentUs = cpuUs() - beganCpu;
    return {
      cpuUs: spentUs,
      cpuMs: spentUs / usPerMs,
      wallMs: performance.now() - beganAt,
      sentBytes: meter.sent - sent,
      receivedBytes: meter.received - got,
    };
  };
};

/** Runs `work` that many times after `warmUps` runs whose values are thrown away. */
export const repeat = async (
  times: number,
  warmUps: number,
  work: (isMeasured: boolean, at: number) => Promise<void> | void,
): Promise<void> => {
  for (let at = 0; at < warmUps + times; at += 1) await work(at >= warmUps, at);
};

/** Whole numbers from 0 up to `count`. */
export const range = (count: number): number[] => Array.from({ length: count }, (_, at) => at);
