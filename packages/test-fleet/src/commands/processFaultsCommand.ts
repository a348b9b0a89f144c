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
const settleMs = 12_000;
const lastFaultMs = 4_000;
const keyedRatePerSecond = 4;
const probeRatePerSecond = 50;
const probeMs = 3_000;
const probesEndMs = 4_000;
const callsTimeoutMs = 90_000;
const leastServed = 0.95;
const mostPrinted = 20;
const msPerSecond = 1_000;

const usage = `faults on a real local fleet under load: kills, freezes, wiped disks, roll-outs, and cuts through relays of ours;
judged by the simulator's rules from the callers' side and the stand-ins' records

  --seed N --firm stations|sawmill --net N --folder DIR --seconds N (120) --rate N (the firm's) --only "KIND,KIND"

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
  exitWithUsageError(`--firm: no such firm: ${values.firm}\nknown: ${Object.keys(sampleDeployments).join(', ')}`);

const kindNamed = (name: string): ProcessFaultKind =>
  processFaultKinds.find((kind) => kind === name.trim()) ??
  exitWithUsageError(`--only: no such fault: ${name}\nknown: ${processFaultKinds.join(', ')}`);

const kinds = values.only === undefined ? processFaultKinds : values.only.split(',').map(kindNamed);
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
  const granted = {
    ...(config.tenants as Record<string, unknown>),
    [sampleWorkload.probeTenant]: { tier: 'patient', lanes: ['query'] },
  };
  await fleet.up({ ...config, tenants: granted }, tenants);
  for (const tenant of tenants) checker.grant(keyOf(tenant), tenant);
  checker.startTraffic(numbers.rate, durationMs, undefined, true);
  checker.startKeyedTraffic(keyedRatePerSecond, durationMs);
};

/** One fault after the other, until the time to settle must begin. */
const injectFaults = async (): Promise<Record<string, number>> => {
  const injected: Record<string, number> = {};
  const endAt = now() + durationMs - settleMs - lastFaultMs;
  while (now() < endAt) {
    const kind = kinds[run.pick(kinds.length)] as ProcessFaultKind;
    injected[kind] = (injected[kind] ?? 0) + 1;
    await injectProcessFault(run, kind);
    await run.waitBetween(100, 800);
  }
  return injected;
};

/** Milliseconds until every gateway that is not lost is ready. */
const untilReady = async (): Promise<number> => {
  const beganAt = now();
  const isReady = (at: number): Promise<boolean> => fleet.isReady(fleet.gatewayHosts[at] as string);
  await fleet.until('every counter ready', async () =>
    (await Promise.all(checker.liveGateways().map(isReady))).every(Boolean),
  );
  return now() - beganAt;
};

/** Sends traffic when the time to settle is over, and waits for all calls to end; gives the share served. */
const probeRecovery = async (): Promise<string> => {
  const startedAt = now();
  checker.startTraffic(probeRatePerSecond, probeMs);
  const isOver = async (): Promise<boolean> =>
    now() - startedAt > probesEndMs && checker.calls.every((call) => call.outcome !== 'open' && call.endedAt > 0);
  await fleet.until('all calls ended', isOver, callsTimeoutMs).catch(() => 0);
  const probes = checker.calls.filter((call) => call.sentAt >= startedAt);
  const served = probes.filter((call) => call.outcome === 'whole').length;
  const detail = `${served} of ${probes.length}`;
  if (served < probes.length * leastServed) run.violations.push({ rule: 'service did not recover', detail });
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
  const readyMs = await untilReady();
  await sleep(Math.max(0, settleMs - readyMs));
  const served = await probeRecovery();
  const violations = await allViolations();
  process.stdout.write(
    `seed ${numbers.seed}, ${values.firm}: ${checker.calls.length} calls in ${numbers.seconds} s\nbrought: ${JSON.stringify(injected)}\nlost for good: ${loss}\ncalls: ${JSON.stringify(checker.outcomeCounts())}\nready again ${Math.round(readyMs)} ms after the last fault; 12 s after it ${served} whole\n`,
  );
  for (const { rule, detail } of violations.slice(0, mostPrinted)) process.stdout.write(`${rule}: ${detail}\n`);
  process.stdout.write(violations.length === 0 ? 'no rule broken\n' : `${violations.length} breaches\n`);
  return violations.length === 0 ? 0 : 1;
};

const exitCode = await main().finally(fleet.down);
process.exit(exitCode);
