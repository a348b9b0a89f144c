/** `npm run measure:urgency`: measures how long simulated requests of each tier wait, and which prefills block them. */
import { parseArgs } from 'node:util';
import { sampleDeployments } from '../workload/sampleDeployments.js';
import { InvariantChecker } from '../invariants/invariantChecker.js';
import type { Call } from '../workload/callSender.js';
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
    'wait times by tier and by the prefill that blocked them, in virtual time from a cold start: --firm stations|sawmill --from N --seeds N --seconds N\n',
  );
  process.exit(0);
}
const deployment = sampleDeployments[values.firm];
if (deployment === undefined) {
  process.stderr.write(
    `--firm: unknown deployment: ${values.firm}\nknown: ${Object.keys(sampleDeployments).join(', ')}\n`,
  );
  process.exit(2);
}

const noticeMs = 600;
const longTokens = 1_000;
const reportedWaitMs = 100;
const quantile = (sorted: readonly number[], share: number): number =>
  Math.round(sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0);
const isolatedTenants = new Set(['depot', 'mill']);

for (let seed = Number(values.from); seed < Number(values.from) + Number(values.seeds); seed += 1) {
  const fleet = new SimFleet({ seed, gatewayCount: 9, replicaCount: deployment.replicaCount });
  await fleet.up();
  const checker = new InvariantChecker(fleet);
  checker.startTraffic(deployment.ratePerSecond, Number(values.seconds) * 1_000);
  await fleet.world.run(Number(values.seconds) * 1_000 + 15_000);
  const byId = new Map(checker.calls.map((call) => [call.requestId, call]));
  const counts: Record<string, number> = {};
  const addCount = (what: string): void => {
    counts[what] = (counts[what] ?? 0) + 1;
  };
  let prefilled = 0;
  let cold = 0;
  for (const run of checker.allRuns()) {
    const call = byId.get(run.requestId) as Call;
    prefilled += run.prefilledTokens;
    if (run.prefilledTokens > longTokens) cold += 1;
    if (call.request.kind === 'diagnose' || run.waitedMs < reportedWaitMs || run.replica === 'app-1') continue;
    const blocker = run.blockedBy === null ? undefined : byId.get(run.blockedBy.requestId);
    if (run.blockedBy === null || blocker === undefined || run.blockedBy.tokens < longTokens)
      addCount('behind short prefills');
    else {
      const age = call.sentAt - run.blockedBy.beganAt;
      const category =
        blocker.host === call.host
          ? 'long prefill of the same gateway'
          : age < noticeMs
            ? 'long prefill of another gateway, under 600 ms old'
            : 'long prefill of another gateway, older';
      addCount(`${category}${isolatedTenants.has(call.request.tenant) ? ', isolated tenant' : ''}`);
    }
  }
  const waitsOf = (kinds: readonly string[], tier: string, isIsolated: boolean | null = null): number[] =>
    checker.calls
      .filter(
        (call) =>
          call.outcome === 'whole' &&
          kinds.includes(call.request.kind) &&
          call.request.tier === tier &&
          (isIsolated === null || isolatedTenants.has(call.request.tenant) === isIsolated),
      )
      .map((call) => call.firstTokenAt - call.sentAt)
      .sort((a, b) => a - b);
  const formatWaits = (label: string, waits: number[]): string =>
    `${label} p50 ${quantile(waits, 0.5)} p95 ${quantile(waits, 0.95)} p99 ${quantile(waits, 0.99)}`;
  const short = ['confirm', 'query'];
  process.stdout.write(
    `seed ${seed}: ${checker.calls.length} calls, ${JSON.stringify(checker.outcomeCounts())}, ${prefilled} tokens prefilled, ${cold} long prefills\n  ${[
      formatWaits('short prompt-tier', waitsOf(short, 'prompt')),
      formatWaits('short steady', waitsOf(short, 'steady')),
      formatWaits('short isolated', waitsOf(short, 'steady', true)),
      formatWaits(
        'long',
        [...waitsOf(['diagnose'], 'prompt'), ...waitsOf(['diagnose'], 'steady')].sort((a, b) => a - b),
      ),
    ].join('; ')}\n  waited over ${reportedWaitMs} ms: ${JSON.stringify(counts)}\n`,
  );
}
