import type { FaultContext, Injections } from './faultContext.js';

export const freezes = (storm: FaultContext) => {
  const { fleet, world } = storm;

  return {
    'replica freezes': () =>
      storm.onReplica(async (name) => {
        const machine = world.machine(fleet.hostOfReplica(name));
        machine.freeze();
        await storm.wait(storm.span(500, 6_000));
        machine.thaw();
      }),
    'counter freezes': () =>
      storm.onCounter(async (at) => {
        const machine = fleet.machineOf('counter', at);
        machine.freeze();
        await storm.wait(storm.span(500, 20_000));
        machine.thaw();
      }),
    'postmaster freezes': () =>
      storm.onPostmaster(async (at) => {
        const machine = fleet.machineOf('postmaster', at);
        machine.freeze();
        await storm.wait(storm.span(500, 8_000));
        machine.thaw();
      }),
  } satisfies Injections;
};
