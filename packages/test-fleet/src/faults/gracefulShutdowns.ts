import type { FaultContext, Injections } from './faultContext.js';

export const stops = (storm: FaultContext) => {
  const { fleet, judge, world } = storm;

  return {
    'replica leaves': () =>
      storm.onReplica(async (name) => {
        const incarnation = fleet.incarnationOf(name);
        await storm.tellUntilTaken((at) => fleet.onPostmaster(at, 'POST', `/platform/replicas/${name}/leaving`));
        judge.leftAt.push({ name, incarnation, at: world.time });
        await storm.wait(storm.span(3_500, 6_000));
        fleet.killReplica(name);
        await storm.wait(500);
        await storm.comeBack(name);
      }),
    'replicas are replaced in turn': () => {
      const names = fleet.replicaHosts.map((_, at) => fleet.replicaName(at)).filter(storm.claim);
      return (async () => {
        for (const name of names) {
          const incarnation = fleet.incarnationOf(name);
          await storm.tellUntilTaken((at) => fleet.onPostmaster(at, 'POST', `/platform/replicas/${name}/leaving`));
          judge.leftAt.push({ name, incarnation, at: world.time });
          await storm.wait(storm.span(200, 1_200));
          fleet.killReplica(name);
          await storm.wait(storm.span(100, 600));
          await storm.comeBack(name);
          storm.free(name);
        }
      })();
    },
    'counter is told to stop': () =>
      storm.onCounter(async (at) => {
        if (storm.random() < 0.5) return fleet.rollCounter(at);
        void fleet.counters[at]?.drain();
        await storm.wait(storm.span(50, 1_500));
        fleet.killCounter(at);
        await fleet.bootCounter(at);
      }),
    'postmaster is told to stop': () => storm.onPostmaster((at) => fleet.rollPostmaster(at)),
  } satisfies Injections;
};
