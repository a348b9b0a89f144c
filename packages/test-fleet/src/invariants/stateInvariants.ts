/** Invariants of the agreed state, read from the simulated control nodes themselves. */
import type { InvariantChecker } from './invariantChecker.js';
import type { Violation } from './violation.js';
import type { SimFleet } from '../simulator/simFleet.js';

/** Checks that every control node that runs knows each accepted change at its log position, and no rejected one. */
export const stateViolations = (fleet: SimFleet, checker: InvariantChecker): Violation[] => {
  const violations: Violation[] = [];
  fleet.controlNodes.forEach((controlNode, at) => {
    const state = controlNode?.acceptor.committedState();
    if (controlNode === null || state === null || state === undefined) return;
    for (const [id, logIndex] of checker.acceptedChanges) {
      const known = state.changeIds[id];
      if (known === undefined)
        violations.push({ rule: 'an accepted change is lost', detail: `${id} at control node ${at + 1}` });
      else if (known.logIndex !== logIndex)
        violations.push({ rule: 'an accepted change moved', detail: `${id}: ${known.logIndex} for ${logIndex}` });
    }
    for (const id of checker.rejectedChangeIds)
      if (state.changeIds[id] !== undefined)
        violations.push({ rule: 'a losing change took effect', detail: `${id} at control node ${at + 1}` });
  });
  return violations;
};
