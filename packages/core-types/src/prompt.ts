import { createHash } from 'node:crypto';

export const blockBytes = 256;
export const bytesPerToken = 4;

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

export const keys = {
  hash: (key: string): string => createHash('sha256').update('martenworks-key:').update(key).digest('hex'),
};

/** JSON of `value` with the names of each object in order, so that equal values give equal text. */
const canonicalJson = (value: unknown): string => {
  if (value === null || typeof value !== 'object') return JSON.stringify(value) ?? 'null';
  if (Array.isArray(value)) return `[${value.map(canonicalJson).join()}]`;
  const given = value as Record<string, unknown>;
  const fields = Object.keys(given)
    .sort()
    .filter((name) => given[name] !== undefined)
    .map((name) => `${JSON.stringify(name)}:${canonicalJson(given[name])}`);
  return `{${fields.join()}}`;
};

export const digests = {
  /** 32 hex digits; alike for values that differ only in the order of their objects' names. */
  ofCanonical: (value: unknown): string => createHash('sha256').update(canonicalJson(value)).digest('hex').slice(0, 32),
  of: (value: unknown): string => createHash('sha256').update(JSON.stringify(value)).digest('hex').slice(0, 32),
};
