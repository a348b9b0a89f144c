import { expect } from 'chai';
import { memberEntries } from '@martenworks/cluster-membership';
import { hellos } from '@martenworks/peer-transport';

const hello = hellos.of(
  'edge',
  { name: 'edge-1', peerAddress: '10.0.0.1:7640', http: '', operators: null, zone: 'zone-a' },
  'run-1',
);

describe('member entries from a peer', () => {
  it('given valid and invalid entries, when they are parsed, then the valid ones are returned in order', () => {
    const valid = { hello, ageMs: 20 };
    const other = { hello: { ...hello, name: 'edge-2' }, ageMs: 0 };
    const invalid = [
      null,
      'edge-1',
      {},
      { hello },
      { hello, ageMs: '20' },
      { hello: { ...hello, role: 'king' }, ageMs: 0 },
    ];
    expect(memberEntries.parse([valid, ...invalid, other])).to.deep.equal([valid, other]);
  });

  it('given a body that is not a list, when it is parsed, then there are no entries', () => {
    for (const body of [null, undefined, 7, 'entries', { hello, ageMs: 0 }])
      expect(memberEntries.parse(body)).to.deep.equal([]);
  });
});
