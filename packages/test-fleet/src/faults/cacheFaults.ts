import type { ReplicaFaults } from '../replica/emulatedReplica.js';
import type { FaultContext, Injections } from './faultContext.js';

export const cacheFaults = (context: FaultContext) => {
  const { fleet, world } = context;

  const disturbEvents = (faults: Partial<ReplicaFaults>): Promise<void> | null =>
    context.onReplica(async (name) => {
      const replica = fleet.runningReplicas.get(name);
      replica?.setFaults(faults);
      await context.wait(context.randomBetween(1_000, 8_000));
      replica?.setFaults({ eventDelayMs: 0, dropsEvents: false });
    });

  return {
    'kv news is late': () => disturbEvents({ eventDelayMs: 3_000 }),
    'kv news is lost': () => disturbEvents({ dropsEvents: true }),
    'cache store is lost': () => {
      if (!fleet.runningReplicas.has('store-1') || !context.claim('store-1')) return null;
      return (async () => {
        fleet.killReplica('store-1');
        await context.wait(context.randomBetween(200, 3_000));
        if (context.random() < 0.5) await context.restartReplica('store-1');
        else {
          world.machine(fleet.storeHost).boot();
          fleet.startReplica('store-1', fleet.storeHost, { incarnation: fleet.incarnationOf('store-1') });
        }
        const replica = fleet.runningReplicas.get('store-1');
        if (replica !== undefined && context.random() < 0.5)
          replica.faults.eventDelayMs = context.randomBetween(200, 3_000);
        await context.wait(context.randomBetween(500, 5_000));
        if (replica !== undefined) replica.faults.eventDelayMs = 0;
      })().finally(() => context.release('store-1'));
    },
  } satisfies Injections;
};
