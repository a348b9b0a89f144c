import type { Clock } from './ports.js';

export const pause = {
  for: (clock: Clock, delayMs: number): Promise<void> => new Promise((wake) => void clock.after(delayMs, wake)),
  within: <T>(clock: Clock, delayMs: number, work: Promise<T>, late: () => T): Promise<T> =>
    new Promise((settle, fail) => {
      const clockEvent = clock.after(delayMs, () => settle(late()));
      work.then(
        (value) => {
          clockEvent.cancel();
          settle(value);
        },
        (cause) => {
          clockEvent.cancel();
          fail(cause);
        },
      );
    }),
};

export class Repeating {
  private clockEvent: { cancel: () => void } | null = null;
  private isStopped = false;

  constructor(
    private readonly clock: Clock,
    private readonly everyMs: () => number,
    private readonly beat: () => void,
  ) {
    this.plan();
  }

  private readonly plan = (): void => {
    if (this.isStopped) return;
    this.clockEvent = this.clock.after(this.everyMs(), () => {
      this.beat();
      this.plan();
    });
  };

  readonly stop = (): void => {
    this.isStopped = true;
    this.clockEvent?.cancel();
  };
}
