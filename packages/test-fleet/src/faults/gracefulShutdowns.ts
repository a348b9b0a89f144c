import type { FaultContext, Injections } from './faultContext.js';

export const gracefulShutdowns = (context: FaultContext) => {
  const { fleet, checker, world } = context;

  return {
    'replica leaves': () =>
      context.onReplica(async (name) => {
        const incarnation = fleet.incarnationOf(name);
        await context.retryUntilAccepted((at) => fleet.onPostmaster(at, 'POST', `/platform/replicas/${name}/leaving`));
        checker.drainingSince.push({ name, incarnation, at: world.time });
        await context.wait(context.randomBetween(3_500, 6_000));
        fleet.killReplica(name);
        await context.wait(500);
        await context.restartReplica(name);
      }),
    'replicas are replaced in turn': () => {
      const names = fleet.replicaNames().filter(context.claim);
      return (async () => {
        for (const name of names) {
          const incarnation = fleet.incarnationOf(name);
          await context.retryUntilAccepted((at) =>
            fleet.onPostmaster(at, 'POST', `/platform/replicas/${name}/leaving`),
          );
          checker.drainingSince.push({ name, incarnation, at: world.time });
          await context.wait(context.randomBetween(200, 1_200));
          fleet.killReplica(name);
          await context.wait(context.randomBetween(100, 600));
          await context.restartReplica(name);
          context.release(name);
        }
      })();
    },
    'counter is told to stop': () =>
      context.onCounter(async (at) => {
        if (context.random() < 0.5) return fleet.rollCounter(at);
        void fleet.counters[at]?.drain();
        await context.wait(context.randomBetween(50, 1_500));
        fleet.killCounter(at);
        await fleet.bootCounter(at);
      }),
    'postmaster is told to stop': () => context.onPostmaster((at) => fleet.rollPostmaster(at)),
  } satisfies Injections;
};
