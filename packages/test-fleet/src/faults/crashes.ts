import type { FaultContext, Injections } from './faultContext.js';

export const kills = (storm: FaultContext) => {
  const { fleet, world } = storm;

  return {
    'replica crashes': () =>
      storm.onReplica(async (name) => {
        fleet.killReplica(name);
        await storm.wait(storm.span(200, 2_000));
        if (storm.random() < 0.5)
          await storm.tellUntilTaken((at) => fleet.onPostmaster(at, 'DELETE', `/platform/replicas/${name}`));
        await storm.wait(storm.span(200, 2_000));
        await storm.comeBack(name);
      }),
    'replica vanishes': () =>
      storm.onReplica(async (name) => {
        world.machine(fleet.hostOfReplica(name)).vanish();
        fleet.current.delete(name);
        await storm.wait(storm.span(500, 3_000));
        await storm.tellUntilTaken((at) => fleet.onPostmaster(at, 'DELETE', `/platform/replicas/${name}`));
        await storm.wait(storm.span(1_000, 4_000));
        await storm.comeBack(name);
      }),
    'whole pool dies': () => {
      const names = fleet.replicaHosts.map((_, at) => fleet.replicaName(at)).filter(storm.claim);
      for (const name of names) fleet.killReplica(name);
      return storm.wait(storm.span(500, 3_000)).then(async () => {
        for (const name of names) {
          await storm.comeBack(name);
          storm.free(name);
        }
      });
    },
    'counter dies': () =>
      storm.onCounter(async (at) => {
        fleet.killCounter(at);
        await storm.wait(storm.span(100, 3_000));
        await fleet.bootCounter(at);
      }),
    'counters die in a herd': () => {
      const some = fleet.counterHosts.map((_, at) => at).filter((at) => storm.claim(`counter ${at}`));
      for (const at of some) fleet.killCounter(at);
      return storm.wait(storm.span(100, 3_000)).then(async () => {
        for (const at of some) {
          await fleet.bootCounter(at);
          storm.free(`counter ${at}`);
        }
      });
    },
    'postmaster dies': () =>
      storm.onPostmaster(async (at) => {
        fleet.killPostmaster(at);
        await storm.wait(storm.span(100, 4_000));
        await fleet.bootPostmaster(at);
      }),
    'postmasters die in a herd': () => {
      const some = [0, 1, 2].filter((at) => storm.claim(`postmaster ${at}`));
      for (const at of some) fleet.killPostmaster(at);
      return storm.wait(storm.span(100, 3_000)).then(async () => {
        for (const at of some) {
          await fleet.bootPostmaster(at);
          storm.free(`postmaster ${at}`);
        }
      });
    },
    'all machines die': () => {
      const counterAts = fleet.counterHosts.map((_, at) => at).filter((at) => storm.claim(`counter ${at}`));
      const postmasterAts = [0, 1, 2].filter((at) => storm.claim(`postmaster ${at}`));
      for (const at of counterAts) fleet.killCounter(at);
      for (const at of postmasterAts) fleet.killPostmaster(at);
      return storm.wait(storm.span(500, 4_000)).then(async () => {
        for (const at of postmasterAts) await fleet.bootPostmaster(at);
        for (const at of counterAts) await fleet.bootCounter(at);
        for (const at of postmasterAts) storm.free(`postmaster ${at}`);
        for (const at of counterAts) storm.free(`counter ${at}`);
      });
    },
    'a zone is lost': () => {
      const zone = storm.pick(3);
      const counterAts = fleet.counterHosts
        .map((_, at) => at)
        .filter((at) => at % 3 === zone && storm.claim(`counter ${at}`));
      const hasPostmaster = storm.claim(`postmaster ${zone}`);
      for (const at of counterAts) fleet.killCounter(at);
      if (hasPostmaster) fleet.killPostmaster(zone);
      return storm.wait(storm.span(1_000, 8_000)).then(async () => {
        if (hasPostmaster) await fleet.bootPostmaster(zone);
        for (const at of counterAts) await fleet.bootCounter(at);
        if (hasPostmaster) storm.free(`postmaster ${zone}`);
        for (const at of counterAts) storm.free(`counter ${at}`);
      });
    },
  } satisfies Injections;
};
