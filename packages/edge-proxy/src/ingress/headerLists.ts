/** Operations on header lists, in which names and values alternate in the order received (`rawHeaders` in Node). */

/** Hop-by-hop headers (RFC 9110, section 7.6.1), and `Expect`, which the ingress server answers itself. */
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
 * Lookup and removal of headers. Names are compared case-insensitively (RFC 9110, section 5.1); order and spelling are
 * preserved.
 */
export const headerLists = {
  find,
  /** The list without hop-by-hop headers (RFC 9110, section 7.6.1), including those that `Connection` names. */
  endToEnd: (headers: readonly string[]): string[] => {
    const named = new Set((find(headers, 'connection') ?? '').split(',').map((name) => name.trim().toLowerCase()));
    const remaining: string[] = [];
    for (let at = 0; at < headers.length; at += 2) {
      const name = (headers[at] ?? '').toLowerCase();
      if (!hopByHop.has(name) && !named.has(name)) remaining.push(headers[at] ?? '', headers[at + 1] ?? '');
    }
    return remaining;
  },
  without: (headers: readonly string[], unwanted: ReadonlySet<string>): string[] => {
    const remaining: string[] = [];
    for (let at = 0; at < headers.length; at += 2)
      if (!unwanted.has((headers[at] ?? '').toLowerCase())) remaining.push(headers[at] ?? '', headers[at + 1] ?? '');
    return remaining;
  },
};
