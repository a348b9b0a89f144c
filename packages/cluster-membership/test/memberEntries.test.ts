import { expect } from 'chai';
import { memberEntries } from '@martenworks/cluster-membership';
import { hellos } from '@martenworks/peer-transport';

const hello = hellos.of(
  'edge',
  { name: 'edge-1', peerAddress: '10.0.0.1:7640', http: '', operators: null, zone: 'zone-a' },
  'run-1',
);

describe('member entries from a peer', () => {
  it('given entries that can and that can not be read, when they are received, then those that can are kept in their order', () => {
    const sound = { hello, ageMs: 20 };
    const other = { hello: { ...hello, name: 'edge-2' }, ageMs: 0 };
    const unreadable = [
      null,
      'edge-1',
      {},
      { hello },
      { hello, ageMs: '20' },
      { hello: { ...hello, role: 'king' }, ageMs: 0 },
    ];
    expect(memberEntries.parse([sound, ...unreadable, other])).to.deep.equal([sound, other]);
  });

  it('given what is no list, when it is received, then there are no entries', () => {
    for (const body of [null, undefined, 7, 'entries', { hello, ageMs: 0 }])
      expect(memberEntries.parse(body)).to.deep.equal([]);
  });
});
