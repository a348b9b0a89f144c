/**
 * Rendezvous hashing (Thaler and Ravishankar, 1998): each address goes to the voter with the highest score for it, so
 * that a lost voter's addresses spread over the others and no other address moves.
 */
import { createHash } from 'node:crypto';

const cachedScores = 20_000;
const scores = new Map<string, string>();

const scoreOf = (address: string, voter: string): string => {
  const label = `${address}\n${voter}`;
  const known = scores.get(label);
  if (known !== undefined) return known;
  const score = createHash('sha1').update(label).digest('hex');
  if (scores.size > cachedScores) scores.clear();
  scores.set(label, score);
  return score;
};

/** Assignment of addresses to voters. */
export const rendezvousHashing = {
  /** Whether no voter has a higher score for the address than the node with the incarnation `own`. */
  isAssigned: (address: string, own: string, voters: readonly string[]): boolean =>
    !voters.some((voter) => scoreOf(address, voter) > scoreOf(address, own)),
};
