/** Reads a command's arguments. */

/** What `parse` returns; null, with the cause on stderr, when it finds an argument that the command does not know. */
export const parseCommandArgs = <T>(parse: () => T): T | null => {
  try {
    return parse();
  } catch (cause) {
    process.stderr.write(`${String((cause as Error).message)}\n`);
    return null;
  }
};
