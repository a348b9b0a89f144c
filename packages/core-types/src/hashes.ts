/** Hashes of prompt blocks for the prefix cache, of API keys and of JSON values. */
import { createHash } from 'node:crypto';

const blockBytes = 256;
const bytesPerToken = 4;

/**
 * Splits a prompt into blocks of 256 bytes and estimates its tokens. The hash of a block (24 hex digits) covers all
 * text up to its end, so that equal hashes mean an equal prefix; a partial block at the end has no hash. A token counts
 * as four bytes.
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

/** Hashes API keys, which are stored as hashes only. */
export const apiKeys = {
  hash: (key: string): string => createHash('sha256').update('martenworks-key:').update(key).digest('hex'),
};

interface NameOrder {
  readonly original: readonly string[];
  readonly sorted: readonly string[];
}

const hasNamesInOrder = (value: object, { original }: NameOrder): boolean => {
  let index = 0;
  for (const name in value) if (name !== original[index++]) return false;
  return index === original.length;
};

/**
 * Rewrites a JSON value so that equal values give equal JSON: each object becomes `{ o: [sorted names, their values in
 * that order] }`. The sorted names of the last object at each depth are cached, since the items of a list usually have
 * the same names.
 */
const canonical = (value: unknown, orders: NameOrder[], depth: number): unknown => {
  if (value === null || typeof value !== 'object') return value;
  if (Array.isArray(value)) return value.map((item) => canonical(item, orders, depth + 1));
  let order = orders[depth];
  if (order === undefined || !hasNamesInOrder(value, order)) {
    const original = Object.keys(value);
    order = { original, sorted: [...original].sort() };
    orders[depth] = order;
  }
  const fields = value as Record<string, unknown>;
  const rewritten: unknown[] = [order.sorted];
  for (const name of order.sorted) rewritten.push(canonical(fields[name], orders, depth + 1));
  return { o: rewritten };
};

/** Computes digests of JSON values. */
export const digests = {
  /** 32 hex digits; equal for JSON values that differ only in the order of property names. */
  ofCanonical: (value: unknown): string => digests.of(canonical(value, [], 0)),
  of: (value: unknown): string => createHash('sha256').update(JSON.stringify(value)).digest('hex').slice(0, 32),
};
