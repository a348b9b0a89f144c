import { expect } from 'chai';
import type { Route, RoutingTable } from '@martenworks/core-types';
import { RoutingTableIndexer, routingTables, patches, salts, shares } from '@martenworks/route-table';

const route = (overrides: Partial<Route> = {}): Route => ({
  name: 'w',
  host: 'a.example',
  pathPrefix: '/x/',
  kind: 'stream',
  timeoutMs: 1_000,
  latencyTargetMs: 300,
  rank: 0,
  shares: [{ pool: 'p', share: 1 }],
  maxAttempts: 1,
  isPublic: false,
  isResumable: false,
  maxEventGapMs: 250,
  ...overrides,
});

const routingTable = (overrides: Partial<RoutingTable> = {}): RoutingTable => ({
  routes: [route()],
  pools: [{ name: 'p', connectionLimit: null, engine: null }],
  stores: [],
  customers: [{ name: 'north', keyHashes: ['k1'], rank: null, isIsolated: false }],
  limits: { headerBytes: 1, bodyBytes: 1, headerMs: 1, idleMs: 1 },
  ...overrides,
});

const errorPathsOf = (table: RoutingTable): string[] =>
  routingTables.check(table).match(
    () => [],
    (errors) => errors.map((error) => error.path),
  );

describe('routing tables', () => {
  it('given a valid routing table, when it is checked, then there are no errors', () => {
    expect(errorPathsOf(routingTable())).to.deep.equal([]);
  });

  const invalidTables: [string, RoutingTable, string][] = [
    [
      'a route to an unknown pool',
      routingTable({ routes: [route({ shares: [{ pool: 'q', share: 1 }] })] }),
      '/ways/0/shares',
    ],
    [
      'shares that sum to 0',
      routingTable({
        routes: [
          route({
            shares: [
              { pool: 'p', share: 0 },
              { pool: 'p', share: 0 },
            ],
          }),
        ],
      }),
      '/ways/0/shares',
    ],
    ['a route without shares', routingTable({ routes: [route({ shares: [] })] }), '/ways/0/shares'],
    ['a route without a timeout', routingTable({ routes: [route({ timeoutMs: 0 })] }), '/ways/0/horizonMs'],
    [
      'two routes with the same host and path prefix',
      routingTable({ routes: [route(), route({ name: 'v' })] }),
      '/ways/1',
    ],
    [
      'two routes with the same name',
      routingTable({ routes: [route(), route({ pathPrefix: '/y/' })] }),
      '/ways/1/name',
    ],
    [
      'a key of two customers',
      routingTable({
        customers: [
          { name: 'a', keyHashes: ['k'], rank: null, isIsolated: false },
          { name: 'b', keyHashes: ['k'], rank: null, isIsolated: false },
        ],
      }),
      '/customers/1',
    ],
    [
      'a path prefix without a trailing slash',
      routingTable({ routes: [route({ pathPrefix: '/x' })] }),
      '/ways/0/pathStart',
    ],
  ];
  for (const [title, table, path] of invalidTables) {
    it(`given ${title}, when the table is checked, then the error names its path`, () => {
      expect(errorPathsOf(table)).to.include(path);
    });
  }

  it('given nested path prefixes, when a path is matched, then the route with the longest prefix on that host is returned', () => {
    const view = new RoutingTableIndexer().view(
      1,
      routingTable({
        routes: [
          route({ name: 'short', pathPrefix: '/' }),
          route({ name: 'long', pathPrefix: '/x/y/' }),
          route({ name: 'mid', pathPrefix: '/x/' }),
        ],
      }),
    );
    expect(view.match('a.example', '/x/y/z')?.route.name).to.equal('long');
    expect(view.match('A.example:80', '/x/yz')?.route.name).to.equal('mid');
    expect(view.match('a.example', '/q')?.route.name).to.equal('short');
    expect(view.match('b.example', '/x/y/z')).to.equal(null);
  });

  it('given routes of each kind, when they are indexed, then only repeatable routes and resumable streams are retryable', () => {
    const isRetryable = (overrides: Partial<Route>): boolean | undefined =>
      new RoutingTableIndexer().view(1, routingTable({ routes: [route(overrides)] })).match('a.example', '/x/')
        ?.isRetryable;
    expect(isRetryable({ kind: 'repeatable' })).to.equal(true);
    expect(isRetryable({ kind: 'once', isResumable: true })).to.equal(false);
    expect(isRetryable({ kind: 'stream' })).to.equal(false);
    expect(isRetryable({ kind: 'stream', isResumable: true })).to.equal(true);
  });

  it('given shares of 90, 0 and 10, when pools are drawn with evenly spaced fractions, then each pool gets its share and the pool of share 0 gets none', () => {
    const weightedRoute = route({
      shares: [
        { pool: 'a', share: 90 },
        { pool: 'b', share: 0 },
        { pool: 'c', share: 10 },
      ],
    });
    const drawn = Array.from({ length: 1_000 }, (_, at) => shares.draw(weightedRoute, at / 1_000));
    expect(drawn.filter((pool) => pool === 'a').length).to.equal(900);
    expect(drawn.filter((pool) => pool === 'b').length).to.equal(0);
    expect(drawn.filter((pool) => pool === 'c').length).to.equal(100);
  });

  it('given two routing tables with added, changed and removed entries, when the patch between them is applied to the first, then the result is the second', () => {
    const before = routingTable({
      routes: [
        route({ name: 'a', pathPrefix: '/a/' }),
        route({ name: 'b', pathPrefix: '/b/' }),
        route({ name: 'c', pathPrefix: '/c/' }),
      ],
    });
    const after = routingTable({
      routes: [
        route({ name: 'b', pathPrefix: '/b/', timeoutMs: 9 }),
        route({ name: 'c', pathPrefix: '/c/' }),
        route({ name: 'd', pathPrefix: '/d/' }),
      ],
      customers: [{ name: 'south', keyHashes: ['k9'], rank: 1, isIsolated: true }],
      limits: { headerBytes: 2, bodyBytes: 2, headerMs: 2, idleMs: 2 },
    });
    const patch = patches.diff(3, before, after);
    expect(patch.put.map((one) => one.name)).to.deep.equal(['b', 'd']);
    expect(patch.gone).to.deep.equal(['a']);
    const patched = patches.apply(before, patch);
    expect({ ...patched, routes: [...patched.routes].sort((x, y) => (x.name < y.name ? -1 : 1)) }).to.deep.equal(after);
    expect(patches.isSmaller(patch, after)).to.equal(false);
    expect(patches.isSmaller(patches.diff(3, after, after), after)).to.equal(true);
  });

  it('given models, versions and customers, when their salts are compared, then those that must not share a cache differ and those that may are equal', () => {
    const isolated = { name: 'n', keyHashes: [], rank: null, isIsolated: true };
    const shared = { name: 's', keyHashes: [], rank: null, isIsolated: false };
    expect(salts.of('m', 1, shared)).to.equal(salts.of('m', 1, null));
    const allSalts = [
      salts.of('m', 1, null),
      salts.of('m', 2, null),
      salts.of('o', 1, null),
      salts.of('m', 1, isolated),
      salts.of('m', 1, { ...isolated, name: 'o' }),
      salts.of('m', 2, isolated),
    ];
    expect(new Set(allSalts).size).to.equal(allSalts.length);
  });
});
