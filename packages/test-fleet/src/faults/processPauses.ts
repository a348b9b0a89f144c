/** Pauses of whole processes, as by a garbage collection, a suspended machine or a debugger. */
import type { SimMachine } from '../simulator/simMachine.js';
import type { FaultContext, Injections } from './faultContext.js';

const pause = async (context: FaultContext, machine: SimMachine, maxPauseMs: number): Promise<void> => {
  machine.freeze();
  await context.waitBetween(500, maxPauseMs);
  machine.thaw();
};

const pauseReplica = (context: FaultContext): Promise<void> | null =>
  context.withRandomReplica((name) => pause(context, context.world.machine(context.fleet.hostOfReplica(name)), 6_000));

const pauseGateway = (context: FaultContext): Promise<void> | null =>
  context.withRandomGateway((at) => pause(context, context.fleet.machineOf('gateway', at), 20_000));

const pauseControlNode = (context: FaultContext): Promise<void> | null =>
  context.withRandomControlNode((at) => pause(context, context.fleet.machineOf('control', at), 8_000));

/** The process continues afterwards as if no time had passed. */
export const processPauses = {
  'replica freezes': pauseReplica,
  'counter freezes': pauseGateway,
  'control node freezes': pauseControlNode,
} satisfies Injections;
