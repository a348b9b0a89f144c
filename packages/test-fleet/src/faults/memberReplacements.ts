/** Control nodes that are replaced by an empty one at another address, with the same name or a new one. */
import type { FaultContext, Injections } from './faultContext.js';

const maxVoterPolls = 600;

const replace = (context: FaultContext, isRenamed: boolean): Promise<void> | null =>
  context.withRandomControlNode(async (at) => {
    const count = ++context.state.replacementCount;
    const name = isRenamed ? `postmaster-new-${count}` : (context.fleet.controlNodeNames[at] as string);
    await context.fleet.replaceControlNode(at, `10.0.7.${count}`, name);
    await context.waitUntilVoter(at, maxVoterPolls);
  }, true);

/** The replacement must become a voter. */
export const memberReplacements = {
  'control node returns empty elsewhere': (context) => replace(context, false),
  'control node is swapped for a stranger': (context) => replace(context, true),
} satisfies Injections;
