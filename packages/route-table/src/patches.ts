/** Differences between routing tables of routes: made, joined, applied. */
import type { RoutingTablePatch, Customer, ListPatch, RoutingTable } from '@martenworks/core-types';

interface Named {
  readonly name: string;
}

const byName = <T extends Named>(entries: readonly T[]): Map<string, T> =>
  new Map(entries.map((entry) => [entry.name, entry]));

const lists = {
  between: <T extends Named>(before: readonly T[], after: readonly T[]): ListPatch<T> => {
    const held = byName(before);
    const next = byName(after);
    const isChanged = (entry: T): boolean => {
      const was = held.get(entry.name);
      return was === undefined || (was !== entry && JSON.stringify(was) !== JSON.stringify(entry));
    };
    return { put: after.filter(isChanged), gone: [...held.keys()].filter((name) => !next.has(name)) };
  },
  apply: <T extends Named>(held: readonly T[], { put, gone }: ListPatch<T>): T[] => {
    const next = byName(held);
    for (const name of gone) next.delete(name);
    for (const entry of put) next.set(entry.name, entry);
    return [...next.values()];
  },
  joined: <T extends Named>(first: ListPatch<T>, second: ListPatch<T>): ListPatch<T> => {
    const put = byName(first.put);
    for (const name of second.gone) put.delete(name);
    for (const entry of second.put) put.set(entry.name, entry);
    return {
      put: [...put.values()],
      gone: [...new Set([...first.gone, ...second.gone])].filter((name) => !put.has(name)),
    };
  },
};

const customersBetween = (before: RoutingTable, after: RoutingTable): ListPatch<Customer> | null =>
  after.customers === null ? null : lists.between(before.customers ?? [], after.customers);

/** Makes, joins and applies patches. Entries are compared by name and JSON text. */
export const patches = {
  diff: (from: number, before: RoutingTable, after: RoutingTable): RoutingTablePatch => {
    const { routes, customers: _, ...rest } = after;
    return { from, ...lists.between(before.routes, routes), customers: customersBetween(before, after), rest };
  },
  apply: (held: RoutingTable, { put, gone, customers, rest }: RoutingTablePatch): RoutingTable => ({
    ...rest,
    routes: lists.apply(held.routes, { put, gone }),
    customers: customers === null ? null : lists.apply(held.customers ?? [], customers),
  }),
  /** One patch in place of two, of which the second builds on what the first makes. */
  merge: (first: RoutingTablePatch, second: RoutingTablePatch): RoutingTablePatch => ({
    from: first.from,
    ...lists.joined(first, second),
    customers:
      first.customers === null || second.customers === null
        ? second.customers
        : lists.joined(first.customers, second.customers),
    rest: second.rest,
  }),
  /** How many routes and customers the patch names. */
  size: (patch: RoutingTablePatch): number =>
    patch.put.length + patch.gone.length + (patch.customers?.put.length ?? 0) + (patch.customers?.gone.length ?? 0),
  /** Whether the patch is worth sending in place of the whole table. */
  isSmaller: (patch: RoutingTablePatch, routingTable: RoutingTable): boolean =>
    patches.size(patch) < routingTable.routes.length + (routingTable.customers?.length ?? 0),
};
