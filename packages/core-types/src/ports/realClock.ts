/** The clock port over this machine's clocks and timers. */
import type { Clock } from './ports.js';

/** Monotonic and wall time in milliseconds, and timers; a negative delay counts as none. */
export const realClock: Clock = {
  now: () => performance.now(),
  wall: () => Date.now(),
  after: (delayMs, callback) => {
    const timer = setTimeout(callback, Math.max(0, delayMs));
    return { cancel: () => clearTimeout(timer) };
  },
};
