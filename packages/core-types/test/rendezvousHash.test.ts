/**
 * Nodes of different releases agree on a ranking only while the digests stay unchanged, so the expected digests are
 * computed here independently.
 */
import { createHash } from 'node:crypto';
import { expect } from 'chai';
import { RendezvousHash, replicaEndpoints } from '@martenworks/core-types';
import type { ReplicaEndpoint, RendezvousHashOptions } from '@martenworks/core-types';

const names = Array.from({ length: 9 }, (_, at) => `r${at + 1}`);

const digest = ({ algorithm, separator }: RendezvousHashOptions, key: string, name: string): string =>
  createHash(algorithm).update(`${key}${separator}${name}`).digest('hex');

const hashes: readonly RendezvousHashOptions[] = [
  { algorithm: 'sha1', separator: '\n' },
  { algorithm: 'sha256', separator: '\n' },
  { algorithm: 'sha256', separator: '' },
];

describe('rendezvous hashing', () => {
  for (const options of hashes)
    it(`given ${options.algorithm} with the separator ${JSON.stringify(options.separator)}, when nodes are ranked for a key, then they are in descending order of the digest of key and name`, () => {
      const hash = new RendezvousHash(options);
      for (const key of ['a', 'manual', 'own:tenant', 'mixed', '']) {
        const expected = [...names].sort((a, b) => (digest(options, key, a) < digest(options, key, b) ? 1 : -1));
        expect(hash.ranked(key, names, (name) => name)).to.deep.equal(expected);
        expect(hash.highest(key, new Set(names))).to.equal(expected[0]);
      }
    });

  it('given a ranking, when one node is removed, then the others keep their order', () => {
    const hash = new RendezvousHash({ algorithm: 'sha1', separator: '\n' });
    const ranked = hash.ranked('manual', names, (name) => name);
    const without = names.filter((name) => name !== ranked[0]);
    expect(hash.ranked('manual', without, (name) => name)).to.deep.equal(ranked.slice(1));
  });

  it('given no nodes, when the highest is requested, then the result is null', () => {
    expect(new RendezvousHash({ algorithm: 'sha1', separator: '\n' }).highest('manual', [])).to.equal(null);
  });
});

describe('merging two endpoints of one replica', () => {
  const endpoint = (more: Partial<ReplicaEndpoint>): ReplicaEndpoint => ({
    id: 'r1',
    pool: 'p',
    address: 'a',
    zone: 'z',
    slots: 1,
    isLeaving: false,
    weights: {},
    ...more,
  });

  it('given a received endpoint that is older, when it is merged, then weights versions do not decrease and isLeaving stays set', () => {
    const known = endpoint({ isLeaving: true, weights: { m: 3, n: 1 } });
    const merged = replicaEndpoints.merge(endpoint({ address: 'b', slots: 2, weights: { m: 2, o: 5 } }), known);
    expect(merged).to.deep.equal(endpoint({ address: 'b', slots: 2, isLeaving: true, weights: { m: 3, o: 5, n: 1 } }));
  });

  it('given a received endpoint that is newer, when it is merged, then its values win', () => {
    const merged = replicaEndpoints.merge(
      endpoint({ isLeaving: true, weights: { m: 4 } }),
      endpoint({ weights: { m: 3 } }),
    );
    expect(merged).to.deep.equal(endpoint({ isLeaving: true, weights: { m: 4 } }));
  });
});
