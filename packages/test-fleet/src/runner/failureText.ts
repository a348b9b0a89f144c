/** Formats the value that a failed test threw. */
import { inspect } from 'node:util';

/** Nesting depth shown of a thrown value: enough for an error that wraps another one. */
const inspectDepth = 6;

/** Returns the stack of an `Error`, or the fields of any other value, such as that of a failed `_unsafeUnwrap`. */
const of = (cause: unknown): string => {
  const stack = cause instanceof Error ? cause.stack : undefined;
  return stack ?? inspect(cause, { depth: inspectDepth });
};

/** `of` formats a thrown value. */
export const failureText = { of };
