import type { FaultContext } from './faultContext.js';
import type { FinalKind } from './faultSchedule.js';

export const bringFinal = async (storm: FaultContext, final: FinalKind): Promise<void> => {
  const { fleet, judge } = storm;
  switch (final) {
    case 'counter lost for good':
    case 'front of a zone lost for good': {
      const at = storm.pick(fleet.plan.fronts);
      const lost =
        final === 'counter lost for good'
          ? [at]
          : fleet.counterHosts.map((_, one) => one).filter((one) => one % 3 === at % 3);
      for (const one of lost) {
        fleet.killCounter(one);
        judge.gone.add(one);
      }
      return;
    }
    case 'postmaster lost for good':
      return fleet.killPostmaster(storm.pick(3), storm.random() < 0.5);
    case 'replica lost for good':
    case 'replica silent for good': {
      const name = fleet.replicaName(storm.pick(fleet.plan.replicas));
      fleet.world.machine(fleet.hostOfReplica(name)).vanish();
      if (final === 'replica lost for good')
        await storm.tellUntilTaken((at) => fleet.onPostmaster(at, 'DELETE', `/platform/replicas/${name}`));
      return;
    }
    case 'none':
      return;
  }
};
