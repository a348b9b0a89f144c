import { expect } from 'chai';
import { cbor } from '@martenworks/core-types';
import { edgeMessages, gatewayMessages } from '@martenworks/control-plane';

type Check = (value: unknown) => boolean;
type Body = Record<string, unknown>;

const ballot = [1, 'gateway-1'];
const claimant = { id: 'c', gateway: 'gateway-1', address: '10.0.0.1:1', digest: 'd' };
const claimState = { turn: 1, promised: ballot, accepted: { ballot, claimant } };
const cacheEvent = { isKept: true, salt: 's', part: 'p', tokens: 256 };
const kvEvent = { replica: 'r', incarnation: 1, seq: 2, kind: 'stored', tenant: null, blocks: ['b'] };
const update = { address: '10.0.0.2:1', isWhole: false, isHeard: true, events: [cacheEvent] };
const notice = { id: 'n', replica: 'r', tokens: 9, salt: null, part: 'p' };
const isolationClaim = { replica: 'r', incarnation: 1, side: 'tenant' };
const snapshot = { replica: 'r', incarnation: 1, seq: 3, isWhole: true, scopes: ['t'], blocks: [['b', '', 5]] };
const record = {
  name: 'r',
  kind: 'replica',
  incarnation: 1,
  state: 'ready',
  pool: 'p',
  address: '10.0.0.2:1',
  zone: '',
  slots: null,
  born: 0,
  sides: ['tenant'],
};

/** Each message type with a valid body, in which every field is required. */
const objects: readonly (readonly [name: string, check: Check, body: Body])[] = [
  ['StatePosition', edgeMessages.isStatePosition, { logIndex: 1, configVersion: 2 }],
  ['Subscription', edgeMessages.isSubscription, { logIndex: -1, configVersion: 0, wantsContent: true }],
  ['EdgePing', edgeMessages.isEdgePing, { logIndex: 1, configVersion: 2, isReady: false }],
  ['PrefillNotice', edgeMessages.isPrefillNotice, notice],
  [
    'CacheMissReport',
    edgeMessages.isCacheMissReport,
    { address: '10.0.0.2:1', salt: 's', parts: ['p'], isDecided: true, quarantineMs: null },
  ],
  ['WeightsAgesMessage', edgeMessages.isWeightsAges, { weightsAges: { m: [{ version: 2, msAgo: 900 }] } }],
  ['LoadReport', gatewayMessages.isLoadReport, { replicas: { r: [1, 20] }, pools: { p: [0, 1] } }],
  ['RelayedKvEvents', gatewayMessages.isRelayedKvEvents, { fences: { r: 7 }, events: [kvEvent] }],
  ['claim turn', gatewayMessages.isClaimTurn, { key: 'k', turn: 1 }],
  ['claim prepare', gatewayMessages.isClaimPrepare, { key: 'k', turn: 1, ballot }],
  ['claim accept', gatewayMessages.isClaimAccept, { key: 'k', turn: 1, ballot, claimant }],
  ['ClaimPage', gatewayMessages.isClaimPage, { entries: [['k', claimState]], next: null }],
];

/** Each message type that is a list, with a valid element. */
const lists: readonly (readonly [name: string, check: Check, element: Body])[] = [
  ['PrefixCacheUpdate[]', edgeMessages.isPrefixCacheUpdates, update],
  ['PrefillNotice[]', edgeMessages.isPrefillNotices, notice],
  ['IsolationClaim[]', gatewayMessages.isIsolationClaims, isolationClaim],
  ['ReplicaRecord[]', gatewayMessages.isReplicaRecords, record],
  ['PrefixIndexSnapshot[]', gatewayMessages.isPrefixIndexSnapshots, snapshot],
];

const notObjects: readonly unknown[] = [null, undefined, 0, 'text', true, new Uint8Array(3), [[]]];

/** Returns bodies in which one field is missing or has a value of an invalid type. */
const malformedVariants = (body: Body): Body[] =>
  Object.keys(body).flatMap((field) => {
    const { [field]: _, ...incomplete } = body;
    return [incomplete, { ...body, [field]: Symbol('of no type') }];
  });

const throughCbor = (value: unknown): unknown => cbor.decode(Uint8Array.from(cbor.encode(value)));

describe('checks of the messages between nodes', () => {
  for (const [name, check, body] of objects) {
    it(`given a ${name}, when it is complete, then it passes, and when a field is missing or has another type, then it fails`, () => {
      expect(check(throughCbor(body))).to.equal(true);
      for (const malformed of [...notObjects, ...malformedVariants(body)]) expect(check(malformed)).to.equal(false);
    });
  }

  for (const [name, check, element] of lists) {
    it(`given a ${name}, when all elements are complete, then it passes, and when one is malformed, then it fails`, () => {
      expect(check([])).to.equal(true);
      expect(check(throughCbor([element, element]))).to.equal(true);
      expect(check(element)).to.equal(false);
      for (const malformed of [...notObjects, ...malformedVariants(element)])
        expect(check([element, malformed])).to.equal(false);
    });
  }

  it('given values that a field does not allow, when the messages are checked, then they fail', () => {
    expect(gatewayMessages.isReplicaRecords([{ ...record, kind: 'gateway' }])).to.equal(false);
    expect(gatewayMessages.isReplicaRecords([{ ...record, state: 'lost' }])).to.equal(false);
    expect(gatewayMessages.isRelayedKvEvents({ fences: {}, events: [{ ...kvEvent, kind: 'moved' }] })).to.equal(false);
    expect(gatewayMessages.isClaimPrepare({ key: 'k', turn: 1, ballot: [1] })).to.equal(false);
    expect(gatewayMessages.isLoadReport({ replicas: { r: [1] }, pools: {} })).to.equal(false);
    expect(edgeMessages.isPrefixCacheUpdates([{ ...update, epoch: 5 }])).to.equal(false);
  });

  it('given optional fields, when they are missing, then the message passes', () => {
    expect(edgeMessages.isPrefixCacheUpdates([{ ...update, epoch: 'e' }])).to.equal(true);
    const { tenant: _, ...withoutTenant } = kvEvent;
    expect(gatewayMessages.isRelayedKvEvents({ fences: {}, events: [withoutTenant] })).to.equal(true);
  });
});
