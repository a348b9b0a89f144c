/** The structured log: JSON lines on standard output. */
import './enableLogging.js';
import { ROARR, Roarr } from 'roarr';
import type { Log } from './ports/ports.js';

type Fields = Record<string, unknown>;

const fromRoarr = (roarr: typeof Roarr): Log => ({
  info: (message, context) => roarr.info((context ?? {}) as never, message),
  warn: (message, context) => roarr.warn((context ?? {}) as never, message),
  error: (message, context) => roarr.error((context ?? {}) as never, message),
  child: (context) => fromRoarr(roarr.child(context as never)),
});

/** `named` creates a program's log, with the supplied fields in each line; `silent` one that discards everything. */
export const logs = {
  named: (program: string, fields: Fields): Log => {
    ROARR.write = (line) => void process.stdout.write(`${line}\n`);
    return fromRoarr(Roarr.child({ program, ...fields } as never));
  },
  silent: (): Log => {
    const log: Log = { info: () => {}, warn: () => {}, error: () => {}, child: () => log };
    return log;
  },
};
