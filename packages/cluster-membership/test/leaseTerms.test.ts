import { expect } from 'chai';
import { SimWorld } from '@martenworks/test-fleet';
import { LeaseManager, LeaseTable } from '@martenworks/cluster-membership';
import type { LeaseRequest, LeaseReply, LeaseTerms } from '@martenworks/cluster-membership';

const setUp = (gapMs: number) => {
  const world = new SimWorld(11);
  const { clock } = world.machine('10.0.0.1').ports();
  let logIndex = 1;
  const terms: LeaseTerms = { leaseMs: 1_600, marginMs: 400, gapMs, fenceFloor: () => logIndex * 1_000 };
  const leaseTables = Array.from({ length: 3 }, () => new LeaseTable(clock, async () => true, [], false, terms));
  const leaseManagerOf = (name: string, reachableVoters: () => readonly number[]) =>
    new LeaseManager(
      clock,
      () => name,
      () => ['a', 'b'],
      () => ['weights'],
      async (request: LeaseRequest): Promise<LeaseReply[]> =>
        Promise.all(reachableVoters().map((at) => (leaseTables[at] as LeaseTable).grant(request))),
      (request) =>
        leaseTables.forEach((leaseTable) => {
          leaseTable.release(request);
        }),
      () => 2,
      () => {},
      terms,
    );
  return { world, leaseTables, terms, leaseManagerOf, clock, raiseFloor: () => ++logIndex };
};

const runTicks = async (
  world: SimWorld,
  leaseManagers: readonly LeaseManager[],
  forMs: number,
  onTick: (at: number) => void = () => {},
): Promise<void> => {
  for (let spent = 0; spent < forMs; spent += 100) {
    for (const one of leaseManagers) void one.tick();
    await world.run(100);
    onTick(world.time);
  }
};

describe('leases with a gap between holders', () => {
  it('given a holder that loses contact, when another node takes over, then at least the gap lies between the end of the old lease and the start of the new one', async () => {
    const { world, leaseManagerOf } = setUp(3_000);
    let isDisconnected = false;
    const a = leaseManagerOf('a', () => (isDisconnected ? [] : [0, 1, 2]));
    const b = leaseManagerOf('b', () => [0, 1, 2]);
    await runTicks(world, [a], 6_000);
    expect(a.fencingTokenOf('weights')).to.not.equal(null);
    isDisconnected = true;
    let lastHeldByA = 0;
    let firstHeldByB = 0;
    await runTicks(world, [a, b], 9_000, (at) => {
      if (a.fencingTokenOf('weights') !== null) lastHeldByA = at;
      if (b.fencingTokenOf('weights') !== null && firstHeldByB === 0) firstHeldByB = at;
    });
    expect(firstHeldByB).to.be.greaterThan(0);
    expect(firstHeldByB - lastHeldByA).to.be.at.least(3_000);
    expect(b.fencingTokenOf('weights')).to.be.greaterThan(1_001);
  });

  it('given voters that have restarted and may have forgotten a grant, when a node requests it at once, then it is granted only after the old lease has expired', async () => {
    const { world, leaseTables, leaseManagerOf } = setUp(3_000);
    const b = leaseManagerOf('b', () => [0, 1, 2]);
    await runTicks(world, [b], 4_000);
    expect(leaseTables.length).to.equal(3);
    expect(b.fencingTokenOf('weights')).to.equal(null);
    await runTicks(world, [b], 2_000);
    expect(b.fencingTokenOf('weights')).to.not.equal(null);
  });

  it('given a voter that lost its disk and was swapped in again, when the others raise the floor, then every later fencing token is higher than all earlier ones', async () => {
    const { world, leaseTables, terms, clock, raiseFloor, leaseManagerOf } = setUp(0);
    const a = leaseManagerOf('a', () => [0, 1]);
    await runTicks(world, [a], 3_000);
    const before = a.fencingTokenOf('weights') as number;
    raiseFloor();
    leaseTables[0] = new LeaseTable(clock, async () => true, [], false, terms);
    await world.run(5_000);
    const b = leaseManagerOf('b', () => [0, 2]);
    await runTicks(world, [b], 3_000);
    expect(b.fencingTokenOf('weights')).to.be.greaterThan(before);
  });
});
