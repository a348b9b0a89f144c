import { parseArgs } from 'node:util';
import { firms } from '../workload/sampleDeployments.js';
import { Judge } from '../invariants/invariantChecker.js';
import type { Call } from '../invariants/invariantChecker.js';
import { SimFleet } from '../simulator/simFleet.js';

const { values } = parseArgs({
  options: {
    firm: { type: 'string', default: 'sawmill' },
    from: { type: 'string', default: '1' },
    seeds: { type: 'string', default: '5' },
    seconds: { type: 'string', default: '20' },
    help: { type: 'boolean', short: 'h' },
  },
});
if (values.help === true) {
  process.stdout.write(
    'who waits behind what, on the virtual clock, cold start included: --firm stations|sawmill --from N --seeds N --seconds N\n',
  );
  process.exit(0);
}
const firm = firms[values.firm];
if (firm === undefined) {
  process.stderr.write(`--firm: no such firm: ${values.firm}\nknown: ${Object.keys(firms).join(', ')}\n`);
  process.exit(2);
}

const newsMs = 600;
const longTokens = 1_000;
const noticedMs = 100;
const quantile = (sorted: readonly number[], share: number): number =>
  Math.round(sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0);
const isolatedTenants = new Set(['depot', 'mill']);

for (let seed = Number(values.from); seed < Number(values.from) + Number(values.seeds); seed += 1) {
  const fleet = new SimFleet({ seed, fronts: 9, replicas: firm.replicaCount });
  await fleet.up();
  const judge = new Judge(fleet);
  judge.traffic(firm.ratePerSecond, Number(values.seconds) * 1_000);
  await fleet.world.run(Number(values.seconds) * 1_000 + 15_000);
  const byId = new Map(judge.calls.map((call) => [call.requestId, call]));
  const counts: Record<string, number> = {};
  const note = (what: string): void => {
    counts[what] = (counts[what] ?? 0) + 1;
  };
  let prefilled = 0;
  let cold = 0;
  for (const run of judge.runs()) {
    const call = byId.get(run.requestId) as Call;
    prefilled += run.prefilledTokens;
    if (run.prefilledTokens > longTokens) cold += 1;
    if (call.ask.kind === 'diagnose' || run.waitedMs < noticedMs || run.replica === 'app-1') continue;
    const behind = run.behind === null ? undefined : byId.get(run.behind.requestId);
    if (run.behind === null || behind === undefined || run.behind.tokens < longTokens) note('behind short ones');
    else {
      const age = call.sentAt - run.behind.beganAt;
      const whose =
        behind.host === call.host
          ? 'own long prefill'
          : age < newsMs
            ? "another counter's long prefill, under 600 ms old"
            : "another counter's long prefill, older";
      note(`${whose}${isolatedTenants.has(call.ask.tenant) ? ', isolated tenant' : ''}`);
    }
  }
  const some = (kinds: readonly string[], tier: string, isIsolated: boolean | null = null): number[] =>
    judge.calls
      .filter(
        (call) =>
          call.verdict === 'whole' &&
          kinds.includes(call.ask.kind) &&
          call.ask.tier === tier &&
          (isIsolated === null || isolatedTenants.has(call.ask.tenant) === isIsolated),
      )
      .map((call) => call.firstAt - call.sentAt)
      .sort((a, b) => a - b);
  const told = (label: string, waits: number[]): string =>
    `${label} p50 ${quantile(waits, 0.5)} p95 ${quantile(waits, 0.95)} p99 ${quantile(waits, 0.99)}`;
  const short = ['confirm', 'query'];
  process.stdout.write(
    `seed ${seed}: ${judge.calls.length} calls, ${JSON.stringify(judge.tally())}, ${prefilled} tokens prefilled, ${cold} long prefills\n  ${[
      told('short prompt-tier', some(short, 'prompt')),
      told('short steady', some(short, 'steady')),
      told('short isolated', some(short, 'steady', true)),
      told(
        'long',
        [...some(['diagnose'], 'prompt'), ...some(['diagnose'], 'steady')].sort((a, b) => a - b),
      ),
    ].join('; ')}\n  waited over ${noticedMs} ms: ${JSON.stringify(counts)}\n`,
  );
}
