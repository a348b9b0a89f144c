import type { FaultContext } from './faultContext.js';
import type { PermanentLossKind } from './faultSchedule.js';

export const injectPermanentLoss = async (context: FaultContext, final: PermanentLossKind): Promise<void> => {
  const { fleet, checker } = context;
  switch (final) {
    case 'counter lost for good':
    case 'front of a zone lost for good': {
      const at = context.pick(fleet.options.fronts);
      const lost =
        final === 'counter lost for good'
          ? [at]
          : fleet.counterHosts.map((_, one) => one).filter((one) => one % 3 === at % 3);
      for (const one of lost) {
        fleet.killCounter(one);
        checker.lostGateways.add(one);
      }
      return;
    }
    case 'postmaster lost for good':
      return fleet.killPostmaster(context.pick(3), context.random() < 0.5);
    case 'replica lost for good':
    case 'replica silent for good': {
      const name = fleet.replicaName(context.pick(fleet.options.replicas));
      fleet.world.machine(fleet.hostOfReplica(name)).vanish();
      if (final === 'replica lost for good')
        await context.retryUntilAccepted((at) => fleet.onPostmaster(at, 'DELETE', `/platform/replicas/${name}`));
      return;
    }
    case 'none':
      return;
  }
};
