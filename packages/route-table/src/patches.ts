import type { BookPatch, Way, WayBook } from '@martenworks/core-types';

const byName = (ways: readonly Way[]): Map<string, Way> => new Map(ways.map((way) => [way.name, way]));

export const patches = {
  between: (from: number, before: WayBook, after: WayBook): BookPatch => {
    const held = byName(before.ways);
    const next = byName(after.ways);
    const { ways, ...rest } = after;
    return {
      from,
      put: ways.filter((way) => {
        const was = held.get(way.name);
        return was === undefined || (was !== way && JSON.stringify(was) !== JSON.stringify(way));
      }),
      gone: [...held.keys()].filter((name) => !next.has(name)),
      rest,
    };
  },
  apply: (held: WayBook, { put, gone, rest }: BookPatch): WayBook => {
    const next = byName(held.ways);
    for (const name of gone) next.delete(name);
    for (const way of put) next.set(way.name, way);
    return { ...rest, ways: [...next.values()] };
  },
  /** Whether the patch is worth sending in place of the book. */
  isSmaller: (patch: BookPatch, book: WayBook): boolean => patch.put.length + patch.gone.length < book.ways.length / 2,
};
