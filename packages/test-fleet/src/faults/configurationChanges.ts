import { sampleWorkload } from '../workload/sampleDeployments.js';
import { propagationMs } from './faultContext.js';
import type { FaultContext, Injections } from './faultContext.js';

export const configurationChanges = (context: FaultContext) => {
  const { checker, world } = context;

  return {
    'layout changes': async () => {
      const { at, base } = await context.layoutOf();
      await context.change({ tiers: { prompt: { rank: 0, horizonMs: 8_000 + context.pick(4_000) } } }, at, base);
    },
    'rival changes': () => {
      if (!context.claim('prober')) return null;
      return (async () => {
        const { base } = await context.layoutOf();
        const names = [0, 1, 2].map(() => `rival-${++context.state.probes}`);
        const wins = await Promise.all(
          names.map((name, at) =>
            context.change(
              {
                tiers: { steady: { rank: 1, horizonMs: 20_000 + at } },
                ...checker.probeChange(name, 'patient', 'freely'),
              },
              at,
              base,
            ),
          ),
        );
        if (wins.filter(Boolean).length > 1) checker.acceptedIds.set('two rivals were both accepted', -1);
        const won = names.findIndex((_, at) => wins[at]);
        if (won >= 0) context.state.lastProbedLane = names[won] as string;
        await context.wait(propagationMs);
        names.forEach((name, at) => {
          checker.probeEveryGateway(name, `rival ${name}`, wins[at] === true, 'patient', 'freely');
        });
      })().finally(() => context.release('prober'));
    },
    'layout is probed': () => {
      if (!context.claim('prober')) return null;
      return (async () => {
        const { at, base } = await context.layoutOf();
        const name = `probe-${++context.state.probes}`;
        const before = context.state.lastProbedLane;
        const tier = Object.keys(sampleWorkload.tiers)[context.pick(3)] as string;
        const repeat = context.random() < 0.5 ? 'once' : 'freely';
        const isInvalidAccepted = await context.change(
          { ...checker.probeChange(`${name}-faulty`, 'absent', repeat) },
          at,
          base,
        );
        if (isInvalidAccepted) checker.refusedIds.add('a faulty change was accepted');
        const isTaken = await context.change(checker.probeChange(name, tier, repeat), at, base);
        if (isTaken) context.state.lastProbedLane = name;
        for (let round = 0; round < 2; round += 1) {
          await context.wait(propagationMs);
          checker.probeEveryGateway(name, `probe ${name}`, isTaken, tier, repeat);
          checker.probeEveryGateway(`${name}-faulty`, 'a faulty change', false, tier, repeat);
          if (isTaken && before.startsWith('probe-'))
            checker.probeEveryGateway(before, `probe ${name} took ${before} away`, false, tier, repeat);
        }
      })().finally(() => context.release('prober'));
    },
    'many lanes': async () => {
      const { at, base } = await context.layoutOf();
      const from = context.pick(100_000);
      await context.change(
        {
          lanes: Object.fromEntries(
            Array.from({ length: 200 }, (_, index) => [`extra-${from}-${index}`, { pool: 'main', repeat: 'freely' }]),
          ),
        },
        at,
        base,
      );
    },
    'new weights': () => {
      if (!context.claim('weights')) return null;
      return (async () => {
        const { at, base } = await context.layoutOf();
        const weights = `weights-${++context.state.weights}`;
        const marker = { offeredAt: world.time, at: Number.POSITIVE_INFINITY, pool: 'main', weights };
        checker.weightsChanges.push(marker);
        const isTaken = await context.change({ pools: { main: { weights } } }, at, base);
        if (isTaken) marker.at = world.time;
        else checker.weightsChanges.splice(checker.weightsChanges.indexOf(marker), 1);
      })().finally(() => context.release('weights'));
    },
  } satisfies Injections;
};
