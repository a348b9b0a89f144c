import { expect } from 'chai';
import type { ClaimState, ReplicaRecord } from '@martenworks/core-types';
import { LeaseTable } from '@martenworks/cluster-membership';
import { claimTables, leaseTables, replicaTables } from '@martenworks/control-plane';
import { SimWorld } from '@martenworks/test-fleet';

const started = () => {
  const world = new SimWorld(5);
  const machine = world.machine('10.0.0.1');
  return { world, machine, ports: machine.ports(), mood: machine.disk.faults };
};

const finish = async <T>(world: SimWorld, work: Promise<T>): Promise<T> => {
  const held: { value: T }[] = [];
  void work.then((value) => held.push({ value }));
  await world.until('a call', () => held.length > 0);
  return (held[0] as { value: T }).value;
};

const replica = (name: string): ReplicaRecord => ({
  name,
  kind: 'replica',
  incarnation: 1,
  state: 'ready',
  pool: 'main',
  address: `${name}:1`,
  zone: 'a',
  slots: 4,
  born: 1,
  sides: [],
});

describe('writes that fail', () => {
  it('given a lease whose write failed, when the same holder asks again, then it is no renewal: nothing is granted until a write holds', async () => {
    const { world, ports, mood } = started();
    const { table: leaseTable } = (
      await finish(world, leaseTables.open(ports.disk, ports.clock, ports.log))
    )._unsafeUnwrap();
    const ask = { holder: 'a', duties: [{ duty: 'weights', fence: 1 }] };
    mood.isFull = true;
    expect((await finish(world, leaseTable.grant(ask))).granted).to.deep.equal([]);
    expect((await finish(world, leaseTable.grant(ask))).granted).to.deep.equal([]);
    expect(leaseTable.fences()).to.deep.equal([]);
    mood.isFull = false;
    expect((await finish(world, leaseTable.grant(ask))).granted).to.deep.equal(['weights']);
    const again = (await finish(world, leaseTables.open(ports.disk, ports.clock, ports.log)))._unsafeUnwrap();
    expect(again.table.fences()).to.deep.equal([['weights', 1]]);
  });

  it('given a lease whose write is under way, when others or its holder ask, then nobody is granted it before the write is done, and a release in between counts', async () => {
    const { world, ports } = started();
    const writes: ((isKept: boolean) => void)[] = [];
    const leaseTable = new LeaseTable(ports.clock, () => new Promise((resolve) => writes.push(resolve)), [], true);
    const ask = (holder: string, fence: number) => ({ holder, duties: [{ duty: 'weights', fence }] });
    const first = leaseTable.grant(ask('a', 1));
    expect((await finish(world, leaseTable.grant(ask('a', 1)))).granted).to.deep.equal([]);
    expect((await finish(world, leaseTable.grant(ask('b', 2)))).granted).to.deep.equal([]);
    leaseTable.release(ask('a', 1));
    writes[0]?.(true);
    await finish(world, first);
    const second = leaseTable.grant(ask('b', 2));
    await world.run(1);
    writes[1]?.(true);
    expect((await finish(world, second)).granted).to.deep.equal(['weights']);
  });

  it('given a claim whose release was not written, when it is released again on a full disk, then that is refused as well', async () => {
    const { world, ports, mood } = started();
    const table = (await finish(world, claimTables.open(ports.disk, ports.clock, ports.log, 60_000)))._unsafeUnwrap();
    mood.isFull = true;
    expect(await finish(world, table.release('key', 0))).to.equal(false);
    expect(await finish(world, table.release('key', 0))).to.equal(false);
    mood.isFull = false;
    expect(await finish(world, table.release('key', 0))).to.equal(true);
    const again = (await finish(world, claimTables.open(ports.disk, ports.clock, ports.log, 60_000)))._unsafeUnwrap();
    expect(again.page(0).entries[0]?.[1].turn).to.equal(1);
  });

  it('given a page of claims whose write failed, when it is taken again on a full disk, then it does not count as taken', async () => {
    const { world, ports, mood } = started();
    const table = (await finish(world, claimTables.open(ports.disk, ports.clock, ports.log, 60_000)))._unsafeUnwrap();
    const state: ClaimState = { turn: 3, promised: [1, 'a'], accepted: null };
    const page = { entries: [['key', state] as const], next: null };
    mood.isFull = true;
    expect(await finish(world, table.mergePage(page))).to.equal(false);
    expect(await finish(world, table.mergePage(page))).to.equal(false);
    mood.isFull = false;
    expect(await finish(world, table.mergePage(page))).to.equal(true);
  });

  it('given two replica records of which only the first is written, when the write of the second fails, then watchers still learn of the first', async () => {
    const { world, ports, mood } = started();
    const table = (await finish(world, replicaTables.open(ports.disk, ports.log)))._unsafeUnwrap();
    const seen: string[] = [];
    table.watch((records) => seen.push(...records.map(({ name }) => name)));
    mood.isFull = false;
    let appends = 0;
    const wal = (table as unknown as { wal: { append: (record: unknown) => Promise<unknown> } }).wal;
    const { append } = wal;
    wal.append = (record) => {
      appends += 1;
      if (appends === 2) mood.isFull = true;
      return append(record);
    };
    expect((await finish(world, table.merge([replica('one'), replica('two')]))).isErr()).to.equal(true);
    expect(seen).to.deep.equal(['one']);
    mood.isFull = false;
    expect((await finish(world, table.merge([replica('one'), replica('two')]))).isOk()).to.equal(true);
    expect(seen).to.deep.equal(['one', 'two']);
  });
});
