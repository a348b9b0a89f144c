/** Delays, timeouts and repeating timers on the clock port. */
import type { Clock } from './ports/ports.js';

/**
 * `sleep` resolves after a delay in milliseconds. `withTimeout` resolves with the result of the work, or with what
 * `onTimeout` returns where the work takes longer than the timeout; the work is not stopped.
 */
export const timing = {
  sleep: (clock: Clock, delayMs: number): Promise<void> => new Promise((resolve) => void clock.after(delayMs, resolve)),
  withTimeout: <T>(clock: Clock, timeoutMs: number, work: Promise<T>, onTimeout: () => T): Promise<T> =>
    new Promise((resolve, reject) => {
      const timer = clock.after(timeoutMs, () => resolve(onTimeout()));
      work.then(
        (value) => {
          timer.cancel();
          resolve(value);
        },
        (cause) => {
          timer.cancel();
          reject(cause);
        },
      );
    }),
};

/** Runs a task repeatedly, each time after a new delay in milliseconds; the first run is delayed as well. */
export class RepeatingTimer {
  private timer: { cancel: () => void } | null = null;
  private isStopped = false;

  constructor(
    private readonly clock: Clock,
    private readonly nextDelayMs: () => number,
    private readonly task: () => void,
  ) {
    this.schedule();
  }

  private readonly schedule = (): void => {
    if (this.isStopped) return;
    this.timer = this.clock.after(this.nextDelayMs(), () => {
      this.task();
      this.schedule();
    });
  };

  /** Cancels all further runs. */
  readonly stop = (): void => {
    this.isStopped = true;
    this.timer?.cancel();
  };
}
