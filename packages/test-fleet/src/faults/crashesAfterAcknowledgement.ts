/** Control nodes that crash right after they acknowledge a change, in some cases with the loss of their disk. */
import { sampleWorkload } from '../workload/sampleDeployments.js';
import type { FaultContext, Injections } from './faultContext.js';
import { startKeyTraffic } from './keyedTraffic.js';

const maxVoterPolls = 300;

const acknowledgeChange = async (context: FaultContext, at: number): Promise<void> => {
  const { fleet, operator } = context;
  const current = await fleet.callControlNode(at, 'GET', '/operator/layout');
  const id = `last-word-${operator.nextChangeNumber()}`;
  const response = await fleet.callControlNode(
    at,
    'PATCH',
    '/operator/layout',
    { tiers: { steady: { rank: 1, horizonMs: 20_000 + context.randomInt(1_000) } } },
    { 'if-match': `"${Number(current.body.generation)}"`, 'change-id': id },
  );
  if (response.status === 200) operator.recordAccepted(id, Number(response.body.generation));
};

const acknowledgeRevocation = async (context: FaultContext, at: number): Promise<void> => {
  const { operator, randomInt, world } = context;
  const tenant = sampleWorkload.tenantNames[randomInt(sampleWorkload.tenantNames.length)] as string;
  const key = `last-key-${operator.nextChangeNumber()}`;
  const grant = await operator.grant(key, tenant, null);
  startKeyTraffic(context, { key, tenant, everyMs: 100, durationMs: 8_000, longShare: 0.1 });
  await context.wait(1_000);
  const response = await operator.revokeAt(at, key);
  if (response.status === 200) grant.validUntil = world.time;
};

const acknowledgeDraining = async (context: FaultContext, at: number): Promise<void> => {
  const { fleet, operator } = context;
  const name = fleet.replicaName(context.randomInt(fleet.options.replicaCount));
  if (!context.claim(name)) return;
  const response = await operator.drainAt(at, name);
  if (response.status === 200) operator.recordDraining(name);
  void restartDrained(context, name);
};

const restartDrained = async (context: FaultContext, name: string): Promise<void> => {
  await context.wait(4_500);
  context.fleet.killReplica(name);
  await context.wait(200);
  await context.restartReplica(name);
  context.release(name);
};

const acknowledgements = [acknowledgeChange, acknowledgeRevocation, acknowledgeDraining];

const crashAfterAcknowledgement = (context: FaultContext): Promise<void> | null =>
  context.withRandomControlNode(async (at) => {
    const { fleet } = context;
    const losesDisk = context.random() < 0.4;
    await acknowledgements[context.randomInt(acknowledgements.length)]?.(context, at);
    fleet.killControlNode(at, losesDisk);
    await context.waitBetween(100, 3_000);
    await fleet.bootControlNode(at);
    if (losesDisk) await context.waitUntilVoter(at, maxVoterPolls);
  }, true);

/** An acknowledged change must survive the crash. */
export const crashesAfterAcknowledgement = {
  'control node dies having confirmed': crashAfterAcknowledgement,
} satisfies Injections;
