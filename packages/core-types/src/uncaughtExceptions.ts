/** Ends a role on an exception that nobody caught, after one report to the log. */
import { BackgroundTaskError } from './background.js';
import type { Log } from './ports/ports.js';

/** The fields of the log line for an uncaught exception. */
interface UncaughtReport extends Record<string, unknown> {
  /** `BACKGROUND_TASK_FAILED` for rejected background work, `UNCAUGHT_EXCEPTION` for anything else. */
  readonly code: string;
  /** What the background work was for; null for anything else. */
  readonly task: string | null;
  /** The stack of the original failure, or its text where it has none. */
  readonly cause: string;
}

const stackOf = (reason: unknown): string => String(reason instanceof Error ? (reason.stack ?? reason) : reason);

/** Describes an uncaught exception for the log; background work is named by its task and its original failure. */
const report = (failure: unknown): UncaughtReport =>
  failure instanceof BackgroundTaskError
    ? { code: failure.code, task: failure.task, cause: stackOf(failure.cause) }
    : { code: 'UNCAUGHT_EXCEPTION', task: null, cause: stackOf(failure) };

/**
 * Ends the process with `exitCode` on the first uncaught exception: an invariant broke, and a restart from what is on
 * disk is safer than going on. Node hands rejections that nobody handles to the same event.
 */
const installHandler = (log: Log, exitCode: number): void => {
  process.on('uncaughtException', (failure) => {
    log.error('invariant violated', report(failure));
    process.exit(exitCode);
  });
};

/** What becomes of an exception that nobody caught. */
export const uncaughtExceptions = { report, installHandler };
