/** Control nodes that come back empty at another address, under the same name or a new one. */
import type { FaultContext, Injections } from './faultContext.js';

const votePolls = 600;

const replace = (context: FaultContext, isRenamed: boolean): Promise<void> | null =>
  context.onPostmaster(async (at) => {
    const count = ++context.state.moves;
    const name = isRenamed ? `postmaster-new-${count}` : (context.fleet.postmasterNames[at] as string);
    await context.fleet.movePostmaster(at, `10.0.7.${count}`, name);
    await context.untilVoter(at, votePolls);
  }, true);

/** The newcomer must be voted in. */
export const memberReplacements = {
  'postmaster returns empty elsewhere': (context) => replace(context, false),
  'postmaster is swapped for a stranger': (context) => replace(context, true),
} satisfies Injections;
