/** `npm run trials:real`: injects faults into a local fleet of real processes under load and checks the invariants. */
import { setTimeout as sleep } from 'node:timers/promises';
import { parseArgs } from 'node:util';
import type { Violation } from '../invariants/violation.js';
import { LocalFleet } from '../processes/localFleet.js';
import { injectProcessFault, injectRandomLoss, processFaultKinds } from '../processes/processFaults.js';
import type { ProcessFaultKind } from '../processes/processFaults.js';
import { ProcessFaultRun, now } from '../processes/processFaultRun.js';
import { keyOf, sampleDeployments, sampleWorkload } from '../workload/sampleDeployments.js';
import { exitWithUsageError } from './usageError.js';

const gatewayCount = 9;
const recoveryMs = 12_000;
const lastFaultMs = 4_000;
const keyedRatePerSecond = 4;
const probeRatePerSecond = 50;
const probeMs = 3_000;
const probesEndMs = 4_000;
const callsTimeoutMs = 90_000;
const minServedShare = 0.95;
const maxPrinted = 20;
const msPerSecond = 1_000;

const usage = `injects faults into a local fleet of processes under load: kills, freezes, wiped data, rollouts, and network faults by
proxies; checks the simulator's invariants from the callers' side and the records of the emulated replicas

  --seed N --firm stations|sawmill --net N --folder DIR --seconds N (120) --rate N (that of the deployment) --only "KIND,KIND"

kinds: ${processFaultKinds.join(', ')}
`;

const { values } = parseArgs({
  options: {
    seed: { type: 'string', default: '1' },
    firm: { type: 'string', default: 'sawmill' },
    net: { type: 'string', default: '20' },
    folder: { type: 'string', default: '.fleet' },
    seconds: { type: 'string', default: '120' },
    rate: { type: 'string' },
    only: { type: 'string' },
    help: { type: 'boolean', short: 'h' },
  },
});

if (values.help === true) {
  process.stdout.write(usage);
  process.exit(0);
}

const deployment =
  sampleDeployments[values.firm] ??
  exitWithUsageError(`--firm: unknown deployment: ${values.firm}\nknown: ${Object.keys(sampleDeployments).join(', ')}`);

const findKind = (name: string): ProcessFaultKind =>
  processFaultKinds.find((kind) => kind === name.trim()) ??
  exitWithUsageError(`--only: no such fault: ${name}\nknown: ${processFaultKinds.join(', ')}`);

const kinds = values.only === undefined ? processFaultKinds : values.only.split(',').map(findKind);
const numbers = {
  seconds: Number(values.seconds),
  rate: Number(values.rate ?? deployment.ratePerSecond),
  seed: Number(values.seed),
  net: Number(values.net),
};
for (const [name, value] of Object.entries(numbers))
  if (!Number.isInteger(value) || value < 1) exitWithUsageError(`--${name}: must be a whole number of 1 or more`);

const fleet = new LocalFleet(deployment, values.folder, numbers.net, gatewayCount, [], null, true);
const run = new ProcessFaultRun(fleet, numbers.seed);
const { checker } = run;
const durationMs = numbers.seconds * msPerSecond;
const tenants = [...sampleWorkload.tenantNames, sampleWorkload.probeTenant];

const startFleet = async (): Promise<void> => {
  const config = sampleWorkload.config('weights-1');
  const tenantConfigs = {
    ...(config.tenants as Record<string, unknown>),
    [sampleWorkload.probeTenant]: { tier: 'patient', lanes: ['query'] },
  };
  await fleet.up({ ...config, tenants: tenantConfigs }, tenants);
  for (const tenant of tenants) checker.grant(keyOf(tenant), tenant);
  checker.startTraffic(numbers.rate, durationMs, undefined, true);
  checker.startKeyedTraffic(keyedRatePerSecond, durationMs);
};

/** Injects one fault after the other, until the recovery phase begins; returns the number of each kind. */
const injectFaults = async (): Promise<Record<string, number>> => {
  const injected: Record<string, number> = {};
  const endAt = now() + durationMs - recoveryMs - lastFaultMs;
  while (now() < endAt) {
    const kind = kinds[run.randomInt(kinds.length)] as ProcessFaultKind;
    injected[kind] = (injected[kind] ?? 0) + 1;
    await injectProcessFault(run, kind);
    await run.waitBetween(100, 800);
  }
  return injected;
};

/** Waits until every gateway that is not lost is ready; returns the milliseconds that took. */
const waitUntilReady = async (): Promise<number> => {
  const startedAt = now();
  const isReady = (at: number): Promise<boolean> => fleet.isReady(fleet.gatewayHosts[at] as string);
  await fleet.until('all gateways to be ready', async () =>
    (await Promise.all(checker.liveGateways().map(isReady))).every(Boolean),
  );
  return now() - startedAt;
};

/** Sends traffic after the recovery phase and waits for all calls to end; returns how many of them were served. */
const probeRecovery = async (): Promise<string> => {
  const startedAt = now();
  checker.startTraffic(probeRatePerSecond, probeMs);
  const isDone = async (): Promise<boolean> =>
    now() - startedAt > probesEndMs && checker.calls.every((call) => call.outcome !== 'open' && call.endedAt > 0);
  await fleet.until('all calls to end', isDone, callsTimeoutMs).catch(() => 0);
  const probes = checker.calls.filter((call) => call.sentAt >= startedAt);
  const served = probes.filter((call) => call.outcome === 'whole').length;
  const detail = `${served} of ${probes.length}`;
  if (served < probes.length * minServedShare) run.violations.push({ rule: 'service did not recover', detail });
  return detail;
};

const allViolations = async (): Promise<Violation[]> => {
  await run.collectReplicas();
  const open = checker.calls.filter((call) => call.outcome === 'open');
  return [
    ...checker.violations(),
    ...run.violations,
    ...open.map((call): Violation => ({ rule: 'a call never ended', detail: call.requestId })),
    ...(await run.stateViolations()),
  ];
};

const main = async (): Promise<number> => {
  await startFleet();
  const injected = await injectFaults();
  const loss = await injectRandomLoss(run);
  const readyMs = await waitUntilReady();
  await sleep(Math.max(0, recoveryMs - readyMs));
  const served = await probeRecovery();
  const violations = await allViolations();
  process.stdout.write(
    `seed ${numbers.seed}, ${values.firm}: ${checker.calls.length} calls in ${numbers.seconds} s\ninjected faults: ${JSON.stringify(injected)}\npermanent loss: ${loss}\ncalls: ${JSON.stringify(checker.outcomeCounts())}\nready ${Math.round(readyMs)} ms after the last fault; 12 s after it ${served} calls complete\n`,
  );
  for (const { rule, detail } of violations.slice(0, maxPrinted)) process.stdout.write(`${rule}: ${detail}\n`);
  process.stdout.write(violations.length === 0 ? 'no violations\n' : `${violations.length} violations\n`);
  return violations.length === 0 ? 0 : 1;
};

const exitCode = await main().finally(fleet.down);
process.exit(exitCode);
