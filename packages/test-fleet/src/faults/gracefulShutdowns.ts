/** Graceful shutdowns: replicas that drain, and gateways and control nodes that are stopped. */
import type { FaultContext, Injections } from './faultContext.js';

const drain = async (context: FaultContext, name: string): Promise<void> => {
  const { fleet, operator } = context;
  const incarnation = fleet.incarnationOf(name);
  await operator.retryUntilAccepted((at) => operator.drainAt(at, name));
  operator.recordDraining(name, incarnation);
};

const drainReplica = (context: FaultContext): Promise<void> | null =>
  context.withRandomReplica(async (name) => {
    await drain(context, name);
    await context.waitBetween(3_500, 6_000);
    context.fleet.killReplica(name);
    await context.wait(500);
    await context.restartReplica(name);
  });

const replaceReplicasInTurn = async (context: FaultContext): Promise<void> => {
  const names = context.fleet.replicaNames().filter(context.claim);
  for (const name of names) {
    await drain(context, name);
    await context.waitBetween(200, 1_200);
    context.fleet.killReplica(name);
    await context.waitBetween(100, 600);
    await context.restartReplica(name);
    context.release(name);
  }
};

/** In half of the cases the gateway is killed, possibly before it has drained. */
const stopGateway = (context: FaultContext): Promise<void> | null =>
  context.withRandomGateway(async (at) => {
    const { fleet } = context;
    if (context.random() < 0.5) return fleet.restartGateway(at);
    void fleet.gateways[at]?.drain();
    await context.waitBetween(50, 1_500);
    fleet.killGateway(at);
    await fleet.bootGateway(at);
  });

const stopControlNode = (context: FaultContext): Promise<void> | null =>
  context.withRandomControlNode((at) => context.fleet.restartControlNode(at));

/** The stopped processes are started again. */
export const gracefulShutdowns = {
  'replica leaves': drainReplica,
  'replicas are replaced in turn': replaceReplicasInTurn,
  'counter is told to stop': stopGateway,
  'control node is told to stop': stopControlNode,
} satisfies Injections;
