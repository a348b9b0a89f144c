/** Operations on lists of headers, in which names and values alternate as they came (`rawHeaders` of Node). */

/** Headers of one connection (RFC 9110, 7.6.1), and `Expect`, which the ingress server answers itself. */
const hopByHop = new Set([
  'connection',
  'keep-alive',
  'proxy-connection',
  'proxy-authenticate',
  'proxy-authorization',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  'expect',
]);

const find = (headers: readonly string[], wanted: string): string | null => {
  for (let at = 0; at < headers.length; at += 2)
    if (headers[at]?.toLowerCase() === wanted) return headers[at + 1] ?? null;
  return null;
};

/**
 * Lookup and removal of headers; names are compared without regard to case (RFC 9110, 5.1), order and spelling stay.
 */
export const headerLists = {
  find,
  /**
   * Without the headers that concern one connection only (RFC 9110, 7.6.1), those that `Connection` names among them.
   */
  endToEnd: (headers: readonly string[]): string[] => {
    const named = new Set((find(headers, 'connection') ?? '').split(',').map((name) => name.trim().toLowerCase()));
    const kept: string[] = [];
    for (let at = 0; at < headers.length; at += 2) {
      const name = (headers[at] ?? '').toLowerCase();
      if (!hopByHop.has(name) && !named.has(name)) kept.push(headers[at] ?? '', headers[at + 1] ?? '');
    }
    return kept;
  },
  without: (headers: readonly string[], unwanted: ReadonlySet<string>): string[] => {
    const kept: string[] = [];
    for (let at = 0; at < headers.length; at += 2)
      if (!unwanted.has((headers[at] ?? '').toLowerCase())) kept.push(headers[at] ?? '', headers[at + 1] ?? '');
    return kept;
  },
};
