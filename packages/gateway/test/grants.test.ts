import { expect } from 'chai';
import { InvariantChecker, keyOf, requestKinds, sampleWorkload, SimFleet } from '@martenworks/test-fleet';
import type { SampleRequest } from '@martenworks/test-fleet';

const configOf = (more: Record<string, unknown> = {}): Record<string, unknown> => ({
  ...sampleWorkload.config('weights-1'),
  tenants: { north: { tier: 'prompt', lanes: [...requestKinds] }, south: { tier: 'prompt', lanes: [...requestKinds] } },
  ...more,
});

const raised = async (
  more: Partial<ConstructorParameters<typeof SimFleet>[0]> = {},
): Promise<{ fleet: SimFleet; checker: InvariantChecker }> => {
  const fleet = new SimFleet({
    seed: 61,
    edges: 1,
    replicas: 2,
    tenants: ['north', 'south'],
    config: configOf(),
    ...more,
  });
  await fleet.up();
  return { fleet, checker: new InvariantChecker(fleet) };
};

const ask = (kind: SampleRequest['kind'], tenant: string, prompt = 'is a pack ready?'): SampleRequest => ({
  kind,
  tenant,
  key: keyOf(tenant),
  prompt,
  maxTokens: 8,
  tier: 'prompt',
});

const change = async (fleet: SimFleet, part: Record<string, unknown>, base = 1): Promise<void> => {
  const told = await fleet.finish(
    fleet.onControlNode(0, 'PATCH', '/operator/layout', part, { 'if-match': `"${base}"` }),
  );
  expect(told.status).to.equal(200);
};

const oneSlot = configOf({ pools: { main: { weights: 'weights-1', slots: 1 }, app: { weights: 'app-1' } } });

const slowly = (fleet: SimFleet, delayMs: number): void => {
  for (const host of fleet.replicaHosts) fleet.world.delayLink(fleet.gatewayHosts[0] as string, host, delayMs);
};

describe('what a request stands on', () => {
  it('given a attempt that is out on a lane which may repeat, when the lane is made once and the attempt then fails, then it runs no second time', async () => {
    const { fleet, checker } = await raised({ replicaSettings: { decodeMs: 3_000 } });
    checker.traffic(20, 1);
    const call = checker.send(ask('query', 'north'), 0);
    await fleet.world.run(500);
    await change(fleet, { lanes: { query: { pool: 'main', repeat: 'once' } } });
    await fleet.world.run(500);
    const run = checker.allRuns().find((one) => one.requestId === call.requestId);
    fleet.killReplica(run?.replica ?? '');
    await fleet.world.run(8_000);
    expect(checker.allRuns().filter((one) => one.requestId === call.requestId).length).to.equal(1);
    expect([call.outcome, call.ran]).to.deep.equal(['denied', 'unknown']);
  });

  it("given a attempt that is out, when its tenant is made isolated and the attempt then fails, then the next one runs as the isolated tenant's", async () => {
    const { fleet, checker } = await raised({ replicas: 4, replicaSettings: { decodeMs: 1_500 } });
    checker.traffic(40, 500, 0);
    await fleet.world.run(9_000);
    const call = checker.send(ask('query', 'north'), 0, { deadlineMs: 60_000 });
    await fleet.world.run(500);
    await change(fleet, { tenants: { north: { isolated: true } } });
    await fleet.world.run(500);
    fleet.killReplica(checker.allRuns().find((one) => one.requestId === call.requestId)?.replica ?? '');
    await fleet.world.run(40_000);
    const own = checker
      .allRuns()
      .filter((one) => one.requestId === call.requestId)
      .sort((a, b) => a.startedAt - b.startedAt);
    expect(own.map((run) => run.isIsolated)).to.deep.equal([false, true]);
  });

  it('given a request that waits, when its tenant loses the lane, then it is denied at once and never runs', async () => {
    const { fleet, checker } = await raised({ replicaSettings: { decodeMs: 200 }, config: oneSlot });
    const calls = Array.from({ length: 8 }, (_, at) =>
      checker.send(ask('query', 'north', `n${at}`), 0, { deadlineMs: 60_000 }),
    );
    await fleet.world.run(300);
    const running = checker.allRuns().length;
    await change(fleet, { tenants: { north: { lanes: ['confirm'] } } });
    await fleet.world.run(500);
    const rejection = calls.filter((call) => call.outcome === 'denied');
    expect(rejection.length)
      .to.equal(calls.length - running)
      .and.greaterThan(2);
    for (const call of rejection)
      expect([call.status, call.code, call.ran]).to.deep.equal([403, 'lane_not_granted', 'no']);
    await fleet.world.run(20_000);
    expect(checker.allRuns().length).to.equal(running);
  });

  it('given a connect that takes long, when the lane, the isolation or the replica changed meanwhile, then the body is not sent on what it was placed by', async () => {
    const { fleet, checker } = await raised({ replicas: 4 });
    slowly(fleet, 700);
    const lost = checker.send(ask('query', 'north'), 0, { deadlineMs: 60_000 });
    const apart = checker.send(ask('confirm', 'south'), 0, { deadlineMs: 60_000 });
    await fleet.world.run(100);
    await change(fleet, { tenants: { north: { lanes: ['confirm'] }, south: { isolated: true } } });
    await fleet.world.run(30_000);
    expect([lost.outcome, lost.code, lost.ran]).to.deep.equal(['denied', 'lane_not_granted', 'no']);
    expect(checker.allRuns().filter((run) => run.requestId === lost.requestId).length).to.equal(0);
    expect(
      checker
        .allRuns()
        .filter((run) => run.requestId === apart.requestId)
        .map((run) => run.isIsolated),
    ).to.deep.equal([true]);
    const again = checker.send(ask('confirm', 'north'), 0, { deadlineMs: 60_000 });
    await fleet.world.run(100);
    const placed = fleet.replicaHosts.map((_, at) => fleet.replicaName(at));
    for (const name of placed)
      expect(
        (
          await fleet.finish(
            fleet.onControlNode(0, 'POST', '/platform/replicas', [
              { name, address: `${fleet.hostOfReplica(name)}:8000`, pool: 'main', incarnation: 2 },
            ]),
          )
        ).status,
      ).to.equal(200);
    const before = fleet.world.time;
    await fleet.world.run(30_000);
    const own = checker.allRuns().filter((run) => run.requestId === again.requestId);
    expect(own.length).to.equal(1);
    expect(own[0]?.startedAt).to.be.greaterThan(before + 700);
  });
});

describe('what replicas turn away', () => {
  it('given a request that a replica finds faulty, when it answers 4xx, then the caller hears it at once, nothing is tried again and no replica is suspect', async () => {
    const { fleet, checker } = await raised({ replicas: 3 });
    checker.traffic(30, 2_000, 0);
    await fleet.world.run(4_000);
    const before = fleet.startedReplicas.reduce((sum, { replica: standIn }) => sum + standIn.arrivals.length, 0);
    for (const standIn of fleet.runningReplicas.values()) standIn.faults.failStatus = 400;
    const call = checker.send(ask('query', 'north'), 0);
    await fleet.world.run(1_000);
    expect([call.status, call.code, call.retryAfter]).to.deep.equal([400, 'bad_request', null]);
    expect(
      fleet.startedReplicas.reduce((sum, { replica: standIn }) => sum + standIn.arrivals.length, 0) - before,
    ).to.equal(1);
    expect(fleet.gateways[0]?.replicaTracker.all().some((tracked) => tracked.isSuspect)).to.equal(false);
  });

  it('given replicas that are full and say when to come back, when they answer 429, then another is tried and the last answer carries their Retry-After', async () => {
    const { fleet, checker } = await raised({ replicas: 3 });
    checker.traffic(30, 2_000, 0);
    await fleet.world.run(4_000);
    for (const standIn of fleet.runningReplicas.values()) standIn.setFaults({ failStatus: 429, failRetryAfter: 7 });
    const call = checker.send(ask('query', 'north'), 0);
    const once = checker.send(ask('confirm', 'north'), 0);
    await fleet.world.run(1_000);
    for (const one of [call, once])
      expect([one.status, one.code, one.ran, one.retryAfter]).to.deep.equal([503, 'no_capacity', 'unknown', '7']);
    const visits = fleet.startedReplicas.flatMap(({ replica: standIn }) =>
      standIn.arrivals.map((visit) => visit.requestId),
    );
    expect(visits.filter((id) => id === call.requestId).length).to.be.within(2, 3);
    expect(visits.filter((id) => id === once.requestId).length).to.equal(1);
  });

  it('given a request that breaks every replica it reaches, when it is sent, then it takes no more than two extra attempts from the others', async () => {
    const { fleet, checker } = await raised({ replicas: 6 });
    checker.traffic(60, 3_000, 0);
    await fleet.world.run(5_000);
    for (const standIn of fleet.runningReplicas.values()) standIn.faults.failStatus = 500;
    const call = checker.send(ask('query', 'north'), 0);
    await fleet.world.run(2_000);
    expect(call.code).to.equal('replica_failed');
    expect(
      fleet.startedReplicas
        .flatMap(({ replica: standIn }) => standIn.arrivals)
        .filter((visit) => visit.requestId === call.requestId).length,
    ).to.equal(3);
  });
});

describe('what outsiders may see and tell', () => {
  it("given the callers' address, when an operators' page is asked for there, then it is 404, and the operators' own address tells it", async () => {
    const { fleet } = await raised();
    for (const [method, path] of [
      ['GET', '/status'],
      ['GET', '/metrics'],
      ['POST', '/why'],
    ] as const) {
      expect(
        (
          await fleet.finish(
            fleet.call(`http://${fleet.gatewayHosts[0]}:7101${path}`, method, method === 'POST' ? {} : undefined),
          )
        ).status,
        path,
      ).to.equal(404);
    }
    expect((await fleet.finish(fleet.call(`http://${fleet.gatewayHosts[0]}:7101/healthz`, 'GET'))).status).to.equal(
      200,
    );
    for (const path of ['/status', '/metrics'])
      expect(
        (await fleet.finish(fleet.call(`http://${fleet.gatewayHosts[0]}:7102${path}`, 'GET'))).status,
        path,
      ).to.equal(200);
  });

  it('given a replica that is told under another pool, when its incarnation stays, then that is rejected with its path; without one it is a new incarnation', async () => {
    const { fleet } = await raised();
    const tell = (more: Record<string, unknown>) =>
      fleet.finish(
        fleet.onControlNode(0, 'POST', '/platform/replicas', [
          { name: 'replica-1', address: `${fleet.replicaHosts[0]}:8000`, pool: 'app', ...more },
        ]),
      );
    const stays = await tell({ incarnation: 1 });
    expect([stays.status, (stays.body.complaints as { path: string }[])?.[0]?.path]).to.deep.equal([422, '/0/pool']);
    const moves = await tell({});
    expect([moves.status, (moves.body.replicas as { incarnation: number; pool: string }[])[0]]).to.deep.include.members(
      [200],
    );
    expect((moves.body.replicas as { incarnation: number }[])[0]?.incarnation).to.equal(2);
  });

  it('given two pools of other weights, when one change names one store for both, then it is rejected with its path', async () => {
    const { fleet } = await raised();
    const told = await fleet.finish(
      fleet.onControlNode(
        0,
        'PATCH',
        '/operator/layout',
        { pools: { main: { store: 'store-1' }, app: { store: 'store-1' } } },
        { 'if-match': '"1"' },
      ),
    );
    expect([told.status, (told.body.complaints as { path: string }[])?.map((one) => one.path)]).to.deep.equal([
      422,
      ['/pools/app/store'],
    ]);
  });
});
