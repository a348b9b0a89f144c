/**
 * The text that emulated replicas generate: it depends on the weights, the run and the prompt, so that a checker
 * detects mixed-up responses.
 */
import { createHash } from 'node:crypto';

const digestOf = (text: string): string => createHash('sha256').update(text).digest('hex');
const tokenTextLength = 6;

const tokenText = (digest: string, weights: string, runId: string, at: number): string =>
  `${digestOf(`${weights}|${runId}|${at}|${digest}`).slice(0, tokenTextLength)} `;

const fullText = (prompt: string, weights: string, runId: string, count: number): string => {
  const digest = digestOf(prompt);
  return Array.from({ length: count }, (_, at) => tokenText(digest, weights, runId, at)).join('');
};

/** `digest` hashes the prompt, `tokenText` returns the text of one token, `fullText` the text of all `count` tokens. */
export const generatedText = { digest: digestOf, tokenText, fullText };
