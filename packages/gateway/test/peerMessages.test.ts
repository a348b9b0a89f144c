import { expect } from 'chai';
import { peerMessages } from '@martenworks/gateway';

const member = { name: 'control-1', address: '127.0.0.1:7100', incarnation: 'abc' };
const replica = {
  name: 'replica-1',
  kind: 'replica',
  incarnation: 2,
  state: 'ready',
  pool: 'main',
  address: '127.0.0.1:8000',
  zone: 'a',
  slots: null,
  born: 3,
  sides: [],
};
const state = {
  logIndex: 4,
  config: { tiers: {}, pools: {}, lanes: {}, tenants: {} },
  keys: {},
  members: [member],
};
const accepted = { ballot: [1, 'a'], claimant: { id: 'a', gateway: 'abc', address: '127.0.0.1:7200', digest: 'd' } };
const pong = {
  logIndex: 4,
  acceptedSlot: null,
  incarnation: 'abc',
  loads: { 'replica-1': [1, 20] },
  contention: { main: [2, 3] },
  gateways: 9,
};
const kvEvent = { replica: 'replica-1', incarnation: 2, seq: 7, kind: 'stored', tenant: null, blocks: ['b1'] };
const snapshot = { replica: 'replica-1', incarnation: 2, seq: 7, isWhole: true, scopes: [''], blocks: [] };

/** By reader: bodies that it accepts, and bodies that lack fields that the gateway reads. */
const cases: Record<keyof typeof peerMessages, { valid: unknown[]; malformed: unknown[] }> = {
  heartbeat: { valid: ['abc'], malformed: [7, {}] },
  change: {
    valid: [{ logIndex: 5, change: { id: 'c', digest: 'd', body: { kind: 'revoke', keyHash: 'k' } } }],
    malformed: [
      { logIndex: 5 },
      { logIndex: '5', change: { id: 'c', body: { kind: 'revoke' } } },
      { logIndex: 5, change: {} },
    ],
  },
  committedState: {
    valid: [state],
    malformed: [
      { ...state, logIndex: undefined },
      { ...state, config: null },
      { ...state, config: { ...state.config, lanes: [] } },
      { ...state, members: [{ name: 'control-1' }] },
    ],
  },
  replicas: { valid: [[], [replica]], malformed: [replica, [null], [replica, { ...replica, incarnation: 'two' }]] },
  loads: { valid: [{}, pong.loads], malformed: [[], { 'replica-1': 3 }, { 'replica-1': [1, 'many'] }] },
  indexSnapshot: {
    valid: [snapshot],
    malformed: [
      { ...snapshot, blocks: null },
      { ...snapshot, scopes: [1] },
    ],
  },
  kvEvents: {
    valid: [[], [kvEvent]],
    malformed: [kvEvent, [{ ...kvEvent, seq: null }], [{ ...kvEvent, blocks: 'b1' }]],
  },
  pong: {
    valid: [pong, { ...pong, acceptedSlot: 5 }],
    malformed: [
      { ...pong, loads: null },
      { ...pong, contention: { main: 1 } },
      { ...pong, acceptedSlot: '5' },
    ],
  },
  claimantId: { valid: ['abc/request/1'], malformed: [null, 3] },
  memberList: {
    valid: [[], [{ hello: { incarnation: 'abc' }, ageMs: 10 }]],
    malformed: [{}, [{ hello: null, ageMs: 10 }], [{ hello: { incarnation: 'abc' } }]],
  },
  isolationStatuses: {
    valid: [[], [{ replica: 'replica-1', incarnation: 2, side: 'north', sides: ['north'], ageMs: 5 }]],
    malformed: [{}, [{ replica: 'replica-1', sides: 'north', ageMs: 5 }]],
  },
  claimVote: {
    valid: [
      { kind: 'mute' },
      { kind: 'state', isGranted: true, state: { turn: 0, promised: null, accepted: null } },
      { kind: 'state', isGranted: false, state: { turn: 0, promised: [1, 'a'], accepted } },
    ],
    malformed: [{ kind: 'state', isGranted: true }, { kind: 'state', state: { turn: 0 } }, { kind: 'yes' }],
  },
  storedResponseState: {
    valid: [{ kind: 'running' }, { kind: 'unknown' }, { kind: 'not run' }, { kind: 'done', datas: ['{}'] }],
    malformed: [{ kind: 'done' }, { kind: 'done', datas: [1] }, { kind: 'finished' }],
  },
};

describe('validation of messages from other nodes', () => {
  for (const [name, { valid, malformed }] of Object.entries(cases)) {
    const read = peerMessages[name as keyof typeof peerMessages];

    it(`given valid bodies of ${name}, when they are read, then they are returned unchanged`, () => {
      for (const body of valid) expect(read(body)).to.equal(body);
    });

    it(`given malformed bodies of ${name}, when they are read, then each is rejected`, () => {
      for (const body of [undefined, null, true, ...malformed]) expect(read(body), JSON.stringify(body)).to.equal(null);
    });
  }
});
