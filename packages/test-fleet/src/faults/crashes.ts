/** Crashes of replicas, gateways and control nodes, alone, in groups and by zone. */
import type { FaultContext, Injections } from './faultContext.js';

const zoneCount = 3;

const crashReplica = (context: FaultContext): Promise<void> | null =>
  context.withRandomReplica(async (name) => {
    context.fleet.killReplica(name);
    await context.waitBetween(200, 2_000);
    if (context.random() < 0.5) await context.operator.removeReplica(name);
    await context.waitBetween(200, 2_000);
    await context.restartReplica(name);
  });

const vanishReplica = (context: FaultContext): Promise<void> | null =>
  context.withRandomReplica(async (name) => {
    const { fleet, world } = context;
    world.machine(fleet.hostOfReplica(name)).vanish();
    fleet.runningReplicas.delete(name);
    await context.waitBetween(500, 3_000);
    await context.operator.removeReplica(name);
    await context.waitBetween(1_000, 4_000);
    await context.restartReplica(name);
  });

const crashPool = async (context: FaultContext): Promise<void> => {
  const names = context.fleet.replicaNames().filter(context.claim);
  for (const name of names) context.fleet.killReplica(name);
  await context.waitBetween(500, 3_000);
  for (const name of names) {
    await context.restartReplica(name);
    context.release(name);
  }
};

const crashGateway = (context: FaultContext): Promise<void> | null =>
  context.withRandomGateway(async (at) => {
    context.fleet.killGateway(at);
    await context.waitBetween(100, 3_000);
    await context.fleet.bootGateway(at);
  });

const crashAllGateways = async (context: FaultContext): Promise<void> => {
  const gateways = context.claimGateways(context.gateways());
  for (const at of gateways) context.fleet.killGateway(at);
  await context.waitBetween(100, 3_000);
  for (const at of gateways) {
    await context.fleet.bootGateway(at);
    context.releaseGateway(at);
  }
};

const crashControlNode = (context: FaultContext): Promise<void> | null =>
  context.withRandomControlNode(async (at) => {
    context.fleet.killControlNode(at);
    await context.waitBetween(100, 4_000);
    await context.fleet.bootControlNode(at);
  });

const crashAllControlNodes = async (context: FaultContext): Promise<void> => {
  const nodes = context.claimControlNodes();
  for (const at of nodes) context.fleet.killControlNode(at);
  await context.waitBetween(100, 3_000);
  for (const at of nodes) {
    await context.fleet.bootControlNode(at);
    context.releaseControlNode(at);
  }
};

/** The machines are down at the same time, and are released for other faults only when all of them are up again. */
const crashTogether = async (
  context: FaultContext,
  gateways: readonly number[],
  controlNodes: readonly number[],
  outageMs: readonly [lowMs: number, highMs: number],
): Promise<void> => {
  const { fleet } = context;
  for (const at of gateways) fleet.killGateway(at);
  for (const at of controlNodes) fleet.killControlNode(at);
  await context.waitBetween(...outageMs);
  for (const at of controlNodes) await fleet.bootControlNode(at);
  for (const at of gateways) await fleet.bootGateway(at);
  controlNodes.forEach(context.releaseControlNode);
  gateways.forEach(context.releaseGateway);
};

const crashAllMachines = (context: FaultContext): Promise<void> => {
  const gateways = context.claimGateways(context.gateways());
  return crashTogether(context, gateways, context.claimControlNodes(), [500, 4_000]);
};

const crashZone = (context: FaultContext): Promise<void> => {
  const zone = context.randomInt(zoneCount);
  const gateways = context.claimGateways(context.gateways().filter((at) => at % zoneCount === zone));
  return crashTogether(context, gateways, context.claimControlNodes([zone]), [1_000, 8_000]);
};

/** The crashed machines restart after a few seconds. */
export const crashes = {
  'replica crashes': crashReplica,
  'replica vanishes': vanishReplica,
  'whole pool dies': crashPool,
  'counter dies': crashGateway,
  'counters die in a herd': crashAllGateways,
  'control node dies': crashControlNode,
  'control nodes die in a herd': crashAllControlNodes,
  'all machines die': crashAllMachines,
  'a zone is lost': crashZone,
} satisfies Injections;
