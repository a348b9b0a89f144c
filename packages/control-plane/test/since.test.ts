import { expect } from 'chai';
import { SimWorld } from '@martenworks/test-fleet';
import { stateMachine } from '@martenworks/core-types';
import type { Change } from '@martenworks/core-types';
import { acceptors } from '@martenworks/control-plane';
import type { Acceptor } from '@martenworks/control-plane';

const routingTableOf = async (world: SimWorld, host: string): Promise<Acceptor> => {
  const { disk, clock, random, log } = world.machine(host).ports();
  let opened: Acceptor | null = null;
  void acceptors.open(disk, clock, random, log).then((outcome) => (opened = outcome._unsafeUnwrap()));
  await world.until('the ledger', () => opened !== null);
  return opened as unknown as Acceptor;
};

const done = async <T>(world: SimWorld, work: Promise<T>): Promise<T> => {
  let outcome: { value: T } | null = null;
  void work.then((value) => (outcome = { value }));
  await world.until('a call', () => outcome !== null);
  return (outcome as unknown as { value: T }).value;
};

const named = (version: number): Change => ({
  id: `weights/m/${version}`,
  digest: String(version),
  body: { kind: 'weights', model: 'm', version },
});

describe('catching up', () => {
  it('given a control node that was apart, when it asks for what it missed, then a few changes come as changes, many as one snapshot, and one reply always brings it up to date', async () => {
    for (const missed of [1, 16, 17, 100]) {
      const world = new SimWorld(7);
      const [ahead, behind] = [await routingTableOf(world, '10.0.0.1'), await routingTableOf(world, '10.0.0.2')];
      const founded = stateMachine.initialState([{ name: 'a', address: '10.0.0.1:1', incarnation: ahead.incarnation }]);
      await done(world, ahead.adopt(founded));
      await done(world, behind.adopt(founded));
      for (let version = 1; version <= missed; version += 1)
        await done(world, ahead.commit({ logIndex: version, change: named(version) }));
      const since = ahead.since(behind.agreed()?.logIndex ?? -1);
      expect(since.kind).to.equal(missed > 16 ? 'checkpoint' : 'changes');
      if (since.kind === 'checkpoint') await done(world, behind.adopt(since.agreed));
      if (since.kind === 'changes')
        for (const committed of since.committed) await done(world, behind.commit(committed));
      expect(behind.agreed()).to.deep.equal(ahead.agreed());
    }
  });
});
