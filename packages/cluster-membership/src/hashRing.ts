/** The consistent hash ring that assigns to each node the nodes that watch its heartbeats. */
import { createHash } from 'node:crypto';

const positions = new Map<string, string>();

const positionOf = (name: string): string => {
  const cached = positions.get(name);
  if (cached !== undefined) return cached;
  const position = createHash('sha256').update(`ring\n${name}`).digest('hex');
  positions.set(name, position);
  return position;
};

/** A node on the ring. */
export interface RingNode {
  readonly name: string;
  readonly zone: string;
}

const watcherCount = 3;

/**
 * `watchersOf` returns the names of three watchers of a node: its successors on the ring, those in other zones first.
 * The loss of a node changes few assignments.
 */
export const hashRing = {
  watchersOf: (name: string, nodes: readonly RingNode[]): string[] => {
    const own = nodes.find((node) => node.name === name);
    const sorted = nodes
      .filter((node) => node.name !== name)
      .map((node) => ({ node, position: positionOf(node.name) }))
      .sort((a, b) => (a.position < b.position ? -1 : 1));
    const start = positionOf(name);
    const successors = [
      ...sorted.filter(({ position }) => position > start),
      ...sorted.filter(({ position }) => position <= start),
    ].map(({ node }) => node);
    const inOtherZones = successors.filter((node) => node.zone !== own?.zone);
    return [...inOtherZones, ...successors.filter((node) => node.zone === own?.zone)]
      .slice(0, watcherCount)
      .map((node) => node.name);
  },
};
