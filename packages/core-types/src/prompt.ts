/** Hashes: blocks of prompts for the prefix cache, API keys, and digests of JSON values. */
import { createHash } from 'node:crypto';

const blockBytes = 256;
const bytesPerToken = 4;

/**
 * Blocks and tokens of a prompt's text. Each block's hash (24 hex digits) covers all text before it, so that equal
 * hashes mean an equal prefix; what is left after the last whole block has none. Tokens are estimated at four
 * bytes each.
 */
export const prompts = {
  blocks: (prompt: string): string[] => {
    const bytes = Buffer.from(prompt, 'utf8');
    const hashes: string[] = [];
    let parent = '';
    for (let begin = 0; begin + blockBytes <= bytes.length; begin += blockBytes) {
      parent = createHash('sha256')
        .update(parent)
        .update(bytes.subarray(begin, begin + blockBytes))
        .digest('hex')
        .slice(0, 24);
      hashes.push(parent);
    }
    return hashes;
  },
  tokens: (prompt: string): number => Math.ceil(Buffer.byteLength(prompt, 'utf8') / bytesPerToken),
  blockTokens: blockBytes / bytesPerToken,
};

/** API keys are kept as hashes only. */
export const apiKeys = {
  hash: (key: string): string => createHash('sha256').update('martenworks-key:').update(key).digest('hex'),
};

interface NameOrder {
  readonly given: readonly string[];
  readonly sorted: readonly string[];
}

const isGivenIn = (value: object, { given }: NameOrder): boolean => {
  let at = 0;
  for (const name in value) if (name !== given[at++]) return false;
  return at === given.length;
};

/**
 * Rewrites a JSON value so that equal values give equal JSON: each object becomes `{ o: [sorted names, their values in
 * that order] }`. The order of the last object at each depth is kept, as the items of a list mostly have the same
 * names.
 */
const canonical = (value: unknown, orders: NameOrder[], depth: number): unknown => {
  if (value === null || typeof value !== 'object') return value;
  if (Array.isArray(value)) return value.map((item) => canonical(item, orders, depth + 1));
  let order = orders[depth];
  if (order === undefined || !isGivenIn(value, order)) {
    const given = Object.keys(value);
    order = { given, sorted: [...given].sort() };
    orders[depth] = order;
  }
  const fields = value as Record<string, unknown>;
  const rewritten: unknown[] = [order.sorted];
  for (const name of order.sorted) rewritten.push(canonical(fields[name], orders, depth + 1));
  return { o: rewritten };
};

/** Digests of JSON values. */
export const digests = {
  /** 32 hex digits; alike for JSON values that differ only in the order of their objects' names. */
  ofCanonical: (value: unknown): string => digests.of(canonical(value, [], 0)),
  of: (value: unknown): string => createHash('sha256').update(JSON.stringify(value)).digest('hex').slice(0, 32),
};
