import { expect } from 'chai';
import { SimFleet } from '@martenworks/test-fleet';

interface ReplicaState {
  readonly state: string;
  readonly incarnation: number;
}

describe('the platform API', () => {
  it('given announcements without incarnations, when a replica leaves, is announced again, returns or moves, then only a return or a move counts as a new incarnation', async () => {
    const fleet = new SimFleet({ seed: 71, gatewayCount: 1, replicaCount: 1 });
    await fleet.up();
    const announce = async (fields: Record<string, unknown>, at = 0): Promise<ReplicaState> => {
      const response = await fleet.finish(
        fleet.callControlNode(at, 'POST', '/platform/replicas', {
          name: 'lone',
          address: '10.2.0.77:8000',
          pool: 'main',
          ...fields,
        }),
      );
      expect(response.status).to.equal(200);
      const { state, incarnation } = (response.body.replicas as ReplicaState[])[0] as ReplicaState;
      return { state, incarnation };
    };
    expect(await announce({})).to.deep.equal({ state: 'ready', incarnation: 1 });
    expect(await announce({}, 1)).to.deep.equal({ state: 'ready', incarnation: 1 });
    expect((await fleet.finish(fleet.callControlNode(2, 'POST', '/platform/replicas/lone/leaving'))).status).to.equal(
      200,
    );
    expect(await announce({}, 1)).to.deep.equal({ state: 'leaving', incarnation: 1 });
    expect(await announce({ state: 'ready' }, 0)).to.deep.equal({ state: 'ready', incarnation: 2 });
    expect((await fleet.finish(fleet.callControlNode(1, 'DELETE', '/platform/replicas/lone'))).status).to.equal(200);
    expect(await announce({}, 2)).to.deep.equal({ state: 'ready', incarnation: 3 });
    expect(await announce({ address: '10.2.0.78:8000' })).to.deep.equal({ state: 'ready', incarnation: 4 });
    expect(await announce({ incarnation: 2, state: 'gone' })).to.deep.equal({ state: 'ready', incarnation: 4 });
    const invalid = await fleet.finish(
      fleet.callControlNode(0, 'POST', '/platform/replicas', [{ name: 'x y', address: 'nowhere' }]),
    );
    expect(invalid.status).to.equal(422);
    expect((invalid.body.complaints as { path: string }[]).map((one) => one.path)).to.deep.equal([
      '/0/address',
      '/0/name',
    ]);
  });

  it('given a control node that acknowledged that a replica is leaving, when it crashes at once and loses its disk, then every gateway still learns of it within two seconds', async () => {
    for (let seed = 72; seed < 78; seed += 1) {
      const fleet = new SimFleet({ seed, gatewayCount: 3, replicaCount: 3 });
      await fleet.up();
      const response = await fleet.finish(fleet.callControlNode(0, 'POST', '/platform/replicas/replica-1/leaving'));
      expect(response.status).to.equal(200);
      fleet.killControlNode(0, true);
      await fleet.world.run(2_000);
      for (const gateway of fleet.gateways)
        if (gateway?.freshness.isFresh() === true)
          expect(gateway.stateView.record('replica-1')?.state, `seed ${seed}`).to.equal('leaving');
      expect(fleet.gateways.some((gateway) => gateway?.freshness.isFresh() === true)).to.equal(true);
    }
  });

  it("given a control node that missed a replica's return, when it is notified that the replica is leaving, then the newest incarnation is marked as leaving", async () => {
    for (let seed = 80; seed < 86; seed += 1) {
      const fleet = new SimFleet({ seed, gatewayCount: 3, replicaCount: 3 });
      await fleet.up();
      for (const host of ['10.0.0.1', '10.0.0.3']) fleet.world.partition('10.0.0.2', host);
      fleet.killReplica('replica-1');
      fleet.bootReplica('replica-1');
      expect((await fleet.finish(fleet.announce('replica-1', 0))).status).to.equal(200);
      expect(fleet.controlNodes[1]?.replicaTable.find('replica-1')?.incarnation).to.equal(1);
      fleet.world.healAll();
      let response = await fleet.finish(fleet.callControlNode(1, 'POST', '/platform/replicas/replica-1/leaving'));
      for (let attempt = 0; attempt < 20 && response.status !== 200; attempt += 1)
        response = await fleet.finish(fleet.callControlNode(1, 'POST', '/platform/replicas/replica-1/leaving'));
      expect(response.status).to.equal(200);
      await fleet.world.run(2_000);
      for (const gateway of fleet.gateways) {
        const record = gateway?.stateView.record('replica-1');
        expect([record?.incarnation, record?.state], `seed ${seed}`).to.deep.equal([2, 'leaving']);
      }
    }
  });
});
