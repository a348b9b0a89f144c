/** Virtual time of a schedule. */
import type { Timer } from '@martenworks/core-types';

interface ScheduledTimer {
  readonly at: number;
  readonly sequence: number;
  readonly callback: () => void;
}

/** The clock of one schedule, in milliseconds. Time advances only when the scheduler advances it. */
export class VirtualClock {
  private timers: ScheduledTimer[] = [];
  private timerCount = 0;
  private time = 1_000;

  /** The time in milliseconds. */
  readonly now = (): number => this.time;

  /** Calls `callback` once, no earlier than `delayMs` from now. Timers due at the same time fire in the order they were set. */
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

  /** Advances to the next timer and fires it; returns false if none is due by `until`. */
  readonly fireNext = (until = Number.POSITIVE_INFINITY): boolean => {
    const timer = this.next();
    if (timer === undefined || timer.at > until) return false;
    this.remove(timer);
    this.time = Math.max(this.time, timer.at);
    timer.callback();
    return true;
  };

  /** Advances the time without firing timers. For the end of a step that has fired all timers due by `time`. */
  readonly advanceTo = (time: number): void => {
    this.time = Math.max(this.time, time);
  };
}
