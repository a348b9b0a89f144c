import { expect } from 'chai';
import { InvariantChecker, keyOf, requestKinds, sampleWorkload, SimFleet } from '@martenworks/test-fleet';
import type { SampleRequest } from '@martenworks/test-fleet';

const configOf = (more: Record<string, unknown> = {}): Record<string, unknown> => ({
  ...sampleWorkload.config('weights-1'),
  tenants: { north: { tier: 'prompt', lanes: [...requestKinds] }, south: { tier: 'prompt', lanes: [...requestKinds] } },
  ...more,
});

const startFleet = async (
  more: Partial<ConstructorParameters<typeof SimFleet>[0]> = {},
): Promise<{ fleet: SimFleet; checker: InvariantChecker }> => {
  const fleet = new SimFleet({
    seed: 61,
    gatewayCount: 1,
    replicaCount: 2,
    tenants: ['north', 'south'],
    config: configOf(),
    ...more,
  });
  await fleet.up();
  return { fleet, checker: new InvariantChecker(fleet) };
};

const requestFor = (kind: SampleRequest['kind'], tenant: string, prompt = 'is a pack ready?'): SampleRequest => ({
  kind,
  tenant,
  key: keyOf(tenant),
  prompt,
  maxTokens: 8,
  tier: 'prompt',
});

const changeConfig = async (fleet: SimFleet, patch: Record<string, unknown>, base = 1): Promise<void> => {
  const reply = await fleet.finish(
    fleet.callControlNode(0, 'PATCH', '/operator/layout', patch, { 'if-match': `"${base}"` }),
  );
  expect(reply.status).to.equal(200);
};

const oneSlot = configOf({ pools: { main: { weights: 'weights-1', slots: 1 }, app: { weights: 'app-1' } } });

const delayReplicaLinks = (fleet: SimFleet, delayMs: number): void => {
  for (const host of fleet.replicaHosts) fleet.world.delayLink(fleet.gatewayHosts[0] as string, host, delayMs);
};

describe('changes of the state that a request was placed with', () => {
  it('given a running attempt on a retryable lane, when the lane becomes at-most-once and the attempt then fails, then the request does not run again', async () => {
    const { fleet, checker } = await startFleet({ replicaSettings: { decodeMs: 3_000 } });
    checker.startTraffic(20, 1);
    const call = checker.send(requestFor('query', 'north'), 0);
    await fleet.world.run(500);
    await changeConfig(fleet, { lanes: { query: { pool: 'main', repeat: 'once' } } });
    await fleet.world.run(500);
    const run = checker.allRuns().find((one) => one.requestId === call.requestId);
    fleet.killReplica(run?.replica ?? '');
    await fleet.world.run(8_000);
    expect(checker.allRuns().filter((one) => one.requestId === call.requestId).length).to.equal(1);
    expect([call.outcome, call.ran]).to.deep.equal(['denied', 'unknown']);
  });

  it('given a running attempt, when its tenant becomes isolated and the attempt then fails, then the retry runs as a request of an isolated tenant', async () => {
    const { fleet, checker } = await startFleet({ replicaCount: 4, replicaSettings: { decodeMs: 1_500 } });
    checker.startTraffic(40, 500, 0);
    await fleet.world.run(9_000);
    const call = checker.send(requestFor('query', 'north'), 0, { deadlineMs: 60_000 });
    await fleet.world.run(500);
    await changeConfig(fleet, { tenants: { north: { isolated: true } } });
    await fleet.world.run(500);
    fleet.killReplica(checker.allRuns().find((one) => one.requestId === call.requestId)?.replica ?? '');
    await fleet.world.run(40_000);
    const own = checker
      .allRuns()
      .filter((one) => one.requestId === call.requestId)
      .sort((a, b) => a.startedAt - b.startedAt);
    expect(own.map((run) => run.isIsolated)).to.deep.equal([false, true]);
  });

  it('given queued requests, when their tenant loses the lane, then they are rejected immediately and never run', async () => {
    const { fleet, checker } = await startFleet({ replicaSettings: { decodeMs: 200 }, config: oneSlot });
    const calls = Array.from({ length: 8 }, (_, at) =>
      checker.send(requestFor('query', 'north', `n${at}`), 0, { deadlineMs: 60_000 }),
    );
    await fleet.world.run(300);
    const running = checker.allRuns().length;
    await changeConfig(fleet, { tenants: { north: { lanes: ['confirm'] } } });
    await fleet.world.run(500);
    const rejected = calls.filter((call) => call.outcome === 'denied');
    expect(rejected.length)
      .to.equal(calls.length - running)
      .and.greaterThan(2);
    for (const call of rejected)
      expect([call.status, call.code, call.ran]).to.deep.equal([403, 'lane_not_granted', 'no']);
    await fleet.world.run(20_000);
    expect(checker.allRuns().length).to.equal(running);
  });

  it('given a slow connect, when the lane, the isolation or the replica changes meanwhile, then the body is not sent with the outdated placement', async () => {
    const { fleet, checker } = await startFleet({ replicaCount: 4 });
    delayReplicaLinks(fleet, 700);
    const revoked = checker.send(requestFor('query', 'north'), 0, { deadlineMs: 60_000 });
    const isolated = checker.send(requestFor('confirm', 'south'), 0, { deadlineMs: 60_000 });
    await fleet.world.run(100);
    await changeConfig(fleet, { tenants: { north: { lanes: ['confirm'] }, south: { isolated: true } } });
    await fleet.world.run(30_000);
    expect([revoked.outcome, revoked.code, revoked.ran]).to.deep.equal(['denied', 'lane_not_granted', 'no']);
    expect(checker.allRuns().filter((run) => run.requestId === revoked.requestId).length).to.equal(0);
    expect(
      checker
        .allRuns()
        .filter((run) => run.requestId === isolated.requestId)
        .map((run) => run.isIsolated),
    ).to.deep.equal([true]);
    const again = checker.send(requestFor('confirm', 'north'), 0, { deadlineMs: 60_000 });
    await fleet.world.run(100);
    const replicaNames = fleet.replicaHosts.map((_, at) => fleet.replicaName(at));
    for (const name of replicaNames)
      expect(
        (
          await fleet.finish(
            fleet.callControlNode(0, 'POST', '/platform/replicas', [
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

describe('requests that replicas reject', () => {
  it('given a request that a replica rejects as invalid, when it responds with 400, then the caller is rejected immediately, nothing is retried and no replica is suspect', async () => {
    const { fleet, checker } = await startFleet({ replicaCount: 3 });
    checker.startTraffic(30, 2_000, 0);
    await fleet.world.run(4_000);
    const before = fleet.startedReplicas.reduce((sum, { replica }) => sum + replica.arrivals.length, 0);
    for (const replica of fleet.runningReplicas.values()) replica.faults.failStatus = 400;
    const call = checker.send(requestFor('query', 'north'), 0);
    await fleet.world.run(1_000);
    expect([call.status, call.code, call.retryAfter]).to.deep.equal([400, 'bad_request', null]);
    expect(fleet.startedReplicas.reduce((sum, { replica }) => sum + replica.arrivals.length, 0) - before).to.equal(1);
    expect(fleet.gateways[0]?.replicaTracker.all().some((tracked) => tracked.isSuspect)).to.equal(false);
  });

  it('given full replicas that send Retry-After, when they respond with 429, then another is tried and the rejection carries their Retry-After', async () => {
    const { fleet, checker } = await startFleet({ replicaCount: 3 });
    checker.startTraffic(30, 2_000, 0);
    await fleet.world.run(4_000);
    for (const replica of fleet.runningReplicas.values()) replica.setFaults({ failStatus: 429, failRetryAfter: 7 });
    const call = checker.send(requestFor('query', 'north'), 0);
    const once = checker.send(requestFor('confirm', 'north'), 0);
    await fleet.world.run(1_000);
    for (const one of [call, once])
      expect([one.status, one.code, one.ran, one.retryAfter]).to.deep.equal([503, 'no_capacity', 'unknown', '7']);
    const arrivals = fleet.startedReplicas.flatMap(({ replica }) =>
      replica.arrivals.map((arrival) => arrival.requestId),
    );
    expect(arrivals.filter((id) => id === call.requestId).length).to.be.within(2, 3);
    expect(arrivals.filter((id) => id === once.requestId).length).to.equal(1);
  });

  it('given a request that fails at every replica, when it is sent, then it is retried at most twice', async () => {
    const { fleet, checker } = await startFleet({ replicaCount: 6 });
    checker.startTraffic(60, 3_000, 0);
    await fleet.world.run(5_000);
    for (const replica of fleet.runningReplicas.values()) replica.faults.failStatus = 500;
    const call = checker.send(requestFor('query', 'north'), 0);
    await fleet.world.run(2_000);
    expect(call.code).to.equal('replica_failed');
    expect(
      fleet.startedReplicas
        .flatMap(({ replica }) => replica.arrivals)
        .filter((arrival) => arrival.requestId === call.requestId).length,
    ).to.equal(3);
  });
});

describe('access to the APIs and checks on their input', () => {
  it('given the address for callers, when an operator page is requested there, then the response is 404, and the operator address serves the page', async () => {
    const { fleet } = await startFleet();
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

  it('given a replica that is announced in another pool, when the incarnation is unchanged, then the announcement is rejected with the path of the pool, and when it is omitted, then the replica gets a new one', async () => {
    const { fleet } = await startFleet();
    const announce = (more: Record<string, unknown>) =>
      fleet.finish(
        fleet.callControlNode(0, 'POST', '/platform/replicas', [
          { name: 'replica-1', address: `${fleet.replicaHosts[0]}:8000`, pool: 'app', ...more },
        ]),
      );
    const sameIncarnation = await announce({ incarnation: 1 });
    expect([sameIncarnation.status, (sameIncarnation.body.complaints as { path: string }[])?.[0]?.path]).to.deep.equal([
      422,
      '/0/pool',
    ]);
    const newIncarnation = await announce({});
    expect([
      newIncarnation.status,
      (newIncarnation.body.replicas as { incarnation: number; pool: string }[])[0],
    ]).to.deep.include.members([200]);
    expect((newIncarnation.body.replicas as { incarnation: number }[])[0]?.incarnation).to.equal(2);
  });

  it('given two pools with different weights, when a change assigns the same store to both, then the change is rejected with the path of the store', async () => {
    const { fleet } = await startFleet();
    const reply = await fleet.finish(
      fleet.callControlNode(
        0,
        'PATCH',
        '/operator/layout',
        { pools: { main: { store: 'store-1' }, app: { store: 'store-1' } } },
        { 'if-match': '"1"' },
      ),
    );
    expect([reply.status, (reply.body.complaints as { path: string }[])?.map((one) => one.path)]).to.deep.equal([
      422,
      ['/pools/app/store'],
    ]);
  });
});
