/** Control nodes that come back empty at another address, under the same name or a new one. */
import type { FaultContext, Injections } from './faultContext.js';

const votePolls = 600;

const replace = (context: FaultContext, isRenamed: boolean): Promise<void> | null =>
  context.withRandomControlNode(async (at) => {
    const count = ++context.state.replacementCount;
    const name = isRenamed ? `postmaster-new-${count}` : (context.fleet.controlNodeNames[at] as string);
    await context.fleet.replaceControlNode(at, `10.0.7.${count}`, name);
    await context.waitUntilVoter(at, votePolls);
  }, true);

/** The newcomer must be voted in. */
export const memberReplacements = {
  'control node returns empty elsewhere': (context) => replace(context, false),
  'control node is swapped for a stranger': (context) => replace(context, true),
} satisfies Injections;
