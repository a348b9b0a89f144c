/** Lookup of routes, customers and pools in the active routing table. */
import { DenseIndex } from '@martenworks/core-types';
import type { Customer, Route, RoutingTable, ReplicaPool } from '@martenworks/core-types';

/** A route with its stable index, and whether a request that may have run can be sent again. */
export interface RouteView {
  readonly index: number;
  readonly route: Route;
  readonly isRetryable: boolean;
}

/**
 * A routing table indexed for lookup. Routes match by host, ignoring port and case, and by the longest path prefix.
 */
export interface RoutingTableView {
  readonly routingTable: RoutingTable;
  readonly configVersion: number;
  readonly requiresApiKey: boolean;
  readonly match: (host: string, path: string) => RouteView | null;
  readonly customerOf: (keyHash: string) => Customer | null;
  readonly pool: (name: string) => ReplicaPool | null;
}

const hostNameOf = (host: string): string => host.toLowerCase().replace(/:\d+$/, '');

/** Indexes routing tables; a route name keeps its index across versions. */
export class RoutingTableIndexer {
  private readonly routeNames = new DenseIndex();

  /** Returns the indexed form of one version; the cost grows with its routes and key hashes. */
  readonly view = (configVersion: number, routingTable: RoutingTable): RoutingTableView => {
    const byHost = new Map<string, RouteView[]>();
    for (const route of routingTable.routes) {
      const host = hostNameOf(route.host);
      const views = byHost.get(host) ?? [];
      views.push({
        index: this.routeNames.indexOf(route.name),
        route,
        isRetryable: route.kind === 'repeatable' || (route.kind === 'stream' && route.isResumable),
      });
      byHost.set(host, views);
    }
    for (const views of byHost.values()) views.sort((a, b) => b.route.pathPrefix.length - a.route.pathPrefix.length);
    const customersByKeyHash = new Map<string, Customer>();
    for (const customer of routingTable.customers ?? [])
      for (const hash of customer.keyHashes) customersByKeyHash.set(hash, customer);
    const pools = new Map(routingTable.pools.map((pool) => [pool.name, pool]));
    return {
      routingTable,
      configVersion,
      requiresApiKey: routingTable.customers !== null,
      match: (host, path) =>
        byHost.get(hostNameOf(host))?.find((view) => path.startsWith(view.route.pathPrefix)) ?? null,
      customerOf: (keyHash) => customersByKeyHash.get(keyHash) ?? null,
      pool: (name) => pools.get(name) ?? null,
    };
  };
}

/** Picks a pool in proportion to the traffic shares of a route; `fraction` is a random number in [0, 1). */
export const shares = {
  draw: (route: Route, fraction: number): string => {
    const total = route.shares.reduce((sum, weighted) => sum + weighted.share, 0);
    let remaining = fraction * total;
    for (const { pool, share } of route.shares) {
      if (share <= 0) continue;
      remaining -= share;
      if (remaining < 0) return pool;
    }
    return route.shares.findLast((weighted) => weighted.share > 0)?.pool ?? '';
  },
};
