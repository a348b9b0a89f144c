import type { FaultContext, Injections } from './faultContext.js';

export const replies = (storm: FaultContext) => {
  const { fleet } = storm;

  return {
    'replica errs': () =>
      storm.onReplica(async (name) => {
        const standIn = fleet.current.get(name);
        if (standIn !== undefined) standIn.faults.failStatus = storm.random() < 0.5 ? 500 : 503;
        await storm.wait(storm.span(500, 3_000));
        if (standIn !== undefined) standIn.faults.failStatus = null;
      }),
    'whole pool errs': () => {
      const standIns = fleet.replicaHosts.flatMap((_, at) => fleet.current.get(fleet.replicaName(at)) ?? []);
      for (const standIn of standIns) standIn.faults.failStatus = 500;
      return storm.wait(storm.span(1_000, 4_000)).then(() => {
        for (const standIn of standIns) standIn.faults.failStatus = null;
      });
    },
    'replica cuts streams': () =>
      storm.onReplica(async (name) => {
        const standIn = fleet.current.get(name);
        if (standIn !== undefined) standIn.faults.cutAfterPieces = storm.pick(6);
        await storm.wait(storm.span(500, 3_000));
        if (standIn !== undefined) standIn.faults.cutAfterPieces = null;
      }),
    'replica omits the end': () =>
      storm.onReplica(async (name) => {
        const standIn = fleet.current.get(name);
        if (standIn !== undefined)
          Object.assign(standIn.faults, {
            omitsEnd: true,
            cutAfterPieces: storm.random() < 0.5 ? storm.pick(6) : null,
          });
        await storm.wait(storm.span(500, 3_000));
        if (standIn !== undefined) Object.assign(standIn.faults, { omitsEnd: false, cutAfterPieces: null });
      }),
    'replica claims other weights': () =>
      storm.onReplica(async (name) => {
        const standIn = fleet.current.get(name);
        if (standIn !== undefined) standIn.faults.claimedWeights = 'stray';
        await storm.wait(storm.span(500, 3_000));
        if (standIn !== undefined) standIn.faults.claimedWeights = null;
      }),
  } satisfies Injections;
};
