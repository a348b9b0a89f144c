import type { FaultContext, Injections } from './faultContext.js';

export const diskFaults = (context: FaultContext) => {
  const { fleet } = context;

  const spoil = (mood: 'isFull' | 'failsSync'): Promise<void> | null =>
    context.onPostmaster(async (at) => {
      const { disk } = fleet.machineOf('postmaster', at);
      disk.faults[mood] = true;
      await context.wait(context.randomBetween(500, 5_000));
      disk.faults.isFull = false;
      disk.faults.failsSync = false;
    });

  return {
    'postmaster loses its disk': () =>
      context.onPostmaster(async (at) => {
        fleet.killPostmaster(at, true);
        await context.wait(context.randomBetween(100, 3_000));
        await fleet.bootPostmaster(at);
        for (let shot = 0; shot < 300 && fleet.postmasters[at]?.acceptor.isVoter() !== true; shot += 1)
          await context.wait(100);
        if (fleet.postmasters[at]?.acceptor.isVoter() !== true)
          throw new Error('the empty postmaster was never swapped in');
      }, true),
    'disk stalls': () =>
      context.onPostmaster(async (at) => {
        const { disk } = fleet.machineOf('postmaster', at);
        disk.faults.isStalled = true;
        await context.wait(context.randomBetween(500, 5_000));
        disk.unstall();
      }),
    'disk is full': () => spoil('isFull'),
    'disk fails to sync': () => spoil('failsSync'),
    'disk is slow': () =>
      context.onPostmaster(async (at) => {
        const { disk } = fleet.machineOf('postmaster', at);
        disk.faults.delayMs = context.randomBetween(20, 400);
        await context.wait(context.randomBetween(1_000, 8_000));
        disk.faults.delayMs = 0;
      }),
  } satisfies Injections;
};
