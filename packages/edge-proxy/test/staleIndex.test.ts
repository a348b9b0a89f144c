import { expect } from 'chai';
import { SimWorld } from '@martenworks/test-fleet';
import type { PrefixCacheUpdate } from '@martenworks/core-types';
import { ReplicaTracker, PrefixCacheIndex, StaleEntryDetector, responseTimings } from '@martenworks/edge-proxy';
import type { ResponseTiming } from '@martenworks/edge-proxy';

const address = '10.2.0.1:8080';
const [salt, part, tokens] = ['m@1', 'manual', 13_300];
const cacheUpdate = (more: Partial<PrefixCacheUpdate> = {}): PrefixCacheUpdate => ({
  address,
  isWhole: false,
  isHeard: true,
  epoch: '1',
  events: [{ isKept: true, salt, part, tokens }],
  ...more,
});

const setUp = () => {
  const world = new SimWorld(3);
  const { clock } = world.machine('10.0.0.1').ports();
  const prefixCaches = new PrefixCacheIndex(clock);
  const detector = new StaleEntryDetector(clock);
  const timing = (more: Partial<ResponseTiming> = {}): ResponseTiming => ({
    expectedHit: { address, salt, parts: [part], tokens, pullMs: null },
    uncachedTokens: 3_700,
    aheadTokens: 0,
    tokensPerMs: 50,
    isFollowed: true,
    sentAt: clock.now(),
    ...more,
  });
  const lateResponse = async (more: Partial<ResponseTiming> = {}, elapsedMs = 340) => {
    const sent = timing(more);
    await world.run(elapsedMs);
    return detector.recordTiming(sent, elapsedMs);
  };
  const isCached = (): boolean => prefixCaches.isCached(address, salt, part, tokens);
  return { world, clock, prefixCaches, detector, timing, lateResponse, isCached };
};

describe('time to the first chunk', () => {
  const { timing } = setUp();
  const cases: [string, Partial<ResponseTiming>, number, string][] = [
    ['the time to prefill the uncached part only', {}, 80, 'found'],
    ['the time to prefill the whole prompt', {}, 345, 'missing'],
    ['a time between those two', {}, 240, 'unclear'],
    ['the time to prefill the queued tokens', { aheadTokens: 13_300 }, 345, 'unclear'],
    ['the time to prefill the queued tokens and the whole prompt', { aheadTokens: 13_300 }, 610, 'missing'],
    ['a time that no prefill explains', {}, 3_000, 'unclear'],
    ['a late response without a known prefill rate', { tokensPerMs: null }, 345, 'unclear'],
    [
      'a late response with a short cached part',
      { expectedHit: { address, salt, parts: [part], tokens: 300, pullMs: null } },
      400,
      'unclear',
    ],
    [
      'the time to prefill despite a holder to pull from',
      { expectedHit: { address, salt, parts: [part], tokens, pullMs: 20 } },
      345,
      'missing',
    ],
    [
      'a late response where a transfer is as slow as a prefill',
      { expectedHit: { address, salt, parts: [part], tokens, pullMs: 200 } },
      345,
      'unclear',
    ],
  ];
  for (const [what, more, elapsedMs, verdict] of cases) {
    it(`given ${what}, when it is classified, then the parts are ${verdict}`, () => {
      expect(responseTimings.classify(timing(more), elapsedMs)).to.equal(verdict);
    });
  }
});

describe('strikes against index entries', () => {
  it('given two late responses in a row, when the second request was sent after the first response, then the entry is evicted, and the next late response quarantines it', async () => {
    const { lateResponse } = setUp();
    expect(await lateResponse()).to.deep.equal({ kind: 'strike' });
    expect(await lateResponse()).to.deep.equal({ kind: 'evict', quarantineMs: null });
    expect(await lateResponse()).to.deep.equal({ kind: 'evict', quarantineMs: 15_000 });
    expect(await lateResponse()).to.deep.equal({ kind: 'evict', quarantineMs: 30_000 });
  });

  it('given two late responses of one burst, when both requests were sent before the first response arrived, then they count as one strike', async () => {
    const { detector, timing, world } = setUp();
    const sent = timing();
    await world.run(340);
    expect(detector.recordTiming(sent, 340).kind).to.equal('strike');
    await world.run(80);
    expect(detector.recordTiming(sent, 420).kind).to.equal('none');
  });

  it('given a response in time or a long pause between two late ones, when the second arrives, then nothing is evicted', async () => {
    const { lateResponse, world } = setUp();
    await lateResponse();
    expect((await lateResponse({}, 80)).kind).to.equal('none');
    expect((await lateResponse()).kind).to.equal('strike');
    await world.run(11_000);
    expect((await lateResponse()).kind).to.equal('strike');
  });

  it('given an address whose events are not followed, when one response is late, then its entry is evicted', async () => {
    const { lateResponse } = setUp();
    expect((await lateResponse({ isFollowed: false })).kind).to.equal('evict');
  });

  it('given an address with two evicted entries, when a third is late once, then it is quarantined, and no longer once another replica has the address', async () => {
    const { detector, lateResponse, world } = setUp();
    const of = (name: string) => lateResponse({ expectedHit: { address, salt, parts: [name], tokens, pullMs: null } });
    for (const name of ['a', 'a', 'b', 'b']) await of(name);
    expect(await of('c')).to.deep.equal({ kind: 'evict', quarantineMs: 15_000 });
    await world.run(31_000);
    expect((await of('d')).kind).to.equal('strike');
    for (const name of ['a', 'a', 'b', 'b']) await of(name);
    detector.onIncarnationChange(address);
    expect((await of('e')).kind).to.equal('strike');
  });

  it('given strikes of other edges, when they are reported, then they alone evict nothing, but a further strike of this edge does', async () => {
    const { detector, lateResponse } = setUp();
    const report = { address, salt, parts: [part], isDecided: false, quarantineMs: null };
    detector.recordReport(report);
    detector.recordReport(report);
    expect((await lateResponse({}, 240)).kind).to.equal('none');
    expect((await lateResponse()).kind).to.equal('evict');
  });
});

describe("the edge's index entries of an address", () => {
  it('given an evicted entry, when a new event reports it, then it counts again', () => {
    const { prefixCaches, isCached } = setUp();
    prefixCaches.apply([cacheUpdate()]);
    prefixCaches.remove(address, salt, part);
    expect(isCached()).to.equal(false);
    prefixCaches.apply([cacheUpdate()]);
    expect(isCached()).to.equal(true);
  });

  it("given a quarantined entry, when events and this edge's responses report it, then it counts only after the quarantine", async () => {
    const { prefixCaches, isCached, world } = setUp();
    prefixCaches.quarantine(address, salt, part, 15_000);
    prefixCaches.apply([cacheUpdate()]);
    prefixCaches.recordObserved(address, salt, part);
    prefixCaches.recordPrefill(address, salt, part);
    expect(isCached()).to.equal(false);
    expect(prefixCaches.isPrefilling(address, salt, part)).to.equal(false);
    await world.run(15_100);
    expect(isCached()).to.equal(true);
  });

  it('given an address whose events are no longer followed, when eight seconds have passed, then its entries no longer count until it is followed again', async () => {
    const { prefixCaches, isCached, world } = setUp();
    prefixCaches.apply([cacheUpdate()]);
    prefixCaches.apply([cacheUpdate({ isHeard: false, events: [] })]);
    await world.run(7_900);
    prefixCaches.apply([cacheUpdate({ isHeard: false, events: [] })]);
    expect(isCached()).to.equal(true);
    await world.run(200);
    expect(isCached()).to.equal(false);
    prefixCaches.apply([cacheUpdate({ events: [] })]);
    expect(isCached()).to.equal(true);
  });

  it('given a new incarnation at the address, when the endpoint list shows it first, then its entries are removed immediately; when a new epoch showed it before, then the entries of that epoch stay', () => {
    const [first, second] = [setUp(), setUp()];
    first.prefixCaches.apply([cacheUpdate()]);
    first.prefixCaches.recordObserved(address, salt, part);
    first.prefixCaches.onIncarnationChange(address);
    expect(first.isCached()).to.equal(false);
    first.prefixCaches.apply([cacheUpdate({ epoch: '2' })]);
    expect(first.isCached()).to.equal(true);
    second.prefixCaches.apply([cacheUpdate()]);
    second.prefixCaches.apply([cacheUpdate({ epoch: '2', isWhole: true })]);
    second.prefixCaches.onIncarnationChange(address);
    expect(second.isCached()).to.equal(true);
    second.prefixCaches.onIncarnationChange(address);
    expect(second.isCached()).to.equal(false);
  });
});

describe('incarnations at an address', () => {
  it('given a crashed replica still listed beside its successor, when it leaves the list, then no further incarnation change is reported', () => {
    const replicaTracker = new ReplicaTracker(new SimWorld(1).machine('10.0.0.1').ports().clock);
    const endpoint = (id: string) => ({ id, pool: 'p', address, zone: 'a', slots: 1, isLeaving: false, weights: {} });
    expect(replicaTracker.applyEndpoints({ isWhole: true, put: [endpoint('i-1')], gone: [] })).to.deep.equal({
      changedAddresses: [],
      vacatedAddresses: [],
    });
    expect(replicaTracker.applyEndpoints({ isWhole: false, put: [endpoint('i-2')], gone: [] })).to.deep.equal({
      changedAddresses: [address],
      vacatedAddresses: [],
    });
    expect(replicaTracker.applyEndpoints({ isWhole: false, put: [], gone: ['i-1'] })).to.deep.equal({
      changedAddresses: [],
      vacatedAddresses: [],
    });
    expect(replicaTracker.applyEndpoints({ isWhole: false, put: [], gone: ['i-2'] })).to.deep.equal({
      changedAddresses: [],
      vacatedAddresses: [address],
    });
  });
});
