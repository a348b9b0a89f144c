/** Jumps of wall clocks, and monotonic clocks that stand still in a pause. */
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

/** In one half of the cases the wall clock jumps, in the other the monotonic clock stood still. */
const jumpOverPause = (context: FaultContext): Promise<void> | null => {
  const isGateway = context.random() < 0.6;
  const work = async (at: number): Promise<void> => {
    const machine = context.fleet.machineOf(isGateway ? 'gateway' : 'control', at);
    machine.freeze();
    await context.waitBetween(300, 8_000);
    const keepsWallClock = context.random() < 0.5;
    if (!keepsWallClock) machine.wallClockOffset += randomJump(context);
    machine.thaw(keepsWallClock);
    await context.wait(1_000);
  };
  return isGateway ? context.withRandomGateway(work) : context.withRandomControlNode(work);
};

/** Wall clocks stay wrong to the end of the run. */
export const clockFaults = {
  'clock jumps': jump,
  'clock jumps over a freeze': jumpOverPause,
} satisfies Injections;
