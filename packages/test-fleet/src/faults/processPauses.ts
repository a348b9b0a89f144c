import type { FaultContext, Injections } from './faultContext.js';

export const processPauses = (context: FaultContext) => {
  const { fleet, world } = context;

  return {
    'replica freezes': () =>
      context.onReplica(async (name) => {
        const machine = world.machine(fleet.hostOfReplica(name));
        machine.freeze();
        await context.wait(context.randomBetween(500, 6_000));
        machine.thaw();
      }),
    'counter freezes': () =>
      context.onCounter(async (at) => {
        const machine = fleet.machineOf('counter', at);
        machine.freeze();
        await context.wait(context.randomBetween(500, 20_000));
        machine.thaw();
      }),
    'postmaster freezes': () =>
      context.onPostmaster(async (at) => {
        const machine = fleet.machineOf('postmaster', at);
        machine.freeze();
        await context.wait(context.randomBetween(500, 8_000));
        machine.thaw();
      }),
  } satisfies Injections;
};
