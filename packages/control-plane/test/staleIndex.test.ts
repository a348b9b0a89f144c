import { expect } from 'chai';
import { err, ok } from 'neverthrow';
import type { BackendClient, PrefixCacheEvent, PrefixCacheEventPage, PrefixCacheUpdate } from '@martenworks/core-types';
import { PrefixCacheFollower } from '@martenworks/control-plane';
import { SimWorld } from '@martenworks/test-fleet';

const address = '10.2.0.1:8080';
const event = (part: string, tokens = 1_000): PrefixCacheEvent => ({ isKept: tokens > 0, salt: 's', part, tokens });
const missReport = (part: string) => ({ address, salt: 's', parts: [part], isDecided: true, quarantineMs: null });

/** A replica's log of prefix cache events. */
class EventSource {
  epoch = 1;
  isUnresponsive = false;
  events: PrefixCacheEvent[] = [];

  readonly page = (since: number): PrefixCacheEventPage => ({
    epoch: String(this.epoch),
    next: this.events.length,
    isLost: since > this.events.length,
    events: this.events.slice(since),
  });
}

const setUp = async () => {
  const world = new SimWorld(3);
  const { clock, random, log } = world.machine('10.0.0.1').ports();
  const source = new EventSource();
  const sent: PrefixCacheUpdate[] = [];
  const prefixCacheEvents: BackendClient['prefixCacheEvents'] = (_, since) =>
    new Promise(
      (resolve) =>
        void clock.after(200, () =>
          resolve(source.isUnresponsive ? err({ kind: 'backend', code: 'ETIMEDOUT' }) : ok(source.page(since))),
        ),
    );
  const follower = new PrefixCacheFollower(
    { prefixCacheEvents } as Partial<BackendClient> as BackendClient,
    clock,
    random,
    log,
    (batch) => void sent.push(...batch),
    () => {},
  );
  follower.reconcile(new Set([address]), () => true);
  const parts = (): string[] =>
    follower
      .snapshot()
      .flatMap((stored) => stored.events.map(({ part }) => part))
      .sort();
  await world.run(1_000);
  return { world, follower, source, sent, parts };
};

describe('prefix cache contents on a control node', () => {
  it('given a prompt part that an edge found missing, when it is reported twice, then its removal is sent once, and only a new event adds it again', async () => {
    const { world, follower, source, sent, parts } = await setUp();
    source.events.push(event('a'), event('b'));
    await world.run(1_500);
    expect(parts()).to.deep.equal(['a', 'b']);
    sent.length = 0;
    follower.handleCacheMiss(missReport('a'));
    follower.handleCacheMiss(missReport('a'));
    await world.run(1_500);
    expect(parts()).to.deep.equal(['b']);
    expect(sent.flatMap((one) => one.events)).to.deep.equal([{ isKept: false, salt: 's', part: 'a', tokens: 0 }]);
    source.events.push(event('a'));
    await world.run(1_500);
    expect(parts()).to.deep.equal(['a', 'b']);
    expect(follower.staleEntryCounts()).to.deep.include({ missed: 1, falseAlarms: 0 });
  });

  it('given a prompt part that an edge found missing, when its removal event arrives only after the report, then it counts as a false alarm', async () => {
    const { world, follower, source } = await setUp();
    source.events.push(event('a'));
    await world.run(1_500);
    follower.handleCacheMiss(missReport('a'));
    source.events.push(event('a', 0));
    await world.run(1_500);
    expect(follower.staleEntryCounts()).to.deep.include({ missed: 1, falseAlarms: 1 });
  });

  it('given a new replica at an address, when the endpoint list shows it before the cache events do, then the entries of the previous one are discarded at once, and the new epoch discards nothing more', async () => {
    const { world, follower, source, parts } = await setUp();
    follower.updateReplicaIds(address, new Set(['i-1']));
    source.events.push(event('a'));
    await world.run(1_500);
    source.isUnresponsive = true;
    follower.updateReplicaIds(address, new Set(['i-1', 'i-2']));
    expect(parts()).to.deep.equal([]);
    Object.assign(source, { epoch: 2, events: [event('b')], isUnresponsive: false });
    await world.run(2_500);
    follower.updateReplicaIds(address, new Set(['i-2']));
    expect(parts()).to.deep.equal(['b']);
    expect(follower.staleEntryCounts()).to.deep.include({ lives: 1 });
  });

  it('given a new epoch with more events than were received of the previous one, when it is seen, then its events are read from the first one', async () => {
    const { world, source, parts } = await setUp();
    source.events.push(event('a'), event('b'));
    await world.run(1_500);
    Object.assign(source, { epoch: 2, events: [event('c'), event('d'), event('e')] });
    await world.run(2_500);
    expect(parts()).to.deep.equal(['c', 'd', 'e']);
  });
});
