/** Differences between routing tables. */
import type { RoutingTablePatch, Customer, ListPatch, RoutingTable } from '@martenworks/core-types';

interface Named {
  readonly name: string;
}

const byName = <T extends Named>(entries: readonly T[]): Map<string, T> =>
  new Map(entries.map((entry) => [entry.name, entry]));

const listPatches = {
  diff: <T extends Named>(before: readonly T[], after: readonly T[]): ListPatch<T> => {
    const previous = byName(before);
    const next = byName(after);
    const isChanged = (entry: T): boolean => {
      const old = previous.get(entry.name);
      return old === undefined || (old !== entry && JSON.stringify(old) !== JSON.stringify(entry));
    };
    return { put: after.filter(isChanged), gone: [...previous.keys()].filter((name) => !next.has(name)) };
  },
  apply: <T extends Named>(entries: readonly T[], { put, gone }: ListPatch<T>): T[] => {
    const next = byName(entries);
    for (const name of gone) next.delete(name);
    for (const entry of put) next.set(entry.name, entry);
    return [...next.values()];
  },
  merge: <T extends Named>(first: ListPatch<T>, second: ListPatch<T>): ListPatch<T> => {
    const put = byName(first.put);
    for (const name of second.gone) put.delete(name);
    for (const entry of second.put) put.set(entry.name, entry);
    return {
      put: [...put.values()],
      gone: [...new Set([...first.gone, ...second.gone])].filter((name) => !put.has(name)),
    };
  },
};

const diffCustomers = (before: RoutingTable, after: RoutingTable): ListPatch<Customer> | null =>
  after.customers === null ? null : listPatches.diff(before.customers ?? [], after.customers);

/** Computes, merges and applies patches. Entries are matched by name and compared by their JSON text. */
export const patches = {
  diff: (from: number, before: RoutingTable, after: RoutingTable): RoutingTablePatch => {
    const { routes, customers: _, ...rest } = after;
    return { from, ...listPatches.diff(before.routes, routes), customers: diffCustomers(before, after), rest };
  },
  apply: (base: RoutingTable, { put, gone, customers, rest }: RoutingTablePatch): RoutingTable => ({
    ...rest,
    routes: listPatches.apply(base.routes, { put, gone }),
    customers: customers === null ? null : listPatches.apply(base.customers ?? [], customers),
  }),
  /** Merges two patches, of which the second is based on the result of the first. */
  merge: (first: RoutingTablePatch, second: RoutingTablePatch): RoutingTablePatch => ({
    from: first.from,
    ...listPatches.merge(first, second),
    customers:
      first.customers === null || second.customers === null
        ? second.customers
        : listPatches.merge(first.customers, second.customers),
    rest: second.rest,
  }),
  /** Returns the number of routes and customers that the patch changes. */
  size: (patch: RoutingTablePatch): number =>
    patch.put.length + patch.gone.length + (patch.customers?.put.length ?? 0) + (patch.customers?.gone.length ?? 0),
  /** Whether the patch has fewer entries than the full table. */
  isSmaller: (patch: RoutingTablePatch, routingTable: RoutingTable): boolean =>
    patches.size(patch) < routingTable.routes.length + (routingTable.customers?.length ?? 0),
};
