/**
 * Rendezvous hashing (Thaler and Ravishankar, 1998): each address is assigned to the voter with the highest score for
 * it. When a voter is lost, its addresses are spread over the others and no other address moves.
 */
import { createHash } from 'node:crypto';

const maxCachedScores = 20_000;
const scores = new Map<string, string>();

const scoreOf = (address: string, voter: string): string => {
  const key = `${address}\n${voter}`;
  const cached = scores.get(key);
  if (cached !== undefined) return cached;
  const score = createHash('sha1').update(key).digest('hex');
  if (scores.size > maxCachedScores) scores.clear();
  scores.set(key, score);
  return score;
};

/** Assigns addresses to voters. */
export const rendezvousHashing = {
  /** Whether no voter has a higher score for the address than the node with the incarnation `own`. */
  isAssigned: (address: string, own: string, voters: readonly string[]): boolean =>
    !voters.some((voter) => scoreOf(address, voter) > scoreOf(address, own)),
};
