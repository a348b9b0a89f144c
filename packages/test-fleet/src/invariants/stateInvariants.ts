/** Invariants of the committed state, read directly from the simulated control nodes. */
import type { InvariantChecker } from './invariantChecker.js';
import type { Violation } from './violation.js';
import type { SimFleet } from '../simulator/simFleet.js';

/** Checks that every running control node has each accepted change at its log index, and no rejected change. */
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
        violations.push({ rule: 'a rejected change took effect', detail: `${id} at control node ${at + 1}` });
  });
  return violations;
};
