/** Validation accepts every message that control nodes send, and rejects one that lacks a field. */
import { expect } from 'chai';
import { edgeMessages } from '@martenworks/edge-proxy';
import type {
  CacheMissReport,
  EdgePong,
  EdgeStateMessage,
  EndpointListUpdate,
  PrefillNotice,
  PrefixCacheUpdate,
  WeightsUpdate,
} from '@martenworks/core-types';
import type { MemberEntry } from '@martenworks/cluster-membership';
import { hellos } from '@martenworks/peer-transport';
import { packedRoutingTables } from '@martenworks/route-table';
import { memberOf, routingTableOf } from './controlNodeStub.js';

const state: EdgeStateMessage = {
  logIndex: 3,
  configVersion: 2,
  packedTable: packedRoutingTables.packTable(routingTableOf(3)),
  targetWeights: { m: 2 },
  weightsAges: { m: [{ version: 2, msAgo: 10.5 }] },
  members: [memberOf('10.0.0.1')],
};
const weights: WeightsUpdate = { id: 'r1', model: 'm', version: null, forMs: 500 };
const notice: PrefillNotice = { id: 'x-1', replica: 'r1', tokens: 0, salt: null, part: null };
const report: CacheMissReport = { address: 'a', salt: 's', parts: ['p'], isDecided: false, quarantineMs: null };
const endpoints: EndpointListUpdate = {
  isWhole: false,
  put: [{ id: 'r1', pool: 'p', address: 'a', zone: 'z', slots: 1, isLeaving: false, weights: { m: 1 } }],
  gone: ['r2'],
};
const cache: PrefixCacheUpdate = {
  address: 'a',
  isWhole: false,
  isHeard: true,
  events: [{ isKept: false, salt: 's', part: 'p', tokens: 0 }],
};
const pong: EdgePong = { logIndex: -1, edgeCount: 1, hasMajority: false, majorityHeardMs: null, listAgeMs: null };
const node = { name: 'n', peerAddress: 'a', http: 'b', operators: null, zone: 'z' };
const entry: MemberEntry = { hello: hellos.of('control', node, 'i'), ageMs: 0 };

type Fields = Record<string, unknown>;

const cases: readonly [string, object, (value: unknown) => boolean][] = [
  ['a state', state, edgeMessages.isState],
  ['a weights update', weights, edgeMessages.isWeights],
  ['a prefill notice', notice, (value) => edgeMessages.isPrefillNotices([notice, value])],
  ['a report of missing entries', report, edgeMessages.isCacheMiss],
  ['an update of the endpoint list', endpoints, edgeMessages.isEndpointList],
  ['an update of a prefix cache', cache, (value) => edgeMessages.isPrefixCacheUpdates([cache, value])],
  ['a pong', pong, edgeMessages.isPong],
  ['a member entry', entry, (value) => edgeMessages.isMemberEntries([entry, value])],
];

describe('messages from control nodes', () => {
  for (const [name, message, isValid] of cases)
    it(`given ${name}, when it is complete or lacks a field, then only the complete one is accepted`, () => {
      expect(isValid(message)).to.equal(true);
      for (const field of Object.keys(message)) {
        const { [field]: _, ...rest } = message as Fields;
        expect(isValid(rest), `without ${field}`).to.equal(false);
        expect(isValid({ ...message, [field]: { odd: Symbol('odd') } }), `with another ${field}`).to.equal(false);
      }
      for (const odd of [null, undefined, 7, 'text', []]) expect(isValid(odd)).to.equal(false);
    });

  it('given optional and null fields as nodes send them, when they are checked, then they are accepted', () => {
    expect(edgeMessages.isState({ ...state, packedTable: null, members: [], weightsAges: {} })).to.equal(true);
    expect(edgeMessages.isState({ ...state, packedTable: { from: 1, deflated: Buffer.from('x') } })).to.equal(true);
    expect(edgeMessages.isWeights({ ...weights, version: 4 })).to.equal(true);
    expect(edgeMessages.isPrefixCacheUpdates([{ ...cache, epoch: '2' }])).to.equal(true);
    expect(edgeMessages.isCacheMiss({ ...report, isDecided: true, quarantineMs: 15_000 })).to.equal(true);
    expect(edgeMessages.isLogIndex(0)).to.equal(true);
  });
});
