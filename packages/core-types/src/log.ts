/** The structured log, JSON lines on standard output. */
import './logSwitch.js';
import { ROARR, Roarr } from 'roarr';
import type { Log } from './ports/ports.js';

type Fields = Record<string, unknown>;

const over = (roarr: typeof Roarr): Log => ({
  info: (message, context) => roarr.info((context ?? {}) as never, message),
  warn: (message, context) => roarr.warn((context ?? {}) as never, message),
  error: (message, context) => roarr.error((context ?? {}) as never, message),
  child: (context) => over(roarr.child(context as never)),
});

/** A program's log, each line with the given fields; and a log that drops everything, for tests. */
export const logs = {
  named: (program: string, fields: Fields): Log => {
    ROARR.write = (line) => void process.stdout.write(`${line}\n`);
    return over(Roarr.child({ program, ...fields } as never));
  },
  silent: (): Log => {
    const log: Log = { info: () => {}, warn: () => {}, error: () => {}, child: () => log };
    return log;
  },
};
