/** How commands end that were called with arguments they cannot take. */

/** The exit code of a command whose arguments cannot be taken. */
const usageExitCode = 2;

/** Writes the message to standard error and ends the process with code 2. */
export const exitWithUsageError = (message: string): never => {
  process.stderr.write(`${message}\n`);
  process.exit(usageExitCode);
};
