/** The random port over the generators of Node.js. */
import { randomBytes } from 'node:crypto';
import type { Random } from './ports.js';

/** Fractions from `Math.random`, and tokens in hexadecimal from the cryptographic generator. */
export const realRandom: Random = {
  fraction: () => Math.random(),
  token: (byteCount) => randomBytes(byteCount).toString('hex'),
};
