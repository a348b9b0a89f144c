/** Disk faults of control nodes. */
import type { FaultContext, Injections } from './faultContext.js';

const maxVoterPolls = 300;

const loseDisk = (context: FaultContext): Promise<void> | null =>
  context.withRandomControlNode(async (at) => {
    context.fleet.killControlNode(at, true);
    await context.waitBetween(100, 3_000);
    await context.fleet.bootControlNode(at);
    await context.waitUntilVoter(at, maxVoterPolls);
  }, true);

const stall = (context: FaultContext): Promise<void> | null =>
  context.withRandomControlNode(async (at) => {
    const { disk } = context.fleet.machineOf('control', at);
    disk.faults.isStalled = true;
    await context.waitBetween(500, 5_000);
    disk.unstall();
  });

/** A restart in the meantime also clears both faults. */
const failWrites = (context: FaultContext, fault: 'isFull' | 'failsSync'): Promise<void> | null =>
  context.withRandomControlNode(async (at) => {
    const { disk } = context.fleet.machineOf('control', at);
    disk.faults[fault] = true;
    await context.waitBetween(500, 5_000);
    disk.faults.isFull = false;
    disk.faults.failsSync = false;
  });

const slowDown = (context: FaultContext): Promise<void> | null =>
  context.withRandomControlNode(async (at) => {
    const { disk } = context.fleet.machineOf('control', at);
    disk.faults.delayMs = context.randomBetween(20, 400);
    await context.waitBetween(1_000, 8_000);
    disk.faults.delayMs = 0;
  });

/** A lost disk comes back empty; the other disks recover with their contents. */
export const diskFaults = {
  'control node loses its disk': loseDisk,
  'disk stalls': stall,
  'disk is full': (context) => failWrites(context, 'isFull'),
  'disk fails to sync': (context) => failWrites(context, 'failsSync'),
  'disk is slow': slowDown,
} satisfies Injections;
