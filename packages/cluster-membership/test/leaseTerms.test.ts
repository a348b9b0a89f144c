import { expect } from 'chai';
import { SimWorld } from '@martenworks/test-fleet';
import { LeaseManager, LeaseTable } from '@martenworks/cluster-membership';
import type { LeaseRequest, LeaseReply, LeaseTerms } from '@martenworks/cluster-membership';

const office = (gapMs: number) => {
  const world = new SimWorld(11);
  const { clock } = world.machine('10.0.0.1').ports();
  let logIndex = 1;
  const terms: LeaseTerms = { leaseMs: 1_600, marginMs: 400, gapMs, fenceFloor: () => logIndex * 1_000 };
  const leaseTables = Array.from({ length: 3 }, () => new LeaseTable(clock, async () => true, [], false, terms));
  const dutiesOf = (name: string, reached: () => readonly number[]) =>
    new LeaseManager(
      clock,
      () => name,
      () => ['a', 'b'],
      () => ['weights'],
      async (ask: LeaseRequest): Promise<LeaseReply[]> =>
        Promise.all(reached().map((at) => (leaseTables[at] as LeaseTable).grant(ask))),
      (ask) =>
        leaseTables.forEach((leaseTable) => {
          leaseTable.release(ask);
        }),
      () => 2,
      () => {},
      terms,
    );
  return { world, leaseTables, terms, dutiesOf, clock, raise: () => ++logIndex };
};

const turn = async (
  world: SimWorld,
  duties: readonly LeaseManager[],
  forMs: number,
  seen: (at: number) => void = () => {},
): Promise<void> => {
  for (let spent = 0; spent < forMs; spent += 100) {
    for (const one of duties) void one.tick();
    await world.run(100);
    seen(world.time);
  }
};

describe('leases with a gap between holders', () => {
  it('given a holder that falls silent, when another takes over, then never two hold at once and the gap lies between their last and first moment', async () => {
    const { world, dutiesOf } = office(3_000);
    let isCut = false;
    const a = dutiesOf('a', () => (isCut ? [] : [0, 1, 2]));
    const b = dutiesOf('b', () => [0, 1, 2]);
    await turn(world, [a], 6_000);
    expect(a.fencingTokenOf('weights')).to.not.equal(null);
    isCut = true;
    let lastOfA = 0;
    let firstOfB = 0;
    await turn(world, [a, b], 9_000, (at) => {
      if (a.fencingTokenOf('weights') !== null) lastOfA = at;
      if (b.fencingTokenOf('weights') !== null && firstOfB === 0) firstOfB = at;
    });
    expect(firstOfB).to.be.greaterThan(0);
    expect(firstOfB - lastOfA).to.be.at.least(3_000);
    expect(b.fencingTokenOf('weights')).to.be.greaterThan(1_001);
  });

  it('given voters that start anew and forgot a grant, when another asks at once, then it waits as long as the old one might still act', async () => {
    const { world, leaseTables, dutiesOf } = office(3_000);
    const b = dutiesOf('b', () => [0, 1, 2]);
    await turn(world, [b], 4_000);
    expect(leaseTables.length).to.equal(3);
    expect(b.fencingTokenOf('weights')).to.equal(null);
    await turn(world, [b], 2_000);
    expect(b.fencingTokenOf('weights')).to.not.equal(null);
  });

  it('given a voter that lost its disk and was swapped in anew, when the others raise the generation, then every later fence is above all earlier ones', async () => {
    const { world, leaseTables, terms, clock, raise, dutiesOf } = office(0);
    const a = dutiesOf('a', () => [0, 1]);
    await turn(world, [a], 3_000);
    const before = a.fencingTokenOf('weights') as number;
    raise();
    leaseTables[0] = new LeaseTable(clock, async () => true, [], false, terms);
    await world.run(5_000);
    const b = dutiesOf('b', () => [0, 2]);
    await turn(world, [b], 3_000);
    expect(b.fencingTokenOf('weights')).to.be.greaterThan(before);
  });
});
