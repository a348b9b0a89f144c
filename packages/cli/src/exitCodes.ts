/** Exit codes of the programs, on which service managers and scripts rely. */

/** `failed`: could not start or complete; `invalidSettings`: invalid arguments or settings; `crashed`: uncaught exception. */
export const exitCodes = { success: 0, failed: 1, invalidSettings: 2, crashed: 70 } as const;

/** One of the exit codes. */
export type ExitCode = (typeof exitCodes)[keyof typeof exitCodes];
