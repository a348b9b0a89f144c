import { plans } from '../workload/sampleDeployments.js';
import { inForceMs } from './faultContext.js';
import type { FaultContext, Injections } from './faultContext.js';

export const confirmations = (storm: FaultContext) => {
  const { fleet, judge } = storm;

  const confirmChange = async (at: number): Promise<void> => {
    const held = await fleet.onPostmaster(at, 'GET', '/operator/layout');
    const id = `last-word-${++storm.state.changes}`;
    const told = await fleet.onPostmaster(
      at,
      'PATCH',
      '/operator/layout',
      { tiers: { steady: { rank: 1, horizonMs: 20_000 + storm.pick(1_000) } } },
      { 'if-match': `"${Number(held.body.generation)}"`, 'change-id': id },
    );
    if (told.status !== 200) return;
    judge.acceptedIds.set(id, Number(told.body.generation));
    fleet.world.plan(null, inForceMs, () => storm.checkInForce(id, Number(told.body.generation)));
  };

  const confirmRevocation = async (at: number): Promise<void> => {
    const tenant = plans.tenantNames[storm.pick(plans.tenantNames.length)] as string;
    const key = `last-key-${++storm.state.changes}`;
    const grant = await storm.grant(key, tenant, null);
    const stopAt = fleet.world.time + 8_000;
    const ask = (): void => {
      if (fleet.world.time >= stopAt) return;
      judge.send(
        { ...plans.ask(storm.random, judge.calls.length, 0.1), key, tenant },
        judge.living()[storm.pick(judge.living().length)] as number,
      );
      fleet.world.plan(null, 100, ask);
    };
    ask();
    await storm.wait(1_000);
    const told = await fleet.onPostmaster(
      at,
      'POST',
      '/platform/keys/revoke',
      { key },
      { 'change-id': `revoke-${key}` },
    );
    if (told.status === 200) grant.to = fleet.world.time;
  };

  const confirmLeaving = async (at: number): Promise<void> => {
    const name = fleet.replicaName(storm.pick(fleet.plan.replicas));
    if (!storm.claim(name)) return;
    const told = await fleet.onPostmaster(at, 'POST', `/platform/replicas/${name}/leaving`);
    if (told.status === 200) judge.leftAt.push({ name, incarnation: fleet.incarnationOf(name), at: fleet.world.time });
    void storm.wait(4_500).then(async () => {
      fleet.killReplica(name);
      await storm.wait(200);
      await storm.comeBack(name);
      storm.free(name);
    });
  };

  return {
    'postmaster dies having confirmed': () =>
      storm.onPostmaster(async (at) => {
        const losesDisk = storm.random() < 0.4;
        const draw = storm.pick(3);
        if (draw === 0) await confirmChange(at);
        else if (draw === 1) await confirmRevocation(at);
        else await confirmLeaving(at);
        fleet.killPostmaster(at, losesDisk);
        await storm.wait(storm.span(100, 3_000));
        await fleet.bootPostmaster(at);
        if (losesDisk) await storm.untilVoter(at, 300);
      }, true),
  } satisfies Injections;
};
