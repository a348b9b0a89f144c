import type { FaultContext, Injections } from './faultContext.js';

export const crashes = (context: FaultContext) => {
  const { fleet, world } = context;

  return {
    'replica crashes': () =>
      context.onReplica(async (name) => {
        fleet.killReplica(name);
        await context.wait(context.randomBetween(200, 2_000));
        if (context.random() < 0.5)
          await context.retryUntilAccepted((at) => fleet.onPostmaster(at, 'DELETE', `/platform/replicas/${name}`));
        await context.wait(context.randomBetween(200, 2_000));
        await context.restartReplica(name);
      }),
    'replica vanishes': () =>
      context.onReplica(async (name) => {
        world.machine(fleet.hostOfReplica(name)).vanish();
        fleet.runningReplicas.delete(name);
        await context.wait(context.randomBetween(500, 3_000));
        await context.retryUntilAccepted((at) => fleet.onPostmaster(at, 'DELETE', `/platform/replicas/${name}`));
        await context.wait(context.randomBetween(1_000, 4_000));
        await context.restartReplica(name);
      }),
    'whole pool dies': () => {
      const names = fleet.replicaNames().filter(context.claim);
      for (const name of names) fleet.killReplica(name);
      return context.wait(context.randomBetween(500, 3_000)).then(async () => {
        for (const name of names) {
          await context.restartReplica(name);
          context.release(name);
        }
      });
    },
    'counter dies': () =>
      context.onCounter(async (at) => {
        fleet.killCounter(at);
        await context.wait(context.randomBetween(100, 3_000));
        await fleet.bootCounter(at);
      }),
    'counters die in a herd': () => {
      const some = fleet.counterHosts.map((_, at) => at).filter((at) => context.claim(`counter ${at}`));
      for (const at of some) fleet.killCounter(at);
      return context.wait(context.randomBetween(100, 3_000)).then(async () => {
        for (const at of some) {
          await fleet.bootCounter(at);
          context.release(`counter ${at}`);
        }
      });
    },
    'postmaster dies': () =>
      context.onPostmaster(async (at) => {
        fleet.killPostmaster(at);
        await context.wait(context.randomBetween(100, 4_000));
        await fleet.bootPostmaster(at);
      }),
    'postmasters die in a herd': () => {
      const some = [0, 1, 2].filter((at) => context.claim(`postmaster ${at}`));
      for (const at of some) fleet.killPostmaster(at);
      return context.wait(context.randomBetween(100, 3_000)).then(async () => {
        for (const at of some) {
          await fleet.bootPostmaster(at);
          context.release(`postmaster ${at}`);
        }
      });
    },
    'all machines die': () => {
      const counterAts = fleet.counterHosts.map((_, at) => at).filter((at) => context.claim(`counter ${at}`));
      const postmasterAts = [0, 1, 2].filter((at) => context.claim(`postmaster ${at}`));
      for (const at of counterAts) fleet.killCounter(at);
      for (const at of postmasterAts) fleet.killPostmaster(at);
      return context.wait(context.randomBetween(500, 4_000)).then(async () => {
        for (const at of postmasterAts) await fleet.bootPostmaster(at);
        for (const at of counterAts) await fleet.bootCounter(at);
        for (const at of postmasterAts) context.release(`postmaster ${at}`);
        for (const at of counterAts) context.release(`counter ${at}`);
      });
    },
    'a zone is lost': () => {
      const zone = context.pick(3);
      const counterAts = fleet.counterHosts
        .map((_, at) => at)
        .filter((at) => at % 3 === zone && context.claim(`counter ${at}`));
      const hasPostmaster = context.claim(`postmaster ${zone}`);
      for (const at of counterAts) fleet.killCounter(at);
      if (hasPostmaster) fleet.killPostmaster(zone);
      return context.wait(context.randomBetween(1_000, 8_000)).then(async () => {
        if (hasPostmaster) await fleet.bootPostmaster(zone);
        for (const at of counterAts) await fleet.bootCounter(at);
        if (hasPostmaster) context.release(`postmaster ${zone}`);
        for (const at of counterAts) context.release(`counter ${at}`);
      });
    },
  } satisfies Injections;
};
