/** Ends a command that was called with invalid arguments. */

/** The exit code for invalid arguments. */
const usageExitCode = 2;

/** Writes the message to standard error and exits with code 2. */
export const exitWithUsageError = (message: string): never => {
  process.stderr.write(`${message}\n`);
  process.exit(usageExitCode);
};
