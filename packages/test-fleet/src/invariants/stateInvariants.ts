import type { Judge, Told } from './invariantChecker.js';
import type { SimFleet } from '../simulator/simFleet.js';

export const statePlaints = (fleet: SimFleet, judge: Judge): Told[] => {
  const told: Told[] = [];
  fleet.postmasters.forEach((postmaster, at) => {
    const state = postmaster?.acceptor.agreed();
    if (postmaster === null || state === null || state === undefined) return;
    for (const [id, generation] of judge.acceptedIds) {
      const known = state.changeIds[id];
      if (known === undefined)
        told.push({ rule: 'an accepted change is lost', detail: `${id} at postmaster ${at + 1}` });
      else if (known.generation !== generation)
        told.push({ rule: 'an accepted change moved', detail: `${id}: ${known.generation} for ${generation}` });
    }
    for (const id of judge.refusedIds)
      if (state.changeIds[id] !== undefined)
        told.push({ rule: 'a losing change took effect', detail: `${id} at postmaster ${at + 1}` });
  });
  return told;
};
