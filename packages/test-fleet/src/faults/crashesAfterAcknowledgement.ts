import { sampleWorkload } from '../workload/sampleDeployments.js';
import { propagationMs } from './faultContext.js';
import type { FaultContext, Injections } from './faultContext.js';

export const crashesAfterAcknowledgement = (context: FaultContext) => {
  const { fleet, checker } = context;

  const confirmChange = async (at: number): Promise<void> => {
    const held = await fleet.onPostmaster(at, 'GET', '/operator/layout');
    const id = `last-word-${++context.state.changes}`;
    const response = await fleet.onPostmaster(
      at,
      'PATCH',
      '/operator/layout',
      { tiers: { steady: { rank: 1, horizonMs: 20_000 + context.pick(1_000) } } },
      { 'if-match': `"${Number(held.body.generation)}"`, 'change-id': id },
    );
    if (response.status !== 200) return;
    checker.acceptedIds.set(id, Number(response.body.generation));
    fleet.world.schedule(null, propagationMs, () => context.checkInForce(id, Number(response.body.generation)));
  };

  const confirmRevocation = async (at: number): Promise<void> => {
    const tenant = sampleWorkload.tenantNames[context.pick(sampleWorkload.tenantNames.length)] as string;
    const key = `last-key-${++context.state.changes}`;
    const grant = await context.grant(key, tenant, null);
    const stopAt = fleet.world.time + 8_000;
    const sendNext = (): void => {
      if (fleet.world.time >= stopAt) return;
      checker.send(
        { ...sampleWorkload.request(context.random, checker.calls.length, 0.1), key, tenant },
        checker.liveGateways()[context.pick(checker.liveGateways().length)] as number,
      );
      fleet.world.schedule(null, 100, sendNext);
    };
    sendNext();
    await context.wait(1_000);
    const response = await fleet.onPostmaster(
      at,
      'POST',
      '/platform/keys/revoke',
      { key },
      { 'change-id': `revoke-${key}` },
    );
    if (response.status === 200) grant.to = fleet.world.time;
  };

  const confirmLeaving = async (at: number): Promise<void> => {
    const name = fleet.replicaName(context.pick(fleet.options.replicas));
    if (!context.claim(name)) return;
    const response = await fleet.onPostmaster(at, 'POST', `/platform/replicas/${name}/leaving`);
    if (response.status === 200)
      checker.drainingSince.push({ name, incarnation: fleet.incarnationOf(name), at: fleet.world.time });
    void context.wait(4_500).then(async () => {
      fleet.killReplica(name);
      await context.wait(200);
      await context.restartReplica(name);
      context.release(name);
    });
  };

  return {
    'postmaster dies having confirmed': () =>
      context.onPostmaster(async (at) => {
        const losesDisk = context.random() < 0.4;
        const draw = context.pick(3);
        if (draw === 0) await confirmChange(at);
        else if (draw === 1) await confirmRevocation(at);
        else await confirmLeaving(at);
        fleet.killPostmaster(at, losesDisk);
        await context.wait(context.randomBetween(100, 3_000));
        await fleet.bootPostmaster(at);
        if (losesDisk) await context.untilVoter(at, 300);
      }, true),
  } satisfies Injections;
};
