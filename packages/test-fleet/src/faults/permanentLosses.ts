/** Permanent losses: a part of the fleet may be lost permanently at the end of a run. */
import type { FaultContext } from './faultContext.js';
import type { PermanentLossKind } from './faultSchedule.js';

const zoneCount = 3;

const loseGateways = ({ fleet, checker }: FaultContext, lost: readonly number[]): void => {
  for (const at of lost) {
    fleet.killGateway(at);
    checker.lostGateways.add(at);
  }
};

const vanishReplica = ({ fleet, randomInt, world }: FaultContext): string => {
  const name = fleet.replicaName(randomInt(fleet.options.replicaCount));
  world.machine(fleet.hostOfReplica(name)).vanish();
  return name;
};

/** Injects the loss; the rest of the fleet must continue to serve. */
export const injectPermanentLoss = async (context: FaultContext, kind: PermanentLossKind): Promise<void> => {
  const { fleet, randomInt } = context;
  switch (kind) {
    case 'counter lost for good':
      return loseGateways(context, [randomInt(fleet.options.gatewayCount)]);
    case 'front of a zone lost for good': {
      const zone = randomInt(fleet.options.gatewayCount) % zoneCount;
      return loseGateways(
        context,
        context.gateways().filter((at) => at % zoneCount === zone),
      );
    }
    case 'control node lost for good':
      return fleet.killControlNode(randomInt(fleet.controlNodeHosts.length), context.random() < 0.5);
    case 'replica lost for good':
      return context.operator.removeReplica(vanishReplica(context));
    case 'replica silent for good':
      vanishReplica(context);
      return;
    case 'none':
      return;
  }
};
