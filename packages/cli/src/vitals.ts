import { monitorEventLoopDelay } from 'node:perf_hooks';

const nanosPerMs = 1e6;

export const watchVitals = (): (() => string[]) => {
  const delay = monitorEventLoopDelay({ resolution: 10 });
  delay.enable();
  return () => {
    const { user, system } = process.cpuUsage();
    const lines = [
      `martenworks_event_loop_delay_p50_ms ${(delay.percentile(50) / nanosPerMs).toFixed(2)}`,
      `martenworks_event_loop_delay_p99_ms ${(delay.percentile(99) / nanosPerMs).toFixed(2)}`,
      `martenworks_event_loop_delay_max_ms ${(delay.max / nanosPerMs).toFixed(2)}`,
      `martenworks_cpu_seconds ${((user + system) / 1e6).toFixed(3)}`,
      `martenworks_resident_bytes ${process.memoryUsage.rss()}`,
    ];
    return lines;
  };
};
