/** Partitions and slow links between gateways, control nodes and replicas. */
import type { FaultContext, Injections } from './faultContext.js';

const isolateGateway = (context: FaultContext): Promise<void> | null =>
  context.withRandomGateway(async (at) => {
    const host = context.fleet.gatewayHosts[at] as string;
    context.world.isolate(host);
    await context.waitBetween(500, 6_000);
    context.world.reconnect(host);
  });

const partitionFrom = async (
  context: FaultContext,
  host: string,
  others: readonly string[],
  durationMs: readonly [lowMs: number, highMs: number],
): Promise<void> => {
  for (const other of others) context.world.partition(host, other);
  await context.waitBetween(...durationMs);
  for (const other of others) context.world.heal(host, other);
};

const partitionGatewayFromMajority = (context: FaultContext): Promise<void> | null =>
  context.withRandomGateway((at) => {
    const { gatewayHosts, controlNodeHosts } = context.fleet;
    const reached = context.randomInt(controlNodeHosts.length);
    const others = controlNodeHosts.filter((_, index) => index !== reached);
    return partitionFrom(context, gatewayHosts[at] as string, others, [1_000, 6_000]);
  });

const isolateControlNode = (context: FaultContext): Promise<void> | null =>
  context.withRandomControlNode(async (at) => {
    const host = context.fleet.controlNodeHosts[at] as string;
    context.world.isolate(host);
    await context.waitBetween(500, 8_000);
    context.world.reconnect(host);
  });

const partitionControlNodes = (context: FaultContext): Promise<void> | null =>
  context.withRandomControlNode(async () => {
    const { world, fleet } = context;
    const [a, b, c] = fleet.controlNodeHosts as [string, string, string];
    world.partition(a, b);
    if (context.random() < 0.5) world.partition(b, c);
    if (context.random() < 0.3) world.partition(a, c);
    await context.waitBetween(500, 6_000);
    world.heal(a, b);
    world.heal(b, c);
    world.heal(a, c);
  }, true);

const blockOneDirection = (context: FaultContext): Promise<void> | null =>
  context.withRandomControlNode(async (at) => {
    const { fleet, world } = context;
    const own = fleet.controlNodeHosts[at] as string;
    const hosts = [...fleet.controlNodeHosts, ...fleet.gatewayHosts].filter((host) => host !== own);
    const other = hosts[context.randomInt(hosts.length)] as string;
    const [from, to] = context.random() < 0.5 ? [own, other] : [other, own];
    world.blockLink(from, to);
    await context.waitBetween(500, 8_000);
    world.unblockLink(from, to);
  });

const partitionReplica = (context: FaultContext): Promise<void> | null =>
  context.withRandomReplica((name) => {
    const { fleet } = context;
    const others = fleet.gatewayHosts.filter(() => context.random() < 0.5);
    return partitionFrom(context, fleet.hostOfReplica(name), others, [500, 6_000]);
  });

const slowReplicaLinks = (context: FaultContext): Promise<void> | null =>
  context.withRandomReplica(async (name) => {
    const replica = context.fleet.runningReplicas.get(name);
    replica?.setFaults({ pullDelayMs: 1_500 });
    await context.waitBetween(1_000, 6_000);
    replica?.setFaults({ pullDelayMs: 0 });
  });

/** Each partition or delay ends after a few seconds. */
export const networkPartitions = {
  'counter is isolated': isolateGateway,
  'counter hears a minority': partitionGatewayFromMajority,
  'control node is isolated': isolateControlNode,
  'control nodes are cut apart': partitionControlNodes,
  'one-way cut': blockOneDirection,
  'replica is cut from some counters': partitionReplica,
  'links between replicas slow': slowReplicaLinks,
} satisfies Injections;
