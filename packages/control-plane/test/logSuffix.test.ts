import { expect } from 'chai';
import { SimWorld } from '@martenworks/test-fleet';
import { stateMachine } from '@martenworks/core-types';
import type { Change } from '@martenworks/core-types';
import { acceptors } from '@martenworks/control-plane';
import type { Acceptor } from '@martenworks/control-plane';

const openAcceptor = async (world: SimWorld, host: string): Promise<Acceptor> => {
  const { disk, clock, random, log } = world.machine(host).ports();
  let opened: Acceptor | null = null;
  void acceptors.open(disk, clock, random, log).then((outcome) => (opened = outcome._unsafeUnwrap()));
  await world.until('the log to open', () => opened !== null);
  return opened as unknown as Acceptor;
};

const complete = async <T>(world: SimWorld, work: Promise<T>): Promise<T> => {
  let outcome: { value: T } | null = null;
  void work.then((value) => (outcome = { value }));
  await world.until('the call to complete', () => outcome !== null);
  return (outcome as unknown as { value: T }).value;
};

const weightsChange = (version: number): Change => ({
  id: `weights/m/${version}`,
  digest: String(version),
  body: { kind: 'weights', model: 'm', version },
});

describe('the log suffix after an index', () => {
  it('given a control node that was disconnected, when it requests what it missed, then it receives up to 16 changes one by one, more as one snapshot, and one reply always brings it up to date', async () => {
    for (const missed of [1, 16, 17, 100]) {
      const world = new SimWorld(7);
      const [ahead, behind] = [await openAcceptor(world, '10.0.0.1'), await openAcceptor(world, '10.0.0.2')];
      const initialState = stateMachine.initialState([
        { name: 'a', address: '10.0.0.1:1', incarnation: ahead.incarnation },
      ]);
      await complete(world, ahead.adopt(initialState));
      await complete(world, behind.adopt(initialState));
      for (let version = 1; version <= missed; version += 1)
        await complete(world, ahead.commit({ logIndex: version, change: weightsChange(version) }));
      const logSuffix = ahead.logSuffixAfter(behind.committedState()?.logIndex ?? -1);
      expect(logSuffix.kind).to.equal(missed > 16 ? 'checkpoint' : 'changes');
      if (logSuffix.kind === 'checkpoint') await complete(world, behind.adopt(logSuffix.agreed));
      if (logSuffix.kind === 'changes')
        for (const committed of logSuffix.committed) await complete(world, behind.commit(committed));
      expect(behind.committedState()).to.deep.equal(ahead.committedState());
    }
  });
});
