import type { FaultContext, Injections } from './faultContext.js';

export const clockFaults = (context: FaultContext) => {
  const { fleet, world } = context;

  return {
    'clock jumps': () => {
      const hosts = [...fleet.postmasterHosts, ...fleet.counterHosts];
      const machine = world.machine(hosts[context.pick(hosts.length)] as string);
      machine.wallClockOffset += (context.random() < 0.5 ? -1 : 1) * context.randomBetween(2_000, 4_000_000);
      return context.wait(1);
    },
    'clock jumps over a freeze': () => {
      const isCounter = context.random() < 0.6;
      const work = async (at: number): Promise<void> => {
        const machine = fleet.machineOf(isCounter ? 'counter' : 'postmaster', at);
        machine.freeze();
        await context.wait(context.randomBetween(300, 8_000));
        const keepsWall = context.random() < 0.5;
        if (!keepsWall)
          machine.wallClockOffset += (context.random() < 0.5 ? -1 : 1) * context.randomBetween(2_000, 4_000_000);
        machine.thaw(keepsWall);
        await context.wait(1_000);
      };
      return isCounter ? context.onCounter(work) : context.onPostmaster(work);
    },
  } satisfies Injections;
};
