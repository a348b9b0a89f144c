/** Validation of routing tables beyond their schema. */
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { RoutingTable } from '@martenworks/core-types';

/** One error, with the JSON pointer of the faulty entry. */
export interface RoutingTableError {
  readonly path: string;
  readonly message: string;
}

const duplicatesOf = (labels: readonly string[]): { label: string; at: number }[] => {
  const seen = new Set<string>();
  return labels.flatMap((label, at) => {
    if (!seen.has(label)) {
      seen.add(label);
      return [];
    }
    return [{ label, at }];
  });
};

const routeErrorsOf = ({ routes, pools }: RoutingTable): RoutingTableError[] => {
  const poolNames = new Set(pools.map((pool) => pool.name));
  return routes.flatMap((route, at) => {
    const path = `/ways/${at}`;
    const errors: RoutingTableError[] = [];
    if (!route.pathPrefix.startsWith('/') || !route.pathPrefix.endsWith('/'))
      errors.push({ path: `${path}/pathStart`, message: 'must begin and end with a slash' });
    if (!(route.timeoutMs > 0)) errors.push({ path: `${path}/horizonMs`, message: 'must be above 0' });
    if (!(route.maxAttempts >= 1)) errors.push({ path: `${path}/shots`, message: 'must be 1 or more' });
    if (route.shares.some((one) => !(one.share >= 0)) || !(route.shares.reduce((sum, one) => sum + one.share, 0) > 0))
      errors.push({ path: `${path}/shares`, message: 'must be 0 or more and sum to more than 0' });
    for (const { pool } of route.shares)
      if (!poolNames.has(pool)) errors.push({ path: `${path}/shares`, message: `refers to unknown pool ${pool}` });
    return errors;
  });
};

const keyErrorsOf = ({ customers }: RoutingTable): RoutingTableError[] => {
  const customersByKeyHash = new Map<string, string>();
  return (customers ?? []).flatMap((customer, at) =>
    customer.keyHashes.flatMap((hash) => {
      const otherCustomer = customersByKeyHash.get(hash);
      customersByKeyHash.set(hash, customer.name);
      return otherCustomer === undefined || otherCustomer === customer.name
        ? []
        : [{ path: `/customers/${at}`, message: `shares a key with ${otherCustomer}` }];
    }),
  );
};

/**
 * Returns what makes a routing table invalid beyond its schema: unknown pools, two routes with the same host and prefix,
 * shares that sum to 0, no timeout, a key of two customers. Source: PROTOCOL's list of invalid configurations.
 */
const errorsOf = (routingTable: RoutingTable): RoutingTableError[] => [
  ...routeErrorsOf(routingTable),
  ...duplicatesOf(routingTable.routes.map((route) => route.name)).map(({ label, at }) => ({
    path: `/ways/${at}/name`,
    message: `${label} is the name of another route`,
  })),
  ...duplicatesOf(routingTable.routes.map((route) => `${route.host} ${route.pathPrefix}`)).map(({ label, at }) => ({
    path: `/ways/${at}`,
    message: `${label} is the host and path prefix of another route`,
  })),
  ...duplicatesOf([...routingTable.pools, ...routingTable.stores].map((pool) => pool.name)).map(({ label, at }) => ({
    path: `/pools/${at}/name`,
    message: `${label} is the name of another pool`,
  })),
  ...duplicatesOf((routingTable.customers ?? []).map((customer) => customer.name)).map(({ label, at }) => ({
    path: `/customers/${at}/name`,
    message: `${label} is the name of another customer`,
  })),
  ...keyErrorsOf(routingTable),
];

/** Checks a routing table; returns it, or all of its errors. */
export const routingTables = {
  check: (routingTable: RoutingTable): Result<RoutingTable, RoutingTableError[]> => {
    const errors = errorsOf(routingTable);
    return errors.length === 0 ? ok(routingTable) : err(errors);
  },
};
