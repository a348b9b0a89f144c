import type { FaultContext, Injections } from './faultContext.js';

export const caches = (storm: FaultContext) => {
  const { fleet, world } = storm;

  const disturbNews = (faults: { delayNewsMs: number } | { dropNews: boolean }): Promise<void> | null =>
    storm.onReplica(async (name) => {
      const standIn = fleet.current.get(name);
      if (standIn !== undefined) Object.assign(standIn.faults, faults);
      await storm.wait(storm.span(1_000, 8_000));
      if (standIn !== undefined) Object.assign(standIn.faults, { delayNewsMs: 0, dropNews: false });
    });

  return {
    'kv news is late': () => disturbNews({ delayNewsMs: 3_000 }),
    'kv news is lost': () => disturbNews({ dropNews: true }),
    'cache store is lost': () => {
      if (!fleet.current.has('store-1') || !storm.claim('store-1')) return null;
      return (async () => {
        fleet.killReplica('store-1');
        await storm.wait(storm.span(200, 3_000));
        if (storm.random() < 0.5) await storm.comeBack('store-1');
        else {
          world.machine(fleet.storeHost).boot();
          fleet.startStandIn('store-1', fleet.storeHost, { incarnation: fleet.incarnationOf('store-1') });
        }
        const standIn = fleet.current.get('store-1');
        if (standIn !== undefined && storm.random() < 0.5) standIn.faults.delayNewsMs = storm.span(200, 3_000);
        await storm.wait(storm.span(500, 5_000));
        if (standIn !== undefined) standIn.faults.delayNewsMs = 0;
      })().finally(() => storm.free('store-1'));
    },
  } satisfies Injections;
};
