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

export const digests = {
  of: (value: unknown): string => createHash('sha256').update(JSON.stringify(value)).digest('hex').slice(0, 32),
};
