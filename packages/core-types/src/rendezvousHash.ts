/**
 * Rendezvous (highest random weight) hashing after Thaler and Ravishankar, "Using Name-Based Mappings to Increase Hit
 * Rates" (1998): all processes that know the same nodes rank them in the same order for a key, without coordination.
 */
import { createHash } from 'node:crypto';

/** How a key and a node's name are hashed; processes that must agree on a ranking use the same options. */
export interface RendezvousHashOptions {
  readonly algorithm: 'sha1' | 'sha256';
  /** Hashed between the key and the node's name. */
  readonly separator: string;
}

/** Ranks nodes for keys. Scores are hexadecimal digests of equal length, compared as text; the highest wins. */
export class RendezvousHash {
  constructor(private readonly options: RendezvousHashOptions) {}

  private readonly score = (key: string, nodeName: string): string =>
    createHash(this.options.algorithm).update(key).update(this.options.separator).update(nodeName).digest('hex');

  /** Returns the nodes in descending order of their scores for the key. */
  readonly ranked = <Node>(key: string, nodes: readonly Node[], nameOf: (node: Node) => string): Node[] =>
    nodes
      .map((node) => ({ node, score: this.score(key, nameOf(node)) }))
      .sort((a, b) => (a.score < b.score ? 1 : -1))
      .map(({ node }) => node);

  /** Returns the name with the highest score for the key, or null where there are no names. */
  readonly highest = (key: string, nodeNames: Iterable<string>): string | null => {
    let winner: string | null = null;
    let highestScore = '';
    for (const name of nodeNames) {
      const score = this.score(key, name);
      if (score <= highestScore) continue;
      highestScore = score;
      winner = name;
    }
    return winner;
  };
}
