/** The code that Node.js gives an error of the operating system. */

/** The `code` of a system error (`ECONNREFUSED`, `ENOSPC`), and `UNKNOWN` where it has none. */
export const systemErrorCode = (cause: unknown): string => (cause as { code?: string } | null)?.code ?? 'UNKNOWN';
