import type { FaultContext, Injections } from './faultContext.js';

export const members = (storm: FaultContext) => {
  const { fleet } = storm;

  const move = (isStranger: boolean): Promise<void> | null =>
    storm.onPostmaster(async (at) => {
      const count = ++storm.state.moves;
      await fleet.movePostmaster(
        at,
        `10.0.7.${count}`,
        isStranger ? `postmaster-new-${count}` : (fleet.postmasterNames[at] as string),
      );
      await storm.untilVoter(at, 600);
    }, true);

  return {
    'postmaster returns empty elsewhere': () => move(false),
    'postmaster is swapped for a stranger': () => move(true),
  } satisfies Injections;
};
