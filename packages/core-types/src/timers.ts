/** Waiting on the clock port. */
import type { Clock } from './ports/ports.js';

/**
 * `sleep` waits for some milliseconds; `withTimeout` gives what `late` returns where the work takes longer than that, and
 * does not stop the work.
 */
export const timing = {
  sleep: (clock: Clock, delayMs: number): Promise<void> => new Promise((wake) => void clock.after(delayMs, wake)),
  withTimeout: <T>(clock: Clock, delayMs: number, work: Promise<T>, late: () => T): Promise<T> =>
    new Promise((resolve, fail) => {
      const timer = clock.after(delayMs, () => resolve(late()));
      work.then(
        (value) => {
          timer.cancel();
          resolve(value);
        },
        (cause) => {
          timer.cancel();
          fail(cause);
        },
      );
    }),
};

/** Runs a task again and again, with a new delay in milliseconds each time; not at once. */
export class RepeatingTimer {
  private timer: { cancel: () => void } | null = null;
  private isStopped = false;

  constructor(
    private readonly clock: Clock,
    private readonly everyMs: () => number,
    private readonly task: () => void,
  ) {
    this.plan();
  }

  private readonly plan = (): void => {
    if (this.isStopped) return;
    this.timer = this.clock.after(this.everyMs(), () => {
      this.task();
      this.plan();
    });
  };

  /** Runs the task no more. */
  readonly stop = (): void => {
    this.isStopped = true;
    this.timer?.cancel();
  };
}
