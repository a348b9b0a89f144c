/** Logs an uncaught exception and exits the process. */
import { BackgroundTaskError } from './background.js';
import type { Log } from './ports/ports.js';

/** The fields of the log line for an uncaught exception. */
interface UncaughtReport extends Record<string, unknown> {
  /** `BACKGROUND_TASK_FAILED` for rejected background work, `UNCAUGHT_EXCEPTION` for anything else. */
  readonly code: string;
  /** The description of the background work; null for anything else. */
  readonly task: string | null;
  /** The stack of the original error, or its text where it has none. */
  readonly cause: string;
}

const stackOf = (reason: unknown): string => String(reason instanceof Error ? (reason.stack ?? reason) : reason);

/** Describes an uncaught exception for the log; background work is reported with its task and original error. */
const report = (failure: unknown): UncaughtReport =>
  failure instanceof BackgroundTaskError
    ? { code: failure.code, task: failure.task, cause: stackOf(failure.cause) }
    : { code: 'UNCAUGHT_EXCEPTION', task: null, cause: stackOf(failure) };

/**
 * Exits the process with `exitCode` on the first uncaught exception: an invariant is broken, and a restart from the
 * data on disk is safer than continuing. Node reports unhandled rejections by the same event.
 */
const installHandler = (log: Log, exitCode: number): void => {
  process.on('uncaughtException', (failure) => {
    log.error('invariant violated', report(failure));
    process.exit(exitCode);
  });
};

/** Handles uncaught exceptions. */
export const uncaughtExceptions = { report, installHandler };
