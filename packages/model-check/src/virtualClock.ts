/** The clock of a schedule. */
import type { Timer } from '@martenworks/core-types';

interface ScheduledTimer {
  readonly at: number;
  readonly sequence: number;
  readonly callback: () => void;
}

/** Time of one schedule in milliseconds. It stands still until the scheduler moves it on. */
export class VirtualClock {
  private timers: ScheduledTimer[] = [];
  private timerCount = 0;
  private time = 1_000;

  /** The time in milliseconds. */
  readonly now = (): number => this.time;

  /**
   * Rings once, `delayMs` milliseconds from now at the earliest; timers of equal time ring in the order they were set.
   */
  readonly after = (delayMs: number, callback: () => void): Timer => {
    const timer: ScheduledTimer = { at: this.time + Math.max(0, delayMs), sequence: ++this.timerCount, callback };
    this.timers.push(timer);
    return { cancel: () => this.remove(timer) };
  };

  private readonly remove = (timer: ScheduledTimer): void => {
    this.timers = this.timers.filter((one) => one !== timer);
  };

  private readonly next = (): ScheduledTimer | undefined => {
    let first: ScheduledTimer | undefined;
    for (const timer of this.timers)
      if (first === undefined || timer.at < first.at || (timer.at === first.at && timer.sequence < first.sequence))
        first = timer;
    return first;
  };

  /** Whether any timer is set. */
  readonly hasTimers = (): boolean => this.timers.length > 0;

  /** Moves to the next timer and rings it; false where none is set, or none is due by `until`. */
  readonly fireNext = (until = Number.POSITIVE_INFINITY): boolean => {
    const timer = this.next();
    if (timer === undefined || timer.at > until) return false;
    this.remove(timer);
    this.time = Math.max(this.time, timer.at);
    timer.callback();
    return true;
  };

  /** Sets the time without ringing anything; only for the end of a step that rang all that was due. */
  readonly advanceTo = (time: number): void => {
    this.time = Math.max(this.time, time);
  };
}
