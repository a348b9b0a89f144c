/** Invariants of the agreed state, read from the simulated control nodes themselves. */
import type { InvariantChecker } from './invariantChecker.js';
import type { Violation } from './violation.js';
import type { SimFleet } from '../simulator/simFleet.js';

/** Checks that every control node that runs knows each accepted change at its log position, and no rejected one. */
export const stateViolations = (fleet: SimFleet, checker: InvariantChecker): Violation[] => {
  const violations: Violation[] = [];
  fleet.postmasters.forEach((postmaster, at) => {
    const state = postmaster?.acceptor.agreed();
    if (postmaster === null || state === null || state === undefined) return;
    for (const [id, generation] of checker.acceptedIds) {
      const known = state.changeIds[id];
      if (known === undefined)
        violations.push({ rule: 'an accepted change is lost', detail: `${id} at postmaster ${at + 1}` });
      else if (known.generation !== generation)
        violations.push({ rule: 'an accepted change moved', detail: `${id}: ${known.generation} for ${generation}` });
    }
    for (const id of checker.refusedIds)
      if (state.changeIds[id] !== undefined)
        violations.push({ rule: 'a losing change took effect', detail: `${id} at postmaster ${at + 1}` });
  });
  return violations;
};
