import { expect } from 'chai';
import type { Way, WayBook } from '@martenworks/core-types';
import { BookDoor, books, patches, salts, shares } from '@martenworks/route-table';

const way = (more: Partial<Way> = {}): Way => ({
  name: 'w',
  host: 'a.example',
  pathStart: '/x/',
  kind: 'stream',
  horizonMs: 1_000,
  targetMs: 300,
  rank: 0,
  shares: [{ pool: 'p', share: 1 }],
  shots: 1,
  isOpen: false,
  mayResume: false,
  gapMs: 250,
  ...more,
});

const book = (more: Partial<WayBook> = {}): WayBook => ({
  ways: [way()],
  pools: [{ name: 'p', connectionLimit: null, engine: null }],
  stores: [],
  customers: [{ name: 'north', keyHashes: ['k1'], rank: null, isIsolated: false }],
  limits: { headerBytes: 1, bodyBytes: 1, headerMs: 1, idleMs: 1 },
  ...more,
});

const faultsOf = (given: WayBook): string[] =>
  books.check(given).match(
    () => [],
    (faults) => faults.map((fault) => fault.path),
  );

describe('the book of ways', () => {
  it('given a sound book, when it is checked, then nothing is wrong with it', () => {
    expect(faultsOf(book())).to.deep.equal([]);
  });

  const broken: [string, WayBook, string][] = [
    ['a way to an absent pool', book({ ways: [way({ shares: [{ pool: 'q', share: 1 }] })] }), '/ways/0/shares'],
    [
      'weights that sum to 0',
      book({
        ways: [
          way({
            shares: [
              { pool: 'p', share: 0 },
              { pool: 'p', share: 0 },
            ],
          }),
        ],
      }),
      '/ways/0/shares',
    ],
    ['no weight at all', book({ ways: [way({ shares: [] })] }), '/ways/0/shares'],
    ['no horizon', book({ ways: [way({ horizonMs: 0 })] }), '/ways/0/horizonMs'],
    ['two ways in one place', book({ ways: [way(), way({ name: 'v' })] }), '/ways/1'],
    ['two ways of one name', book({ ways: [way(), way({ pathStart: '/y/' })] }), '/ways/1/name'],
    [
      'a key of two customers',
      book({
        customers: [
          { name: 'a', keyHashes: ['k'], rank: null, isIsolated: false },
          { name: 'b', keyHashes: ['k'], rank: null, isIsolated: false },
        ],
      }),
      '/customers/1',
    ],
    ['a path start without a slash at its end', book({ ways: [way({ pathStart: '/x' })] }), '/ways/0/pathStart'],
  ];
  for (const [what, given, path] of broken) {
    it(`given ${what}, when it is checked, then it is refused with its path`, () => {
      expect(faultsOf(given)).to.include(path);
    });
  }

  it('given nested path starts, when a path is matched, then the longest that begins it wins, on its host only', () => {
    const view = new BookDoor().view(
      1,
      book({
        ways: [
          way({ name: 'short', pathStart: '/' }),
          way({ name: 'long', pathStart: '/x/y/' }),
          way({ name: 'mid', pathStart: '/x/' }),
        ],
      }),
    );
    expect(view.match('a.example', '/x/y/z')?.way.name).to.equal('long');
    expect(view.match('A.example:80', '/x/yz')?.way.name).to.equal('mid');
    expect(view.match('a.example', '/q')?.way.name).to.equal('short');
    expect(view.match('b.example', '/x/y/z')).to.equal(null);
  });

  it('given kinds of ways, when they are viewed, then only repeatable ones and resumable streams may repeat', () => {
    const mayRepeat = (more: Partial<Way>): boolean | undefined =>
      new BookDoor().view(1, book({ ways: [way(more)] })).match('a.example', '/x/')?.mayRepeat;
    expect(mayRepeat({ kind: 'repeatable' })).to.equal(true);
    expect(mayRepeat({ kind: 'once', mayResume: true })).to.equal(false);
    expect(mayRepeat({ kind: 'stream' })).to.equal(false);
    expect(mayRepeat({ kind: 'stream', mayResume: true })).to.equal(true);
  });

  it('given shares of 90, 0 and 10, when pools are drawn evenly, then each gets its share and the one of 0 none', () => {
    const split = way({
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

  it('given a book and the next one, when the patch between them is applied, then the next one is what is held, whatever was put, changed or taken away', () => {
    const before = book({
      ways: [
        way({ name: 'a', pathStart: '/a/' }),
        way({ name: 'b', pathStart: '/b/' }),
        way({ name: 'c', pathStart: '/c/' }),
      ],
    });
    const after = book({
      ways: [
        way({ name: 'b', pathStart: '/b/', horizonMs: 9 }),
        way({ name: 'c', pathStart: '/c/' }),
        way({ name: 'd', pathStart: '/d/' }),
      ],
      customers: [{ name: 'south', keyHashes: ['k9'], rank: 1, isIsolated: true }],
      limits: { headerBytes: 2, bodyBytes: 2, headerMs: 2, idleMs: 2 },
    });
    const patch = patches.between(3, before, after);
    expect(patch.put.map((one) => one.name)).to.deep.equal(['b', 'd']);
    expect(patch.gone).to.deep.equal(['a']);
    const held = patches.apply(before, patch);
    expect({ ...held, ways: [...held.ways].sort((x, y) => (x.name < y.name ? -1 : 1)) }).to.deep.equal(after);
    expect(patches.isSmaller(patch, after)).to.equal(false);
    expect(patches.isSmaller(patches.between(3, after, after), after)).to.equal(true);
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
