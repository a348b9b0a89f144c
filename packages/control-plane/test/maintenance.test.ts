import { expect } from 'chai';
import { writeAheadLogs } from '@martenworks/write-ahead-log';
import { acceptors, compressedChanges, compressedStates, recovery } from '@martenworks/control-plane';
import { protocolVersion } from '@martenworks/peer-transport';
import { InvariantChecker, keyOf, sampleWorkload, SimFleet, stateViolations } from '@martenworks/test-fleet';
import type { SimDisk } from '@martenworks/test-fleet';

const sizeOf = (disk: SimDisk): number => [...disk.files.values()].reduce((sum, file) => sum + file.synced.length, 0);

const startFleet = async (
  seed: number,
  settings: Partial<ConstructorParameters<typeof SimFleet>[0]> = {},
): Promise<SimFleet> => {
  const fleet = new SimFleet({ seed, gatewayCount: 3, replicaCount: 4, ...settings });
  await fleet.up();
  return fleet;
};

/** Acceptor records as written by earlier releases: uncompressed, and with the change repeated in each commit record. */
const legacyRecords = (records: readonly unknown[]): unknown[] => {
  let accepted: unknown = null;
  return (records as readonly Record<string, unknown>[]).map((record) => {
    switch (record.t) {
      case 'adoptedCompressed':
        return { t: 'adopted', agreed: compressedStates.decode(record.agreed as Uint8Array) };
      case 'acceptedCompressed': {
        accepted = compressedChanges.decode(record.change as Uint8Array);
        return { t: 'accepted', slot: record.slot, accepted: { ballot: record.ballot, change: accepted } };
      }
      case 'settledCompressed':
        accepted = compressedChanges.decode(record.change as Uint8Array);
        return { t: 'settled', settled: { generation: record.logIndex, change: accepted } };
      case 'settledAsAccepted':
        return { t: 'settled', settled: { generation: record.logIndex, change: accepted } };
      default:
        return record;
    }
  });
};

describe('rolling restarts', () => {
  it('given load, when every control node and gateway is restarted in turn, then no accepted change and no started response is lost', async () => {
    const fleet = await startFleet(61);
    const checker = new InvariantChecker(fleet);
    checker.startTraffic(40, 45_000);
    for (let round = 0; round < 3; round += 1) {
      const base = Number(
        (await fleet.finish(fleet.callControlNode(round, 'GET', '/operator/layout'))).body.generation,
      );
      const response = await fleet.finish(
        fleet.callControlNode(
          round,
          'PATCH',
          '/operator/layout',
          { tiers: { steady: { rank: 1, horizonMs: 20_000 + round } } },
          { 'if-match': `"${base}"`, 'change-id': `roll-${round}` },
        ),
      );
      expect(response.status).to.equal(200);
      checker.acceptedChanges.set(`roll-${round}`, Number(response.body.generation));
      await fleet.finish(fleet.restartControlNode(round));
      await fleet.world.until(
        'the restarted control node to be ready',
        () => fleet.controlNodes[round]?.isReady() === true,
      );
      await fleet.finish(fleet.restartGateway(round), 60_000);
      await fleet.world.until(
        'the restarted gateway to be up to date',
        () => fleet.gateways[round]?.freshness.isFresh() === true,
      );
    }
    await fleet.world.run(60_000);
    const metrics = checker.outcomeCounts();
    expect(metrics.cut ?? 0, JSON.stringify(metrics)).to.equal(0);
    for (const call of checker.calls) {
      if (call.outcome === 'lost') expect(call.code).to.equal('ECONNREFUSED');
      if (call.outcome === 'denied')
        expect([call.code, call.ran, call.retryAfter === null]).to.deep.equal([
          call.code === 'draining' ? 'draining' : 'not_fresh',
          'no',
          false,
        ]);
    }
    expect(metrics.whole ?? 0).to.be.greaterThan(checker.calls.length * 0.9);
    expect([...checker.violations(), ...stateViolations(fleet, checker)]).to.deep.equal([]);
  });

  it('given a gateway with another protocol version, when it connects to the fleet, then it is rejected and logs this, and the others continue to serve', async () => {
    let hasOtherVersion = false;
    const fleet = await startFleet(62, {
      onGatewayStarted: (gateway) => {
        if (!hasOtherVersion) return;
        const hello = gateway.hello;
        (gateway.peerPool as unknown as { own: () => unknown }).own = () => ({
          ...hello(),
          release: protocolVersion + 1,
        });
      },
    });
    hasOtherVersion = true;
    fleet.killGateway(2);
    await fleet.bootGateway(2);
    await fleet.world.run(100);
    for (const connection of fleet.gateways[2]?.peerPool.openConnections() ?? []) connection.close();
    await fleet.world.run(10_000);
    expect(fleet.gateways.map((gateway) => gateway?.freshness.isFresh())).to.deep.equal([true, true, false]);
    expect(fleet.world.logLines.some((line) => line.context.cause === 'peer protocol version mismatch')).to.equal(true);
    const checker = new InvariantChecker(fleet);
    const request = {
      ...sampleWorkload.request(fleet.world.random, 1),
      kind: 'query' as const,
      tenant: 'north',
      key: keyOf('north'),
    };
    const calls = [0, 1, 2].map((at) => checker.send(request, at));
    await fleet.world.run(3_000);
    expect(calls.map((call) => call.outcome)).to.deep.equal(['whole', 'whole', 'denied']);
    expect([calls[2]?.code, calls[2]?.ran]).to.deep.equal(['not_fresh', 'no']);
  });
});

describe('log maintenance', () => {
  it('given hundreds of large changes, when they are stored, then disk usage stays bounded, and a restarted control node has all of them', async () => {
    const fleet = await startFleet(63, { gatewayCount: 1, replicaCount: 2 });
    const lanes = Object.fromEntries(
      Array.from({ length: 400 }, (_, at) => [`lane-${at}`, { pool: 'main', repeat: 'freely' }]),
    );
    let base = 1;
    let maxDiskBytes = 0;
    for (let round = 0; round < 300; round += 1) {
      const response = await fleet.finish(
        fleet.callControlNode(
          round % 3,
          'PATCH',
          '/operator/layout',
          { lanes, tiers: { steady: { rank: 1, horizonMs: 10_000 + round } } },
          { 'if-match': `"${base}"`, 'change-id': `wide-${round}` },
        ),
      );
      expect(response.status, JSON.stringify(response.body)).to.equal(200);
      base = Number(response.body.generation);
      maxDiskBytes = Math.max(maxDiskBytes, ...[0, 1, 2].map((at) => sizeOf(fleet.machineOf('control', at).disk)));
    }
    expect(maxDiskBytes).to.be.lessThan(12 * 1024 * 1024);
    fleet.killControlNode(1);
    await fleet.bootControlNode(1);
    expect(fleet.controlNodes[1]?.acceptor.committedState()?.configLogIndex).to.equal(base);
    expect(Object.keys(fleet.controlNodes[1]?.acceptor.committedState()?.changeIds ?? {}).length).to.be.greaterThan(
      300,
    );
  });

  it('given an empty machine, when it replaces a lost one, then it catches up from the others and votes within six seconds', async () => {
    const fleet = await startFleet(64);
    fleet.killControlNode(2, true);
    await fleet.world.run(3_000);
    await fleet.bootControlNode(2);
    const waitedMs = await fleet.world.until(
      'the node to be a voter',
      () => fleet.controlNodes[2]?.acceptor.isVoter() === true,
    );
    expect(waitedMs).to.be.lessThan(6_000);
    expect(fleet.controlNodes[2]?.replicaTable.records().length).to.equal(5);
    expect(fleet.controlNodes[2]?.acceptor.committedState()?.changeIds['first-layout']).to.not.equal(undefined);
  });

  it('given a log damaged before its tail, when its control node starts, then the file and offset are logged, the node starts empty under a new incarnation, and it becomes a voter again with the committed state', async () => {
    for (const prefix of ['decrees', 'leases', 'replicas', 'claims']) {
      const fleet = await startFleet(65);
      const checker = new InvariantChecker(fleet);
      checker.startKeyedTraffic(10, 1_000);
      await fleet.world.run(3_000);
      const before = fleet.controlNodes[0]?.acceptor.incarnation;
      const state = fleet.controlNodes[1]?.acceptor.committedState();
      fleet.killControlNode(0);
      const machine = fleet.machineOf('control', 0);
      const [name, segment] = [...machine.disk.files].find(([file]) => file.startsWith(`${prefix}-segment`)) ?? [];
      if (prefix === 'leases' && segment === undefined) throw new Error('no lease was stored');
      if (name === undefined || segment === undefined) throw new Error(`no log segment with prefix ${prefix}`);
      segment.synced[20] = (segment.synced[20] ?? 0) ^ 0x55;
      await fleet.bootControlNode(0);
      const restarted = fleet.controlNodes[0]?.acceptor;
      expect(restarted?.incarnation).to.not.equal(before);
      const logLine = fleet.world.logLines.find((line) => line.context.file === name);
      expect(logLine?.context).to.include({ file: name, offset: 0 });
      const waitedMs = await fleet.world.until('the node to be a voter', () => restarted?.isVoter() === true);
      expect(waitedMs).to.be.lessThan(6_000);
      expect(restarted?.committedState()?.configLogIndex).to.equal(state?.configLogIndex);
      expect(fleet.controlNodes[1]?.acceptor.committedState()?.members.length).to.equal(3);
    }
  });

  it('given a control node that removes its damaged logs, when power fails before any step of the removal, then it never restarts with its old incarnation or a committed state', async () => {
    const fleet = await startFleet(68);
    const before = fleet.controlNodes[0]?.acceptor.incarnation;
    fleet.killControlNode(0);
    const machine = fleet.machineOf('control', 0);
    const segment = [...machine.disk.files].find(([file]) => file.startsWith('replicas-segment'));
    if (segment === undefined) throw new Error('no log segment');
    segment[1].synced[20] = (segment[1].synced[20] ?? 0) ^ 0x55;
    const images: SimDisk[] = [];
    machine.disk.beforeMutation = () => void images.push(machine.disk.copy());
    machine.boot();
    const { disk, clock, random, log } = machine.ports();
    await fleet.finish(acceptors.open(disk, clock, random, log));
    expect(images.length).to.be.greaterThan(3);
    for (const image of images) {
      const opened = await fleet.finish(
        acceptors.open(
          image.view(() => true),
          clock,
          random,
          log,
        ),
      );
      const acceptor = opened._unsafeUnwrap();
      expect(acceptor.incarnation).to.not.equal(before);
      expect(acceptor.committedState()).to.equal(null);
    }
  });

  it('given a damaged log, when manual recovery is run on it, then it fails with the name of the file and removes nothing', async () => {
    const fleet = await startFleet(69);
    fleet.killControlNode(0);
    const machine = fleet.machineOf('control', 0);
    const [name, segment] = [...machine.disk.files].find(([file]) => file.startsWith('decrees-segment')) ?? [];
    if (name === undefined || segment === undefined) throw new Error('no log segment');
    segment.synced[20] = (segment.synced[20] ?? 0) ^ 0x55;
    const files = [...machine.disk.files.keys()];
    machine.boot();
    const { disk, clock, random, log } = machine.ports();
    const outcome = await fleet.finish(recovery.recover(disk, clock, random, log, []));
    expect(outcome._unsafeUnwrapErr()).to.include({ kind: 'corrupt', file: name, offset: 0 });
    expect([...machine.disk.files.keys()]).to.deep.equal(files);
  });

  it('given logs of a release without `sides` and `storeSince`, when all three control nodes start with them, then requests are served and no cache source of unknown state is used', async () => {
    const fleet = await startFleet(67);
    for (const at of [0, 1, 2]) fleet.killControlNode(at);
    for (const at of [0, 1, 2]) {
      const machine = fleet.machineOf('control', at);
      machine.boot();
      const { disk } = machine.ports();
      for (const prefix of ['decrees', 'replicas']) {
        const stored = (await fleet.finish(writeAheadLogs.open(disk, prefix)))._unsafeUnwrap();
        const legacy = JSON.parse(
          JSON.stringify(
            prefix === 'decrees' ? legacyRecords(stored.records) : stored.records,
            (key, value: unknown) => (key === 'sides' || key === 'storeSince' ? undefined : value),
          ),
        ) as unknown[];
        for (const name of [...machine.disk.files.keys()]) if (name.startsWith(prefix)) machine.disk.files.delete(name);
        const { wal } = (await fleet.finish(writeAheadLogs.open(disk, prefix)))._unsafeUnwrap();
        const names = legacy.map((record) => (record as { name?: string }).name);
        const records =
          prefix === 'replicas' ? legacy.filter((_, index) => names.indexOf(names[index]) === index) : legacy;
        for (const record of records) await fleet.finish(wal.append(record));
      }
      await fleet.startControlNode(at);
    }
    for (const at of [0, 1]) {
      fleet.killGateway(at);
      await fleet.bootGateway(at);
    }
    await fleet.world.run(12_000);
    const checker = new InvariantChecker(fleet);
    checker.startTraffic(40, 6_000, 0.1);
    await fleet.world.run(20_000);
    expect(checker.outcomeCounts()).to.deep.equal({ whole: checker.calls.length });
    expect(checker.allRuns().filter((run) => run.cacheFrom !== null).length).to.equal(0);
    expect(
      fleet.controlNodes[0]?.replicaTable.records().every((record) => record.sides.includes('*unknown*')),
    ).to.equal(true);
  });

  it('given claims past their retention, when control nodes drop them, then none is left in memory', async () => {
    const fleet = await startFleet(66, { controlNodeSettings: { claimRetentionMs: 5_000 } });
    const checker = new InvariantChecker(fleet);
    checker.startKeyedTraffic(40, 20_000);
    await fleet.world.run(21_000);
    const sizes = fleet.controlNodes.map((node) => node?.claimTable.size() ?? 0);
    expect(Math.max(...sizes)).to.be.lessThan(600);
    await fleet.world.run(15_000);
    expect(fleet.controlNodes.map((node) => node?.claimTable.size())).to.deep.equal([0, 0, 0]);
    expect(checker.violations()).to.deep.equal([]);
  });
});
