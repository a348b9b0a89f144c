import type { FaultContext, Injections } from './faultContext.js';

export const memberReplacements = (context: FaultContext) => {
  const { fleet } = context;

  const move = (isStranger: boolean): Promise<void> | null =>
    context.onPostmaster(async (at) => {
      const count = ++context.state.moves;
      await fleet.movePostmaster(
        at,
        `10.0.7.${count}`,
        isStranger ? `postmaster-new-${count}` : (fleet.postmasterNames[at] as string),
      );
      await context.untilVoter(at, 600);
    }, true);

  return {
    'postmaster returns empty elsewhere': () => move(false),
    'postmaster is swapped for a stranger': () => move(true),
  } satisfies Injections;
};
