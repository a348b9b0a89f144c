/** Metrics of this process for the metrics page of a node: event loop delay, CPU time, resident memory. */
import { monitorEventLoopDelay } from 'node:perf_hooks';

const nanosecondsPerMs = 1e6;
const microsecondsPerSecond = 1e6;
const samplingMs = 10;

/** Starts sampling the event loop delay; the returned function reads the current lines of the metrics page. */
export const watchProcessMetrics = (): (() => string[]) => {
  const delay = monitorEventLoopDelay({ resolution: samplingMs });
  delay.enable();
  return () => {
    const { user, system } = process.cpuUsage();
    return [
      `martenworks_event_loop_delay_p50_ms ${(delay.percentile(50) / nanosecondsPerMs).toFixed(2)}`,
      `martenworks_event_loop_delay_p99_ms ${(delay.percentile(99) / nanosecondsPerMs).toFixed(2)}`,
      `martenworks_event_loop_delay_max_ms ${(delay.max / nanosecondsPerMs).toFixed(2)}`,
      `martenworks_cpu_seconds ${((user + system) / microsecondsPerSecond).toFixed(3)}`,
      `martenworks_resident_bytes ${process.memoryUsage.rss()}`,
    ];
  };
};
