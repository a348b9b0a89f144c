import { expect } from 'chai';
import type { Route, RoutingTable } from '@martenworks/core-types';
import { RoutingTableIndexer, routingTables, patches, salts, shares } from '@martenworks/route-table';

const route = (more: Partial<Route> = {}): Route => ({
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
  ...more,
});

const routingTable = (more: Partial<RoutingTable> = {}): RoutingTable => ({
  routes: [route()],
  pools: [{ name: 'p', connectionLimit: null, engine: null }],
  stores: [],
  customers: [{ name: 'north', keyHashes: ['k1'], rank: null, isIsolated: false }],
  limits: { headerBytes: 1, bodyBytes: 1, headerMs: 1, idleMs: 1 },
  ...more,
});

const faultsOf = (given: RoutingTable): string[] =>
  routingTables.check(given).match(
    () => [],
    (faults) => faults.map((fault) => fault.path),
  );

describe('the routing table', () => {
  it('given a sound routing table, when it is checked, then nothing is wrong with it', () => {
    expect(faultsOf(routingTable())).to.deep.equal([]);
  });

  const broken: [string, RoutingTable, string][] = [
    [
      'a way to an absent pool',
      routingTable({ routes: [route({ shares: [{ pool: 'q', share: 1 }] })] }),
      '/ways/0/shares',
    ],
    [
      'weights that sum to 0',
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
    ['no weight at all', routingTable({ routes: [route({ shares: [] })] }), '/ways/0/shares'],
    ['no horizon', routingTable({ routes: [route({ timeoutMs: 0 })] }), '/ways/0/horizonMs'],
    ['two ways in one place', routingTable({ routes: [route(), route({ name: 'v' })] }), '/ways/1'],
    ['two ways of one name', routingTable({ routes: [route(), route({ pathPrefix: '/y/' })] }), '/ways/1/name'],
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
      'a path start without a slash at its end',
      routingTable({ routes: [route({ pathPrefix: '/x' })] }),
      '/ways/0/pathStart',
    ],
  ];
  for (const [what, given, path] of broken) {
    it(`given ${what}, when it is checked, then it is refused with its path`, () => {
      expect(faultsOf(given)).to.include(path);
    });
  }

  it('given nested path starts, when a path is matched, then the longest that begins it wins, on its host only', () => {
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

  it('given kinds of routes, when they are viewed, then only repeatable ones and resumable streams may repeat', () => {
    const mayRepeat = (more: Partial<Route>): boolean | undefined =>
      new RoutingTableIndexer().view(1, routingTable({ routes: [route(more)] })).match('a.example', '/x/')?.isRetryable;
    expect(mayRepeat({ kind: 'repeatable' })).to.equal(true);
    expect(mayRepeat({ kind: 'once', isResumable: true })).to.equal(false);
    expect(mayRepeat({ kind: 'stream' })).to.equal(false);
    expect(mayRepeat({ kind: 'stream', isResumable: true })).to.equal(true);
  });

  it('given shares of 90, 0 and 10, when pools are drawn evenly, then each gets its share and the one of 0 none', () => {
    const split = route({
      shares: [
        { pool: 'a', share: 90 },
        { pool: 'b', share: 0 },
        { pool: 'c', share: 10 },
      ],
    });
    const drawn = Array.from({ length: 1_000 }, (_, at) => shares.draw(split, at / 1_000));
    expect(drawn.filter((pool) => pool === 'a').length).to.equal(900);
    expect(drawn.filter((pool) => pool === 'b').length).to.equal(0);
    expect(drawn.filter((pool) => pool === 'c').length).to.equal(100);
  });

  it('given a routing table and the next one, when the patch between them is applied, then the next one is what is held, whatever was put, changed or taken away', () => {
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
    const held = patches.apply(before, patch);
    expect({ ...held, routes: [...held.routes].sort((x, y) => (x.name < y.name ? -1 : 1)) }).to.deep.equal(after);
    expect(patches.isSmaller(patch, after)).to.equal(false);
    expect(patches.isSmaller(patches.diff(3, after, after), after)).to.equal(true);
  });

  it('given models, versions and tenants, when salts are made, then any two that must not share differ and the others are one', () => {
    const isolated = { name: 'n', keyHashes: [], rank: null, isIsolated: true };
    const shared = { name: 's', keyHashes: [], rank: null, isIsolated: false };
    expect(salts.of('m', 1, shared)).to.equal(salts.of('m', 1, null));
    const texts = [
      salts.of('m', 1, null),
      salts.of('m', 2, null),
      salts.of('o', 1, null),
      salts.of('m', 1, isolated),
      salts.of('m', 1, { ...isolated, name: 'o' }),
      salts.of('m', 2, isolated),
    ];
    expect(new Set(texts).size).to.equal(texts.length);
  });
});
