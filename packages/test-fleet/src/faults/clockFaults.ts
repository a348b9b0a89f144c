import type { FaultContext, Injections } from './faultContext.js';

export const clocks = (storm: FaultContext) => {
  const { fleet, world } = storm;

  return {
    'clock jumps': () => {
      const hosts = [...fleet.postmasterHosts, ...fleet.counterHosts];
      const machine = world.machine(hosts[storm.pick(hosts.length)] as string);
      machine.wallJump += (storm.random() < 0.5 ? -1 : 1) * storm.span(2_000, 4_000_000);
      return storm.wait(1);
    },
    'clock jumps over a freeze': () => {
      const isCounter = storm.random() < 0.6;
      const work = async (at: number): Promise<void> => {
        const machine = fleet.machineOf(isCounter ? 'counter' : 'postmaster', at);
        machine.freeze();
        await storm.wait(storm.span(300, 8_000));
        const keepsWall = storm.random() < 0.5;
        if (!keepsWall) machine.wallJump += (storm.random() < 0.5 ? -1 : 1) * storm.span(2_000, 4_000_000);
        machine.thaw(keepsWall);
        await storm.wait(1_000);
      };
      return isCounter ? storm.onCounter(work) : storm.onPostmaster(work);
    },
  } satisfies Injections;
};
