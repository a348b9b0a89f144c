/** The error codes of the operating system. */

/** Returns the `code` of a system error (`ECONNREFUSED`, `ENOSPC`), or `UNKNOWN` where it has none. */
export const systemErrorCode = (cause: unknown): string => (cause as { code?: string } | null)?.code ?? 'UNKNOWN';
