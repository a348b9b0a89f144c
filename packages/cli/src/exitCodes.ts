/** Exit codes of the programs; service managers and scripts act on them. */

/** `failed`: could not start or carry out; `invalidSettings`: wrong words, flags or settings; `crashed`: a fault of the program. */
export const exitCodes = { success: 0, failed: 1, invalidSettings: 2, crashed: 70 } as const;

/** One of the codes. */
export type ExitCode = (typeof exitCodes)[keyof typeof exitCodes];
