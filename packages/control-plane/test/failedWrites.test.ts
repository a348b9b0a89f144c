import { expect } from 'chai';
import type { ClaimState, ReplicaRecord } from '@martenworks/core-types';
import { LeaseTable } from '@martenworks/cluster-membership';
import { claimTables, leaseTables, replicaTables } from '@martenworks/control-plane';
import { SimWorld } from '@martenworks/test-fleet';

const createMachine = () => {
  const world = new SimWorld(5);
  const machine = world.machine('10.0.0.1');
  return { world, machine, ports: machine.ports(), diskFaults: machine.disk.faults };
};

const finish = async <T>(world: SimWorld, work: Promise<T>): Promise<T> => {
  const results: { value: T }[] = [];
  void work.then((value) => results.push({ value }));
  await world.until('the call to complete', () => results.length > 0);
  return (results[0] as { value: T }).value;
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

describe('failed writes', () => {
  it('given a lease grant whose write failed, when the same holder requests it again, then it is not treated as a renewal and nothing is granted until a write succeeds', async () => {
    const { world, ports, diskFaults } = createMachine();
    const { table: leaseTable } = (
      await finish(world, leaseTables.open(ports.disk, ports.clock, ports.log))
    )._unsafeUnwrap();
    const request = { holder: 'a', duties: [{ duty: 'weights', fence: 1 }] };
    diskFaults.isFull = true;
    expect((await finish(world, leaseTable.grant(request))).granted).to.deep.equal([]);
    expect((await finish(world, leaseTable.grant(request))).granted).to.deep.equal([]);
    expect(leaseTable.fences()).to.deep.equal([]);
    diskFaults.isFull = false;
    expect((await finish(world, leaseTable.grant(request))).granted).to.deep.equal(['weights']);
    const reopened = (await finish(world, leaseTables.open(ports.disk, ports.clock, ports.log)))._unsafeUnwrap();
    expect(reopened.table.fences()).to.deep.equal([['weights', 1]]);
  });

  it('given a lease grant whose write is in progress, when its holder or others request the lease, then it is granted to nobody before the write completes, and a release in between takes effect', async () => {
    const { world, ports } = createMachine();
    const writes: ((isWritten: boolean) => void)[] = [];
    const leaseTable = new LeaseTable(ports.clock, () => new Promise((resolve) => writes.push(resolve)), [], true);
    const request = (holder: string, fence: number) => ({ holder, duties: [{ duty: 'weights', fence }] });
    const first = leaseTable.grant(request('a', 1));
    expect((await finish(world, leaseTable.grant(request('a', 1)))).granted).to.deep.equal([]);
    expect((await finish(world, leaseTable.grant(request('b', 2)))).granted).to.deep.equal([]);
    leaseTable.release(request('a', 1));
    writes[0]?.(true);
    await finish(world, first);
    const second = leaseTable.grant(request('b', 2));
    await world.run(1);
    writes[1]?.(true);
    expect((await finish(world, second)).granted).to.deep.equal(['weights']);
  });

  it('given a claim whose release could not be written, when it is released again on a full disk, then that release fails too', async () => {
    const { world, ports, diskFaults } = createMachine();
    const table = (await finish(world, claimTables.open(ports.disk, ports.clock, ports.log, 60_000)))._unsafeUnwrap();
    diskFaults.isFull = true;
    expect(await finish(world, table.release('key', 0))).to.equal(false);
    expect(await finish(world, table.release('key', 0))).to.equal(false);
    diskFaults.isFull = false;
    expect(await finish(world, table.release('key', 0))).to.equal(true);
    const reopened = (
      await finish(world, claimTables.open(ports.disk, ports.clock, ports.log, 60_000))
    )._unsafeUnwrap();
    expect(reopened.page(0).entries[0]?.[1].turn).to.equal(1);
  });

  it('given a page of claims whose write failed, when it is sent again on a full disk, then it is not reported as stored', async () => {
    const { world, ports, diskFaults } = createMachine();
    const table = (await finish(world, claimTables.open(ports.disk, ports.clock, ports.log, 60_000)))._unsafeUnwrap();
    const state: ClaimState = { turn: 3, promised: [1, 'a'], accepted: null };
    const page = { entries: [['key', state] as const], next: null };
    diskFaults.isFull = true;
    expect(await finish(world, table.mergePage(page))).to.equal(false);
    expect(await finish(world, table.mergePage(page))).to.equal(false);
    diskFaults.isFull = false;
    expect(await finish(world, table.mergePage(page))).to.equal(true);
  });

  it('given two replica records, when only the write of the second fails, then watchers are still notified of the first', async () => {
    const { world, ports, diskFaults } = createMachine();
    const table = (await finish(world, replicaTables.open(ports.disk, ports.log)))._unsafeUnwrap();
    const observed: string[] = [];
    table.watch((records) => observed.push(...records.map(({ name }) => name)));
    diskFaults.isFull = false;
    let appends = 0;
    const wal = (table as unknown as { wal: { append: (record: unknown) => Promise<unknown> } }).wal;
    const { append } = wal;
    wal.append = (record) => {
      appends += 1;
      if (appends === 2) diskFaults.isFull = true;
      return append(record);
    };
    expect((await finish(world, table.merge([replica('one'), replica('two')]))).isErr()).to.equal(true);
    expect(observed).to.deep.equal(['one']);
    diskFaults.isFull = false;
    expect((await finish(world, table.merge([replica('one'), replica('two')]))).isOk()).to.equal(true);
    expect(observed).to.deep.equal(['one', 'two']);
  });
});
