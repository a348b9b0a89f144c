/** What a test run prints of whatever a failed test threw. */
import { inspect } from 'node:util';

/** How deep nested values are shown: enough for an error value that wraps another one. */
const shownDepth = 6;

/** The stack of an `Error`; any other thrown value, such as the one of a failed unwrapping, with its fields. */
const of = (cause: unknown): string => {
  const stack = cause instanceof Error ? cause.stack : undefined;
  return stack ?? inspect(cause, { depth: shownDepth });
};

/** The text of a failure. */
export const failureText = { of };
