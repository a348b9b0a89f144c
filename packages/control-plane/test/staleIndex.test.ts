import { expect } from 'chai';
import { err, ok } from 'neverthrow';
import type { BackendClient, PrefixCacheEvent, PrefixCacheEventPage, PrefixCacheUpdate } from '@martenworks/core-types';
import { PrefixCacheFollower } from '@martenworks/control-plane';
import { SimWorld } from '@martenworks/test-fleet';

const address = '10.2.0.1:8080';
const news = (part: string, tokens = 1_000): PrefixCacheEvent => ({ isKept: tokens > 0, salt: 's', part, tokens });
const missed = (part: string) => ({ address, salt: 's', parts: [part], isDecided: true, quarantineMs: null });

class Teller {
  epoch = 1;
  isSilent = false;
  events: PrefixCacheEvent[] = [];

  readonly page = (since: number): PrefixCacheEventPage => ({
    epoch: String(this.epoch),
    next: this.events.length,
    isLost: since > this.events.length,
    events: this.events.slice(since),
  });
}

const office = async () => {
  const world = new SimWorld(3);
  const { clock, random, log } = world.machine('10.0.0.1').ports();
  const teller = new Teller();
  const told: PrefixCacheUpdate[] = [];
  const prefixCacheEvents: BackendClient['prefixCacheEvents'] = (_, since) =>
    new Promise(
      (resolve) =>
        void clock.after(200, () =>
          resolve(teller.isSilent ? err({ kind: 'backend', code: 'ETIMEDOUT' }) : ok(teller.page(since))),
        ),
    );
  const desk = new PrefixCacheFollower(
    { prefixCacheEvents } as Partial<BackendClient> as BackendClient,
    clock,
    random,
    log,
    (bundle) => void told.push(...bundle),
    () => {},
  );
  desk.align(new Set([address]), () => true);
  const parts = (): string[] =>
    desk
      .snapshot()
      .flatMap((stored) => stored.events.map(({ part }) => part))
      .sort();
  await world.run(1_000);
  return { world, desk, teller, told, parts };
};

describe('what the core knows of kept parts', () => {
  it('given a part that an edge found gone, when it is told, then it is dropped and told on once, and comes back by a fresh event only', async () => {
    const { world, desk, teller, told, parts } = await office();
    teller.events.push(news('a'), news('b'));
    await world.run(1_500);
    expect(parts()).to.deep.equal(['a', 'b']);
    told.length = 0;
    desk.handleCacheMiss(missed('a'));
    desk.handleCacheMiss(missed('a'));
    await world.run(1_500);
    expect(parts()).to.deep.equal(['b']);
    expect(told.flatMap((one) => one.events)).to.deep.equal([{ isKept: false, salt: 's', part: 'a', tokens: 0 }]);
    teller.events.push(news('a'));
    await world.run(1_500);
    expect(parts()).to.deep.equal(['a', 'b']);
    expect(desk.staleEntryCounts()).to.deep.include({ missed: 1, falseAlarms: 0 });
  });

  it('given a part that an edge found gone, when its drop is told only then, then it counts as a false alarm', async () => {
    const { world, desk, teller } = await office();
    teller.events.push(news('a'));
    await world.run(1_500);
    desk.handleCacheMiss(missed('a'));
    teller.events.push(news('a', 0));
    await world.run(1_500);
    expect(desk.staleEntryCounts()).to.deep.include({ missed: 1, falseAlarms: 1 });
  });

  it('given another replica at the address, when the list shows it before its events do, then what the former one kept is forgotten at once, and the epoch that follows forgets nothing more', async () => {
    const { world, desk, teller, parts } = await office();
    desk.updateReplicaIds(address, new Set(['i-1']));
    teller.events.push(news('a'));
    await world.run(1_500);
    teller.isSilent = true;
    desk.updateReplicaIds(address, new Set(['i-1', 'i-2']));
    expect(parts()).to.deep.equal([]);
    Object.assign(teller, { epoch: 2, events: [news('b')], isSilent: false });
    await world.run(2_500);
    desk.updateReplicaIds(address, new Set(['i-2']));
    expect(parts()).to.deep.equal(['b']);
    expect(desk.staleEntryCounts()).to.deep.include({ lives: 1 });
  });

  it('given a new epoch with more events than were heard of the former, when it is told, then all its events are read from the first', async () => {
    const { world, teller, parts } = await office();
    teller.events.push(news('a'), news('b'));
    await world.run(1_500);
    Object.assign(teller, { epoch: 2, events: [news('c'), news('d'), news('e')] });
    await world.run(2_500);
    expect(parts()).to.deep.equal(['c', 'd', 'e']);
  });
});
