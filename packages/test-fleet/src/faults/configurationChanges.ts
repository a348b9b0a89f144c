import { plans } from '../workload/sampleDeployments.js';
import { inForceMs } from './faultContext.js';
import type { FaultContext, Injections } from './faultContext.js';

export const operators = (storm: FaultContext) => {
  const { judge, world } = storm;

  return {
    'layout changes': async () => {
      const { at, base } = await storm.layoutOf();
      await storm.change({ tiers: { prompt: { rank: 0, horizonMs: 8_000 + storm.pick(4_000) } } }, at, base);
    },
    'rival changes': () => {
      if (!storm.claim('prober')) return null;
      return (async () => {
        const { base } = await storm.layoutOf();
        const names = [0, 1, 2].map(() => `rival-${++storm.state.probes}`);
        const wins = await Promise.all(
          names.map((name, at) =>
            storm.change(
              { tiers: { steady: { rank: 1, horizonMs: 20_000 + at } }, ...judge.probed(name, 'patient', 'freely') },
              at,
              base,
            ),
          ),
        );
        if (wins.filter(Boolean).length > 1) judge.acceptedIds.set('two rivals were both accepted', -1);
        const won = names.findIndex((_, at) => wins[at]);
        if (won >= 0) storm.state.probedLane = names[won] as string;
        await storm.wait(inForceMs);
        names.forEach((name, at) => {
          judge.probeAll(name, `rival ${name}`, wins[at] === true, 'patient', 'freely');
        });
      })().finally(() => storm.free('prober'));
    },
    'layout is probed': () => {
      if (!storm.claim('prober')) return null;
      return (async () => {
        const { at, base } = await storm.layoutOf();
        const name = `probe-${++storm.state.probes}`;
        const before = storm.state.probedLane;
        const tier = Object.keys(plans.tiers)[storm.pick(3)] as string;
        const repeat = storm.random() < 0.5 ? 'once' : 'freely';
        const faulty = await storm.change({ ...judge.probed(`${name}-faulty`, 'absent', repeat) }, at, base);
        if (faulty) judge.refusedIds.add('a faulty change was accepted');
        const isTaken = await storm.change(judge.probed(name, tier, repeat), at, base);
        if (isTaken) storm.state.probedLane = name;
        for (let round = 0; round < 2; round += 1) {
          await storm.wait(inForceMs);
          judge.probeAll(name, `probe ${name}`, isTaken, tier, repeat);
          judge.probeAll(`${name}-faulty`, 'a faulty change', false, tier, repeat);
          if (isTaken && before.startsWith('probe-'))
            judge.probeAll(before, `probe ${name} took ${before} away`, false, tier, repeat);
        }
      })().finally(() => storm.free('prober'));
    },
    'many lanes': async () => {
      const { at, base } = await storm.layoutOf();
      const from = storm.pick(100_000);
      await storm.change(
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
      if (!storm.claim('weights')) return null;
      return (async () => {
        const { at, base } = await storm.layoutOf();
        const weights = `weights-${++storm.state.weights}`;
        const marker = { offeredAt: world.time, at: Number.POSITIVE_INFINITY, pool: 'main', weights };
        judge.weightsFrom.push(marker);
        const isTaken = await storm.change({ pools: { main: { weights } } }, at, base);
        if (isTaken) marker.at = world.time;
        else judge.weightsFrom.splice(judge.weightsFrom.indexOf(marker), 1);
      })().finally(() => storm.free('weights'));
    },
  } satisfies Injections;
};
