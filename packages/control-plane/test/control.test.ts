import { expect } from 'chai';
import { recovery } from '@martenworks/control-plane';
import { InvariantChecker, keyOf, sampleWorkload, SimFleet } from '@martenworks/test-fleet';
import type { HttpReply } from '@martenworks/test-fleet';

const smallFleet = { gatewayCount: 2, replicaCount: 3 };

const startedFleet = async (seed: number): Promise<SimFleet> => {
  const fleet = new SimFleet({ seed, ...smallFleet });
  await fleet.up();
  return fleet;
};

const tier = (deadlineMs: number): Record<string, unknown> => ({
  tiers: { steady: { rank: 1, horizonMs: deadlineMs } },
});

const patch = (fleet: SimFleet, at: number, part: unknown, base: number | null, id: string): Promise<HttpReply> =>
  fleet.callControlNode(at, 'PATCH', '/operator/layout', part, {
    'change-id': id,
    ...(base === null ? {} : { 'if-match': `"${base}"` }),
  });

const baseOf = async (fleet: SimFleet, at = 0): Promise<number> =>
  Number((await fleet.finish(fleet.callControlNode(at, 'GET', '/operator/layout'))).body.generation);

const allApplied = (fleet: SimFleet, logIndex: number): boolean =>
  fleet.gateways.every(
    (gateway) => gateway === null || (gateway.freshness.isFresh() && gateway.stateView.logIndex() >= logIndex),
  );

describe('cluster bootstrap', () => {
  it('given one unreachable seed address, when a gateway starts, then it still finds all control nodes', async () => {
    const fleet = new SimFleet({ seed: 1, ...smallFleet });
    fleet.controlNodeHosts.forEach((host) => {
      fleet.world.machine(host);
    });
    await Promise.all([0, 1, 2].map((at) => fleet.startControlNode(at)));
    await fleet.world.until('the bootstrap', () => fleet.controlNodes.every((one) => one?.isReady() === true));
    fleet.killControlNode(0);
    await fleet.startGateway(0);
    await fleet.world.until(
      'an up-to-date gateway with one seed down',
      () => fleet.gateways[0]?.freshness.isFresh() === true,
      5_000,
    );
    await fleet.bootControlNode(0);
    await fleet.world.until(
      'contact with three control nodes',
      () => fleet.gateways[0]?.freshness.freshNodeCount() === 3,
      5_000,
    );
  });

  it('given only two of three initial control nodes, when they wait, then no cluster is bootstrapped until the third one starts', async () => {
    const fleet = new SimFleet({ seed: 2, ...smallFleet });
    fleet.controlNodeHosts.forEach((host) => {
      fleet.world.machine(host);
    });
    await fleet.startControlNode(0);
    await fleet.startControlNode(1);
    await fleet.world.run(20_000);
    expect(fleet.controlNodes.map((one) => one?.acceptor.committedState() ?? null)).to.deep.equal([null, null, null]);
    const response = await fleet.finish(
      fleet.callControlNode(0, 'PUT', '/operator/layout', sampleWorkload.config('weights-1'), { 'if-match': '"0"' }),
    );
    expect([response.status, response.body.outcome, response.retryAfter]).to.deep.equal([503, 'not accepted', '1']);
    await fleet.startControlNode(2);
    await fleet.world.until('the bootstrap', () => fleet.controlNodes.every((one) => one?.isReady() === true), 5_000);
  });

  it('given a control node that loses its disk during the bootstrap, when it restarts, then exactly one cluster is bootstrapped', async () => {
    for (let seed = 10; seed < 22; seed += 1) {
      const fleet = new SimFleet({ seed, ...smallFleet });
      fleet.controlNodeHosts.forEach((host) => {
        fleet.world.machine(host);
      });
      await Promise.all([0, 1, 2].map((at) => fleet.startControlNode(at)));
      await fleet.world.run(60 + (seed - 10) * 25);
      fleet.killControlNode(seed % 3, true);
      await fleet.world.run(500);
      await fleet.bootControlNode(seed % 3);
      await fleet.world.until(
        'one cluster of three voters',
        () => fleet.controlNodes.every((one) => one?.acceptor.isVoter() === true),
        40_000,
      );
      const memberLists = new Set(
        fleet.controlNodes.map((one) => JSON.stringify(one?.acceptor.committedState()?.members)),
      );
      expect(memberLists.size, `seed ${seed}`).to.equal(1);
    }
  });

  it('given two control nodes that lost their disks, when they restart empty, then no second cluster is bootstrapped, and changes are accepted only after the explicit recovery', async () => {
    const fleet = await startedFleet(4);
    const base = await baseOf(fleet);
    fleet.killControlNode(1, true);
    fleet.killControlNode(2, true);
    await fleet.world.run(1_000);
    await fleet.bootControlNode(1);
    await fleet.bootControlNode(2);
    await fleet.world.run(20_000);
    expect(fleet.controlNodes.map((one) => one?.acceptor.isVoter())).to.deep.equal([true, false, false]);
    const response = await fleet.finish(patch(fleet, 0, tier(19_000), base, 'while-lost'));
    expect(response.status).to.equal(503);
    expect(fleet.gateways[0]?.freshness.isFresh()).to.equal(false);
    const members = fleet.controlNodes.map((one) => ({
      name: one?.settings.name ?? '',
      address: one?.settings.peerAddress ?? '',
      incarnation: one?.acceptor.incarnation ?? '',
    }));
    fleet.killControlNode(0);
    const machine = fleet.machineOf('control', 0);
    machine.boot();
    const ports = machine.ports();
    const recovered = await fleet.finish(recovery.recover(ports.disk, ports.clock, ports.random, ports.log, members));
    expect(recovered.isOk()).to.equal(true);
    await fleet.startControlNode(0);
    await fleet.world.until(
      'three voters',
      () => fleet.controlNodes.every((one) => one?.acceptor.isVoter() === true),
      10_000,
    );
    const after = await fleet.finish(patch(fleet, 1, tier(18_000), await baseOf(fleet, 1), 'after-recovery'));
    expect(after.status).to.equal(200);
    await fleet.world.until(
      'the change applied on every gateway',
      () => allApplied(fleet, Number(after.body.generation)),
      2_000,
    );
  });

  it('given a control node lost for good, when an empty one with another name and address starts, then it replaces the lost member and no accepted change is lost', async () => {
    const fleet = await startedFleet(5);
    const base = await baseOf(fleet);
    const accepted = await fleet.finish(patch(fleet, 2, tier(17_000), base, 'kept'));
    expect(accepted.status).to.equal(200);
    fleet.killControlNode(2, true);
    fleet.controlNodeHosts[2] = '10.0.0.9';
    fleet.controlNodeNames[2] = 'postmaster-9';
    await fleet.startControlNode(2);
    await fleet.world.until('the membership change', () => fleet.controlNodes[2]?.acceptor.isVoter() === true, 30_000);
    expect(fleet.controlNodes[2]?.acceptor.committedState()?.changeIds.kept?.logIndex).to.equal(
      Number(accepted.body.generation),
    );
    fleet.killControlNode(0);
    const next = await fleet.finish(patch(fleet, 2, tier(16_000), await baseOf(fleet, 2), 'by-the-new'));
    expect(next.status).to.equal(200);
    await fleet.world.until(
      'the change applied on every gateway',
      () => allApplied(fleet, Number(next.body.generation)),
      2_000,
    );
  });
});

describe('the operator API', () => {
  it('given invalid changes, when they are sent, then each is rejected completely with the paths of its errors and nothing changes', async () => {
    const fleet = await startedFleet(6);
    const base = await baseOf(fleet);
    const noBase = await fleet.finish(patch(fleet, 0, tier(1_000), null, 'no-base'));
    expect(noBase.status).to.equal(428);
    const invalid = {
      lanes: {
        good: { pool: 'main', repeat: 'freely' },
        bad: { pool: 'absent', repeat: 'freely' },
        odd: { pool: 'main', repeat: 'sometimes' },
      },
      tiers: { steady: { rank: -1 } },
    };
    const rejected = await fleet.finish(patch(fleet, 0, invalid, base, 'faulty'));
    expect(rejected.status).to.equal(422);
    expect((rejected.body.complaints as { path: string }[]).map((one) => one.path)).to.include.members([
      '/lanes/odd/repeat',
      '/tiers/steady/rank',
    ]);
    const dangling = await fleet.finish(
      patch(
        fleet,
        0,
        { lanes: { bad: { pool: 'absent', repeat: 'freely' } }, tenants: { north: { tier: 'absent' } } },
        base,
        'dangling',
      ),
    );
    expect((dangling.body.complaints as { path: string }[]).map((one) => one.path)).to.deep.equal([
      '/lanes/bad/pool',
      '/tenants/north/tier',
    ]);
    expect(await baseOf(fleet)).to.equal(base);
    for (const id of ['no-base', 'faulty', 'dangling'])
      expect((await fleet.finish(fleet.callControlNode(1, 'GET', `/operator/changes/${id}`))).status).to.equal(404);
  });

  it('given one change to tiers, 300 lanes and weights, when it is accepted, then every gateway applies it within two seconds and never only a part of it', async () => {
    const fleet = await startedFleet(7);
    const base = await baseOf(fleet);
    const lanes = Object.fromEntries(
      Array.from({ length: 300 }, (_, at) => [`lane-${at}`, { pool: 'main', repeat: 'freely' }]),
    );
    const seen = new Set<string>();
    const pending = fleet.finish(
      patch(
        fleet,
        1,
        { tiers: { prompt: { rank: 0, horizonMs: 9_999 } }, lanes, pools: { main: { weights: 'weights-2' } } },
        base,
        'wide',
      ),
    );
    const accepted = await pending;
    expect(accepted.status).to.equal(200);
    const waited = await fleet.world.until('the change applied on every gateway', () => {
      for (const gateway of fleet.gateways) {
        const config = gateway?.stateView.committedState()?.config;
        seen.add(
          `${config?.tiers.prompt?.horizonMs} ${Object.keys(config?.lanes ?? {}).length} ${config?.pools.main?.weights}`,
        );
      }
      return allApplied(fleet, Number(accepted.body.generation));
    });
    expect(waited).to.be.lessThan(2_000);
    expect([...seen].every((one) => ['10000 4 weights-1', '9999 304 weights-2'].includes(one))).to.equal(true);
  });

  it('given an accepted change, when its id is sent again to another control node or with another body, then it is not applied twice', async () => {
    const fleet = await startedFleet(8);
    const base = await baseOf(fleet);
    const first = await fleet.finish(patch(fleet, 0, tier(15_000), base, 'once'));
    const again = await fleet.finish(patch(fleet, 2, tier(15_000), base, 'once'));
    expect([first.status, again.status, again.body.repeated, again.body.generation]).to.deep.equal([
      200,
      200,
      true,
      first.body.generation,
    ]);
    const other = await fleet.finish(patch(fleet, 1, tier(14_000), base, 'once'));
    expect(other.status).to.equal(409);
  });

  it('given a proposer partitioned while it proposes a change, when it responds, then an outcome it cannot know is unknown, and a later lookup by id gives the same outcome on every control node', async () => {
    let unknownCount = 0;
    for (let seed = 30; seed < 42; seed += 1) {
      const fleet = await startedFleet(seed);
      const base = await baseOf(fleet);
      const call = patch(fleet, 0, tier(13_000), base, 'half');
      await fleet.world.run(2 + (seed - 30) * 0.35);
      for (const host of ['10.0.0.2', '10.0.0.3']) fleet.world.partition('10.0.0.1', host);
      const response = await fleet.finish(call, 20_000);
      if (response.status === 504) unknownCount += 1;
      expect([200, 503, 504]).to.include(response.status);
      if (response.status === 504) expect(response.body.changeId).to.equal('half');
      fleet.world.healAll();
      await fleet.world.run(3_000);
      const lookups = await Promise.all(
        [0, 1, 2].map(
          async (at) => (await fleet.finish(fleet.callControlNode(at, 'GET', '/operator/changes/half'))).status,
        ),
      );
      expect(new Set(lookups).size, `seed ${seed}: ${lookups.join()}`).to.equal(1);
      if (response.status === 200) expect(lookups[0]).to.equal(200);
      if (response.status === 503) expect(lookups[0]).to.equal(404);
    }
    expect(unknownCount).to.be.greaterThan(0);
  });

  it('given a control node in the minority, when a change is sent to it, then it responds that the change was not accepted, with Retry-After', async () => {
    const fleet = await startedFleet(9);
    const base = await baseOf(fleet);
    fleet.world.isolate('10.0.0.1');
    fleet.world.unblockLink('10.0.0.1', '10.9.0.1');
    fleet.world.unblockLink('10.9.0.1', '10.0.0.1');
    const response = await fleet.finish(patch(fleet, 0, tier(12_000), base, 'alone'), 20_000);
    expect([response.status, response.retryAfter]).to.deep.equal([503, '1']);
    fleet.world.healAll();
    await fleet.world.run(3_000);
    expect((await fleet.finish(fleet.callControlNode(1, 'GET', '/operator/changes/alone'))).status).to.equal(404);
  });

  it('given a client that the platform adds and revokes, when it sends requests, then its key works until it is revoked, and its open streams are aborted within one second', async () => {
    const fleet = await startedFleet(11);
    const checker = new InvariantChecker(fleet);
    const key = 'a-new-riders-key';
    const granted = await fleet.finish(
      fleet.callControlNode(2, 'POST', '/platform/clients', {
        tenant: 'newcomer',
        key,
        grant: { tier: 'steady', lanes: ['query'] },
      }),
    );
    expect(granted.status).to.equal(200);
    await fleet.world.until(
      'the change applied on every gateway',
      () => allApplied(fleet, Number(granted.body.generation)),
      2_000,
    );
    const request = {
      ...sampleWorkload.request(fleet.world.random, 1),
      kind: 'query' as const,
      tenant: 'newcomer',
      key,
      maxTokens: 2_000,
    };
    const stream = checker.send(request, 0);
    await fleet.world.run(500);
    expect([stream.outcome, stream.text.length > 0]).to.deep.equal(['open', true]);
    const revoked = await fleet.finish(fleet.callControlNode(0, 'POST', '/platform/keys/revoke', { key }));
    expect(revoked.status).to.equal(200);
    const revokedAt = fleet.world.time;
    await fleet.world.run(2_000);
    expect(stream.outcome).to.equal('cut');
    expect(stream.endedAt - revokedAt).to.be.lessThan(1_000);
    const late = checker.send(request, 1);
    await fleet.world.run(500);
    expect([late.status, late.ran]).to.deep.equal([401, 'no']);
    expect(keyOf('north')).to.not.equal(key);
  });
});
