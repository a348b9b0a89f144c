import type { FaultContext, Injections } from './faultContext.js';

export const disks = (storm: FaultContext) => {
  const { fleet } = storm;

  const spoil = (mood: 'isFull' | 'failsSync'): Promise<void> | null =>
    storm.onPostmaster(async (at) => {
      const { disk } = fleet.machineOf('postmaster', at);
      disk.mood[mood] = true;
      await storm.wait(storm.span(500, 5_000));
      disk.mood.isFull = false;
      disk.mood.failsSync = false;
    });

  return {
    'postmaster loses its disk': () =>
      storm.onPostmaster(async (at) => {
        fleet.killPostmaster(at, true);
        await storm.wait(storm.span(100, 3_000));
        await fleet.bootPostmaster(at);
        for (let shot = 0; shot < 300 && fleet.postmasters[at]?.acceptor.isVoter() !== true; shot += 1)
          await storm.wait(100);
        if (fleet.postmasters[at]?.acceptor.isVoter() !== true)
          throw new Error('the empty postmaster was never swapped in');
      }, true),
    'disk stalls': () =>
      storm.onPostmaster(async (at) => {
        const { disk } = fleet.machineOf('postmaster', at);
        disk.mood.isStalled = true;
        await storm.wait(storm.span(500, 5_000));
        disk.unstall();
      }),
    'disk is full': () => spoil('isFull'),
    'disk fails to sync': () => spoil('failsSync'),
    'disk is slow': () =>
      storm.onPostmaster(async (at) => {
        const { disk } = fleet.machineOf('postmaster', at);
        disk.mood.delayMs = storm.span(20, 400);
        await storm.wait(storm.span(1_000, 8_000));
        disk.mood.delayMs = 0;
      }),
  } satisfies Injections;
};
