/** The ring of nodes, by consistent hashing, that tells which nodes watch which. */
import { createHash } from 'node:crypto';

const positions = new Map<string, string>();

const positionOf = (name: string): string => {
  const known = positions.get(name);
  if (known !== undefined) return known;
  const found = createHash('sha256').update(`ring\n${name}`).digest('hex');
  positions.set(name, found);
  return found;
};

/** A node as the ring knows it. */
export interface RingNode {
  readonly name: string;
  readonly zone: string;
}

const watcherCount = 3;

/**
 * `watchersOf` names the three nodes that follow a node on the ring, those of other zones first; any loss moves few of
 * them.
 */
export const hashRing = {
  watchersOf: (name: string, nodes: readonly RingNode[]): string[] => {
    const own = nodes.find((node) => node.name === name);
    const sorted = nodes
      .filter((node) => node.name !== name)
      .map((node) => ({ node, at: positionOf(node.name) }))
      .sort((a, b) => (a.at < b.at ? -1 : 1));
    const start = positionOf(name);
    const after = [...sorted.filter(({ at }) => at > start), ...sorted.filter(({ at }) => at <= start)].map(
      ({ node }) => node,
    );
    const elsewhere = after.filter((node) => node.zone !== own?.zone);
    return [...elsewhere, ...after.filter((node) => node.zone === own?.zone)]
      .slice(0, watcherCount)
      .map((node) => node.name);
  },
};
