/** The clock port of this machine. */
import type { Clock } from './ports.js';

/** Monotonic and wall time in milliseconds, and timers; a negative delay counts as 0. */
export const realClock: Clock = {
  now: () => performance.now(),
  wall: () => Date.now(),
  after: (delayMs, callback) => {
    const timer = setTimeout(callback, Math.max(0, delayMs));
    return { cancel: () => clearTimeout(timer) };
  },
};
