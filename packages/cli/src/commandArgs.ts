/** Parsing of command arguments. */

/** Returns the result of `parse`; if it throws on an unknown argument, prints the error to stderr and returns null. */
export const parseCommandArgs = <T>(parse: () => T): T | null => {
  try {
    return parse();
  } catch (cause) {
    process.stderr.write(`${String((cause as Error).message)}\n`);
    return null;
  }
};
