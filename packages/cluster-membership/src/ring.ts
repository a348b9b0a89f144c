import { createHash } from 'node:crypto';

const places = new Map<string, string>();

const place = (name: string): string => {
  const held = places.get(name);
  if (held !== undefined) return held;
  const found = createHash('sha256').update(`ring\n${name}`).digest('hex');
  places.set(name, found);
  return found;
};

export interface RingNode {
  readonly name: string;
  readonly zone: string;
}

const watcherCount = 3;

export const ring = {
  watchersOf: (name: string, nodes: readonly RingNode[]): string[] => {
    const own = nodes.find((node) => node.name === name);
    const sorted = nodes
      .filter((node) => node.name !== name)
      .map((node) => ({ node, at: place(node.name) }))
      .sort((a, b) => (a.at < b.at ? -1 : 1));
    const start = place(name);
    const after = [...sorted.filter(({ at }) => at > start), ...sorted.filter(({ at }) => at <= start)].map(
      ({ node }) => node,
    );
    const elsewhere = after.filter((node) => node.zone !== own?.zone);
    return [...elsewhere, ...after.filter((node) => node.zone === own?.zone)]
      .slice(0, watcherCount)
      .map((node) => node.name);
  },
};
