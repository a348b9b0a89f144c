import { expect } from 'chai';
import { SimWorld } from '@martenworks/test-fleet';
import type { PrefixCacheUpdate } from '@martenworks/core-types';
import { ReplicaTracker, PrefixCacheIndex, StaleEntryDetector, responseTimings } from '@martenworks/edge-proxy';
import type { ResponseTiming } from '@martenworks/edge-proxy';

const address = '10.2.0.1:8080';
const [salt, part, tokens] = ['m@1', 'manual', 13_300];
const kept = (more: Partial<PrefixCacheUpdate> = {}): PrefixCacheUpdate => ({
  address,
  isWhole: false,
  isHeard: true,
  epoch: '1',
  events: [{ isKept: true, salt, part, tokens }],
  ...more,
});

const office = () => {
  const world = new SimWorld(3);
  const { clock } = world.machine('10.0.0.1').ports();
  const prefixCaches = new PrefixCacheIndex(clock);
  const watch = new StaleEntryDetector(clock);
  const timing = (more: Partial<ResponseTiming> = {}): ResponseTiming => ({
    expectedHit: { address, salt, parts: [part], tokens, pullMs: null },
    uncachedTokens: 3_700,
    aheadTokens: 0,
    tokensPerMs: 50,
    isFollowed: true,
    sentAt: clock.now(),
    ...more,
  });
  const late = async (more: Partial<ResponseTiming> = {}, spentMs = 340) => {
    const sent = timing(more);
    await world.run(spentMs);
    return watch.recordTiming(sent, spentMs);
  };
  const isKept = (): boolean => prefixCaches.isCached(address, salt, part, tokens);
  return { world, clock, prefixCaches, watch, timing, late, isKept };
};

describe('time to the first piece', () => {
  const { timing } = office();
  const cases: [string, Partial<ResponseTiming>, number, string][] = [
    ['the time of the rest alone', {}, 80, 'found'],
    ['the time of the whole prompt', {}, 345, 'missing'],
    ['a time between both', {}, 240, 'unclear'],
    ['the time of what was ahead', { aheadTokens: 13_300 }, 345, 'unclear'],
    ['the time of what was ahead and of the whole prompt', { aheadTokens: 13_300 }, 610, 'missing'],
    ['a time that no reading explains', {}, 3_000, 'unclear'],
    ['a late time though no reading rate is known', { tokensPerMs: null }, 345, 'unclear'],
    [
      'a late time of a short part',
      { expectedHit: { address, salt, parts: [part], tokens: 300, pullMs: null } },
      400,
      'unclear',
    ],
    [
      'the time of reading in spite of a holder',
      { expectedHit: { address, salt, parts: [part], tokens, pullMs: 20 } },
      345,
      'missing',
    ],
    [
      'a late time where handing over is as slow as reading',
      { expectedHit: { address, salt, parts: [part], tokens, pullMs: 200 } },
      345,
      'unclear',
    ],
  ];
  for (const [what, more, spentMs, verdict] of cases) {
    it(`given ${what}, when it is judged, then the parts are ${verdict}`, () => {
      expect(responseTimings.classify(timing(more), spentMs)).to.equal(verdict);
    });
  }
});

describe('strikes against the index', () => {
  it('given two late answers in a row, when the second was sent after the first, then the entry falls, and the next one bars it', async () => {
    const { late } = office();
    expect(await late()).to.deep.equal({ kind: 'strike' });
    expect(await late()).to.deep.equal({ kind: 'evict', quarantineMs: null });
    expect(await late()).to.deep.equal({ kind: 'evict', quarantineMs: 15_000 });
    expect(await late()).to.deep.equal({ kind: 'evict', quarantineMs: 30_000 });
  });

  it('given two late answers of one burst, when both were sent before the first came, then they count as one', async () => {
    const { watch, timing, world } = office();
    const sent = timing();
    await world.run(340);
    expect(watch.recordTiming(sent, 340).kind).to.equal('strike');
    await world.run(80);
    expect(watch.recordTiming(sent, 420).kind).to.equal('none');
  });

  it('given an answer in time or a long while between two late ones, when the second comes, then nothing falls', async () => {
    const { late, world } = office();
    await late();
    expect((await late({}, 80)).kind).to.equal('none');
    expect((await late()).kind).to.equal('strike');
    await world.run(11_000);
    expect((await late()).kind).to.equal('strike');
  });

  it('given an address whose events are not heard, when one answer is late, then its entry falls', async () => {
    const { late } = office();
    expect((await late({ isFollowed: false })).kind).to.equal('evict');
  });

  it('given an address of which two entries fell, when a third is late once, then it is barred, and no more once another replica has the address', async () => {
    const { watch, late, world } = office();
    const of = (name: string) => late({ expectedHit: { address, salt, parts: [name], tokens, pullMs: null } });
    for (const name of ['a', 'a', 'b', 'b']) await of(name);
    expect(await of('c')).to.deep.equal({ kind: 'evict', quarantineMs: 15_000 });
    await world.run(31_000);
    expect((await of('d')).kind).to.equal('strike');
    for (const name of ['a', 'a', 'b', 'b']) await of(name);
    watch.onIncarnationChange(address);
    expect((await of('e')).kind).to.equal('strike');
  });

  it('given strikes of other edges, when they are heard, then they alone decide nothing and an own one does', async () => {
    const { watch, late } = office();
    const news = { address, salt, parts: [part], isDecided: false, quarantineMs: null };
    watch.recordReport(news);
    watch.recordReport(news);
    expect((await late({}, 240)).kind).to.equal('none');
    expect((await late()).kind).to.equal('evict');
  });
});

describe("the edge's index of an address", () => {
  it('given an entry that fell, when a fresh event tells it, then it counts again', () => {
    const { prefixCaches, isKept } = office();
    prefixCaches.apply([kept()]);
    prefixCaches.remove(address, salt, part);
    expect(isKept()).to.equal(false);
    prefixCaches.apply([kept()]);
    expect(isKept()).to.equal(true);
  });

  it('given a barred entry, when events and own answers tell it, then it counts only once the bar is over', async () => {
    const { prefixCaches, isKept, world } = office();
    prefixCaches.quarantine(address, salt, part, 15_000);
    prefixCaches.apply([kept()]);
    prefixCaches.recordObserved(address, salt, part);
    prefixCaches.recordPrefill(address, salt, part);
    expect(isKept()).to.equal(false);
    expect(prefixCaches.isPrefilling(address, salt, part)).to.equal(false);
    await world.run(15_100);
    expect(isKept()).to.equal(true);
  });

  it('given an address whose events are not heard any more, when eight seconds are over, then its entries count no more, and again once it is heard', async () => {
    const { prefixCaches, isKept, world } = office();
    prefixCaches.apply([kept()]);
    prefixCaches.apply([kept({ isHeard: false, events: [] })]);
    await world.run(7_900);
    prefixCaches.apply([kept({ isHeard: false, events: [] })]);
    expect(isKept()).to.equal(true);
    await world.run(200);
    expect(isKept()).to.equal(false);
    prefixCaches.apply([kept({ events: [] })]);
    expect(isKept()).to.equal(true);
  });

  it('given another life at the address, when the list tells it first, then its entries are gone at once; when a new epoch told it before, then those of that epoch stay', () => {
    const [first, second] = [office(), office()];
    first.prefixCaches.apply([kept()]);
    first.prefixCaches.recordObserved(address, salt, part);
    first.prefixCaches.onIncarnationChange(address);
    expect(first.isKept()).to.equal(false);
    first.prefixCaches.apply([kept({ epoch: '2' })]);
    expect(first.isKept()).to.equal(true);
    second.prefixCaches.apply([kept()]);
    second.prefixCaches.apply([kept({ epoch: '2', isWhole: true })]);
    second.prefixCaches.onIncarnationChange(address);
    expect(second.isKept()).to.equal(true);
    second.prefixCaches.onIncarnationChange(address);
    expect(second.isKept()).to.equal(false);
  });
});

describe('lives at an address', () => {
  it('given a crashed replica that the list still shows beside the next one, when it leaves the list, then no further life is told', () => {
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
