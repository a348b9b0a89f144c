/** Validity of routing tables beyond their shape. */
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { RoutingTable } from '@martenworks/core-types';

/** One error with the JSON pointer of the entry that has it. */
export interface RoutingTableError {
  readonly path: string;
  readonly message: string;
}

const repeated = (labels: readonly string[]): { label: string; at: number }[] => {
  const seen = new Set<string>();
  return labels.flatMap((label, at) => {
    if (!seen.has(label)) {
      seen.add(label);
      return [];
    }
    return [{ label, at }];
  });
};

const routingErrorsOf = ({ routes, pools }: RoutingTable): RoutingTableError[] => {
  const known = new Set(pools.map((pool) => pool.name));
  return routes.flatMap((route, at) => {
    const path = `/ways/${at}`;
    const faults: RoutingTableError[] = [];
    if (!route.pathPrefix.startsWith('/') || !route.pathPrefix.endsWith('/'))
      faults.push({ path: `${path}/pathStart`, message: 'must begin and end with a slash' });
    if (!(route.timeoutMs > 0)) faults.push({ path: `${path}/horizonMs`, message: 'must be above 0' });
    if (!(route.maxAttempts >= 1)) faults.push({ path: `${path}/shots`, message: 'must be 1 or more' });
    if (route.shares.some((one) => !(one.share >= 0)) || !(route.shares.reduce((sum, one) => sum + one.share, 0) > 0))
      faults.push({ path: `${path}/shares`, message: 'must hold weights that sum to more than 0' });
    for (const { pool } of route.shares)
      if (!known.has(pool)) faults.push({ path: `${path}/shares`, message: `names the absent pool ${pool}` });
    return faults;
  });
};

const keyFaults = ({ customers }: RoutingTable): RoutingTableError[] => {
  const holders = new Map<string, string>();
  return (customers ?? []).flatMap((customer, at) =>
    customer.keyHashes.flatMap((hash) => {
      const holder = holders.get(hash);
      holders.set(hash, customer.name);
      return holder === undefined || holder === customer.name
        ? []
        : [{ path: `/customers/${at}`, message: `shares a key with ${holder}` }];
    }),
  );
};

/**
 * What makes a routing table invalid beyond its shape: absent pools, two routes with one host and prefix, shares that
 * sum to 0, no deadline, shared keys. Source: PROTOCOL's list of invalid configurations, in the product's terms.
 */
const faultsOf = (routingTable: RoutingTable): RoutingTableError[] => [
  ...routingErrorsOf(routingTable),
  ...repeated(routingTable.routes.map((route) => route.name)).map(({ label, at }) => ({
    path: `/ways/${at}/name`,
    message: `${label} is the name of another way`,
  })),
  ...repeated(routingTable.routes.map((route) => `${route.host} ${route.pathPrefix}`)).map(({ label, at }) => ({
    path: `/ways/${at}`,
    message: `${label} is the place of another way`,
  })),
  ...repeated([...routingTable.pools, ...routingTable.stores].map((pool) => pool.name)).map(({ label, at }) => ({
    path: `/pools/${at}/name`,
    message: `${label} is the name of another pool`,
  })),
  ...repeated((routingTable.customers ?? []).map((customer) => customer.name)).map(({ label, at }) => ({
    path: `/customers/${at}/name`,
    message: `${label} is the name of another customer`,
  })),
  ...keyFaults(routingTable),
];

/** Checks a routing table and returns it, or all errors that it has. */
export const routingTables = {
  check: (routingTable: RoutingTable): Result<RoutingTable, RoutingTableError[]> => {
    const faults = faultsOf(routingTable);
    return faults.length === 0 ? ok(routingTable) : err(faults);
  },
};
