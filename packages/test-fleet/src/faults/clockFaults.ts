/** Jumps of wall clocks, and monotonic clocks that stop while a process is frozen. */
import type { FaultContext, Injections } from './faultContext.js';

const minJumpMs = 2_000;
const maxJumpMs = 4_000_000;

const randomJump = (context: FaultContext): number =>
  (context.random() < 0.5 ? -1 : 1) * context.randomBetween(minJumpMs, maxJumpMs);

const jump = (context: FaultContext): Promise<void> => {
  const { fleet, world } = context;
  const hosts = [...fleet.controlNodeHosts, ...fleet.gatewayHosts];
  const machine = world.machine(hosts[context.randomInt(hosts.length)] as string);
  machine.wallClockOffset += randomJump(context);
  return context.wait(1);
};

/** In half of the cases the wall clock jumps over the pause, in the others the monotonic clock stands still. */
const jumpOverPause = (context: FaultContext): Promise<void> | null => {
  const isGateway = context.random() < 0.6;
  const inject = async (at: number): Promise<void> => {
    const machine = context.fleet.machineOf(isGateway ? 'gateway' : 'control', at);
    machine.freeze();
    await context.waitBetween(300, 8_000);
    const stopsMonotonic = context.random() < 0.5;
    if (!stopsMonotonic) machine.wallClockOffset += randomJump(context);
    machine.thaw(stopsMonotonic);
    await context.wait(1_000);
  };
  return isGateway ? context.withRandomGateway(inject) : context.withRandomControlNode(inject);
};

/** Wall clocks keep their offset until the end of the run. */
export const clockFaults = {
  'clock jumps': jump,
  'clock jumps over a freeze': jumpOverPause,
} satisfies Injections;
