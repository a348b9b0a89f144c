import type { Clock } from './ports/ports.js';

export const pause = {
  for: (clock: Clock, delayMs: number): Promise<void> => new Promise((wake) => void clock.after(delayMs, wake)),
  within: <T>(clock: Clock, delayMs: number, work: Promise<T>, late: () => T): Promise<T> =>
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

  readonly stop = (): void => {
    this.isStopped = true;
    this.timer?.cancel();
  };
}
