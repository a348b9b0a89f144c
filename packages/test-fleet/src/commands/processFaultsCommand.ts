import { setTimeout as sleep } from 'node:timers/promises';
import { parseArgs } from 'node:util';
import { httpClients } from '@martenworks/upstream';
import { sampleDeployments, keyOf, sampleWorkload, seeded } from '../workload/sampleDeployments.js';
import { LocalFleet } from '../processes/localFleet.js';
import type { Reply } from '../processes/localFleet.js';
import { InvariantChecker } from '../invariants/invariantChecker.js';
import type { ObservedFleet, ReplicaIncarnation } from '../invariants/observedFleet.js';
import type { Violation } from '../invariants/violation.js';

const faultKinds = [
  'counter killed',
  'counter frozen',
  'counters killed in a herd',
  'control node killed',
  'control node frozen',
  'control node killed having confirmed',
  'control node wiped',
  'control nodes killed in a herd',
  'replica killed and replaced',
  'replica leaves and is replaced',
  'replica silent',
  'replica slow to reach',
  'control node link cut',
  'control node link slow',
  'counter cut from two control nodes',
  'whole fleet rolled out',
  'new weights',
  'many lanes',
  'layout probed',
  'key revoked from held streams',
] as const;
type FaultKind = (typeof faultKinds)[number];
const permanentLossKinds = ['counter lost', 'front of a zone lost', 'control node lost', 'replica lost'] as const;

const usage = `faults on a real local fleet under load: kills, freezes, wiped disks, roll-outs, and cuts through relays of ours;
judged by the simulator's rules from the callers' side and the stand-ins' records

  --seed N --firm stations|sawmill --net N --folder DIR --seconds N (120) --rate N (the firm's) --only "KIND,KIND"

kinds: ${faultKinds.join(', ')}
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

const exitWithUsageError = (text: string): never => {
  process.stderr.write(`${text}\n`);
  process.exit(2);
};

if (values.help === true) {
  process.stdout.write(usage);
  process.exit(0);
}

const deployment =
  sampleDeployments[values.firm] ??
  exitWithUsageError(`--firm: no such firm: ${values.firm}\nknown: ${Object.keys(sampleDeployments).join(', ')}`);
const kinds: readonly FaultKind[] =
  values.only === undefined
    ? faultKinds
    : values.only
        .split(',')
        .map(
          (one) =>
            faultKinds.find((kind) => kind === one.trim()) ??
            exitWithUsageError(`--only: no such fault: ${one}\nknown: ${faultKinds.join(', ')}`),
        );
const numbers = {
  seconds: Number(values.seconds),
  rate: Number(values.rate ?? deployment.ratePerSecond),
  seed: Number(values.seed),
  net: Number(values.net),
};
for (const [name, value] of Object.entries(numbers))
  if (!Number.isInteger(value) || value < 1) exitWithUsageError(`--${name}: must be a whole number of 1 or more`);

const propagationMs = 2_000;
const settleMs = 12_000;
const random = seeded(numbers.seed * 7919);
const pick = (count: number): number => Math.floor(random() * count);
const randomBetween = (low: number, high: number): number => low + random() * (high - low);
const now = (): number => performance.timeOrigin + performance.now();

const fleet = new LocalFleet(deployment, values.folder, numbers.net, 9, [], null, true);
const outside = httpClients.real(null);
let replicaIncarnations: readonly ReplicaIncarnation[] = [];
const observed: ObservedFleet = {
  gatewayHosts: fleet.gatewayHosts,
  now,
  random,
  after: (delayMs, ring) => void setTimeout(ring, delayMs),
  outside: () => outside,
  replicaIncarnations: () => replicaIncarnations,
};
const checker = new InvariantChecker(observed, `${numbers.seed}-`);
const injected: Record<string, number> = {};
const violations: Violation[] = [];
let changes = 0;

const callControlNode = (
  at: number,
  method: 'GET' | 'POST' | 'PATCH' | 'DELETE',
  path: string,
  body?: unknown,
  headers: Record<string, string> = {},
): Promise<Reply> =>
  fleet
    .call(`${fleet.controlNodeHosts[at]}:7101`, method, path, body, headers)
    .catch((): Reply => ({ status: 0, body: {} }));

const retryUntilAccepted = async (tell: (at: number) => Promise<Reply>): Promise<void> => {
  for (let attempt = 0; attempt < 300; attempt += 1) {
    if ((await tell(pick(3))).status === 200) return;
    await sleep(200);
  }
  throw new Error('the platform was never heard');
};

const baseAt = async (): Promise<{ at: number; base: number }> => {
  for (;;) {
    const at = pick(3);
    const held = await callControlNode(at, 'GET', '/operator/layout');
    if (held.status === 200) return { at, base: Number(held.body.generation) };
    await sleep(100);
  }
};

const change = async (part: Record<string, unknown>, isLastWord = false): Promise<boolean> => {
  const { at, base } = await baseAt();
  const id = `real-${++changes}`;
  for (let attempt = 0; ; attempt += 1) {
    const violations = await callControlNode(attempt === 0 ? at : pick(3), 'PATCH', '/operator/layout', part, {
      'if-match': `"${base}"`,
      'change-id': id,
    });
    if (violations.status === 200) {
      checker.acceptedIds.set(id, Number(violations.body.generation));
      if (isLastWord && attempt === 0) await restartControlNode(at, false);
      return true;
    }
    if (violations.status === 409 || violations.status === 422) {
      checker.refusedIds.add(id);
      return false;
    }
    await sleep(150);
  }
};

const restartControlNode = async (at: number, isWiped: boolean): Promise<void> => {
  await fleet.signal(`postmaster-${at + 1}`, 'SIGKILL');
  if (isWiped) fleet.wipeControlNode(at);
  await sleep(randomBetween(300, 2_000));
  fleet.startControlNode(at);
  await fleet.until(
    `control node ${at + 1} votes`,
    async () => (await callControlNode(at, 'GET', '/operator/status')).body.voter === true,
    40_000,
  );
};

const freeze = async (name: string, longest: number): Promise<void> => {
  await fleet.signal(name, 'SIGSTOP');
  await sleep(randomBetween(500, longest));
  await fleet.signal(name, 'SIGCONT');
};

const replaceReplica = async (name: string): Promise<void> => {
  await fleet.restartReplica(name);
  await retryUntilAccepted((at) => callControlNode(at, 'POST', '/platform/replicas', [fleet.announcement(name)]));
};

const grantAndRevoke = async (): Promise<void> => {
  const tenant = sampleWorkload.tenantNames[pick(8)] as string;
  const key = `held-key-${++changes}`;
  const grant = checker.grant(key, tenant);
  await retryUntilAccepted((at) =>
    callControlNode(at, 'POST', '/platform/clients', { tenant, key }, { 'change-id': `grant-${key}` }),
  );
  const stopAt = now() + 9_000;
  const sendNext = (): void => {
    if (now() >= stopAt) return;
    checker.send({ ...sampleWorkload.request(random, checker.calls.length, 0), key, tenant, maxTokens: 300 }, pick(9));
    setTimeout(sendNext, 200);
  };
  sendNext();
  await sleep(3_000);
  await retryUntilAccepted((at) =>
    callControlNode(at, 'POST', '/platform/keys/revoke', { key }, { 'change-id': `revoke-${key}` }),
  );
  grant.to = now();
  const held = checker.calls.filter((call) => call.request.key === key && call.outcome === 'open');
  await sleep(propagationMs);
  for (const call of held)
    if (call.outcome === 'open' || call.outcome === 'whole')
      violations.push({ rule: "a revoked key's stream went on", detail: `${call.requestId} ${call.outcome}` });
};

const probe = async (): Promise<void> => {
  const name = `probe-${++changes}`;
  const tier = Object.keys(sampleWorkload.tiers)[pick(3)] as string;
  const repeat = random() < 0.5 ? 'once' : 'freely';
  const isTaken = await change(checker.probeChange(name, tier, repeat));
  for (let round = 0; round < 2; round += 1) {
    await sleep(propagationMs);
    checker.probeEveryGateway(name, name, isTaken, tier, repeat);
  }
};

const newWeights = async (): Promise<void> => {
  const weights = `weights-${checker.weightsChanges.length}`;
  const marker = { offeredAt: now(), at: Number.POSITIVE_INFINITY, pool: 'main', weights };
  checker.weightsChanges.push(marker);
  if (await change({ pools: { main: { weights } } })) marker.at = now();
  else checker.weightsChanges.splice(checker.weightsChanges.indexOf(marker), 1);
};

const rollEach = async (
  role: 'gateway' | 'gateway-control',
  hosts: readonly string[],
  start: (at: number) => unknown,
): Promise<void> => {
  for (const [at, host] of hosts.entries()) {
    const name = `${role}-${at + 1}`;
    await fleet.until(`${name} is up`, () => fleet.isReady(host));
    const exitCode = await fleet.signal(name, 'SIGTERM');
    if (exitCode !== 0) violations.push({ rule: 'a roll-out was not clean', detail: `${name} ended with ${exitCode}` });
    start(at);
    await fleet.until(`${name} is back`, () => fleet.isReady(host));
  }
};

const rollOut = async (): Promise<void> => {
  await rollEach('gateway', fleet.gatewayHosts, fleet.startCounter);
  await rollEach('gateway-control', fleet.controlNodeHosts, fleet.startControlNode);
};

const inject = async (kind: FaultKind): Promise<void> => {
  const gateway = pick(9);
  const controlNode = pick(3);
  const name = `replica-${pick(deployment.replicaCount) + 1}`;
  const [connection, replica] = [fleet.peerProxies[controlNode], fleet.replicaProxies.get(name)];
  switch (kind) {
    case 'counter killed':
      await fleet.signal(`counter-${gateway + 1}`, 'SIGKILL');
      await sleep(randomBetween(300, 2_000));
      return void fleet.startCounter(gateway);
    case 'counters killed in a herd':
      await Promise.all(fleet.gatewayHosts.map((_, at) => fleet.signal(`counter-${at + 1}`, 'SIGKILL')));
      await sleep(randomBetween(300, 1_500));
      return fleet.gatewayHosts.forEach((_, at) => void fleet.startCounter(at));
    case 'counter frozen':
      return freeze(`counter-${gateway + 1}`, 6_000);
    case 'control node killed':
      return restartControlNode(controlNode, false);
    case 'control node wiped':
      return restartControlNode(controlNode, true);
    case 'control nodes killed in a herd':
      await Promise.all([0, 1, 2].map((at) => fleet.signal(`postmaster-${at + 1}`, 'SIGKILL')));
      await sleep(randomBetween(300, 1_500));
      return [0, 1, 2].forEach((at) => void fleet.startControlNode(at));
    case 'control node frozen':
      return freeze(`postmaster-${controlNode + 1}`, 4_000);
    case 'control node killed having confirmed':
      return void (await change({ tiers: { steady: { rank: 1, horizonMs: 20_000 + pick(1_000) } } }, true));
    case 'replica killed and replaced':
      await fleet.killReplica(name);
      await sleep(randomBetween(300, 2_500));
      return replaceReplica(name);
    case 'replica leaves and is replaced': {
      const incarnation = fleet.incarnationOf(name);
      await retryUntilAccepted((at) => callControlNode(at, 'POST', `/platform/replicas/${name}/leaving`));
      checker.drainingSince.push({ name, incarnation, at: now() });
      await sleep(4_000);
      await fleet.killReplica(name);
      return replaceReplica(name);
    }
    case 'replica silent':
      replica?.block('*');
      await sleep(randomBetween(500, 5_000));
      return replica?.heal();
    case 'replica slow to reach':
      if (replica !== undefined) replica.delayMs = randomBetween(100, 600);
      await sleep(randomBetween(500, 5_000));
      return replica?.heal();
    case 'control node link cut':
      connection?.block('*');
      await sleep(randomBetween(500, 5_000));
      return connection?.heal();
    case 'control node link slow':
      if (connection !== undefined) connection.delayMs = randomBetween(50, 400);
      await sleep(randomBetween(1_000, 5_000));
      return connection?.heal();
    case 'counter cut from two control nodes':
      for (const relay of fleet.peerProxies)
        if (relay !== connection) relay.block(fleet.gatewayHosts[gateway] as string);
      await sleep(randomBetween(1_000, 5_000));
      return fleet.peerProxies.forEach((relay) => {
        relay.heal();
      });
    case 'whole fleet rolled out':
      return rollOut();
    case 'new weights':
      return newWeights();
    case 'many lanes':
      return void (await change({
        lanes: Object.fromEntries(
          Array.from({ length: 200 }, (_, at) => [`lane-${changes}-${at}`, { pool: 'main', repeat: 'freely' }]),
        ),
      }));
    case 'layout probed':
      return probe();
    case 'key revoked from held streams':
      return grantAndRevoke();
  }
};

const injectPermanentLoss = async (): Promise<string> => {
  const final = permanentLossKinds[pick(permanentLossKinds.length)] as (typeof permanentLossKinds)[number];
  const zone = pick(3);
  const lose = async (at: number): Promise<void> => {
    await fleet.signal(`counter-${at + 1}`, 'SIGKILL');
    checker.lostGateways.add(at);
  };
  if (final === 'counter lost') await lose(pick(9));
  else if (final === 'front of a zone lost') await Promise.all([0, 3, 6].map((at) => lose(at + zone)));
  else if (final === 'control node lost') await fleet.signal(`postmaster-${zone + 1}`, 'SIGKILL');
  else {
    const name = `replica-${pick(deployment.replicaCount) + 1}`;
    await fleet.killReplica(name);
    await retryUntilAccepted((at) => callControlNode(at, 'DELETE', `/platform/replicas/${name}`));
  }
  return final;
};

const lostChanges = async (): Promise<Violation[]> => {
  const violations: Violation[] = [];
  for (const at of [0, 1, 2]) {
    if ((await callControlNode(at, 'GET', '/healthz')).status !== 200) continue;
    for (const [id, logIndex] of checker.acceptedIds) {
      const known = await callControlNode(at, 'GET', `/operator/changes/${id}`);
      if (known.status !== 200 || known.body.generation !== logIndex)
        violations.push({
          rule: 'an accepted change is lost',
          detail: `${id} at control node ${at + 1}: ${known.status}`,
        });
    }
    for (const id of checker.refusedIds)
      if ((await callControlNode(at, 'GET', `/operator/changes/${id}`)).status === 200)
        violations.push({ rule: 'a losing change took effect', detail: id });
  }
  return violations;
};

let exitCode = 1;
try {
  const config = sampleWorkload.config('weights-1');
  const tenants = {
    ...(config.tenants as Record<string, unknown>),
    [sampleWorkload.prober]: { tier: 'patient', lanes: ['query'] },
  };
  await fleet.up({ ...config, tenants }, [...sampleWorkload.tenantNames, sampleWorkload.prober]);
  for (const tenant of [...sampleWorkload.tenantNames, sampleWorkload.prober]) checker.grant(keyOf(tenant), tenant);
  checker.traffic(numbers.rate, numbers.seconds * 1_000, undefined, true);
  checker.keyedTraffic(4, numbers.seconds * 1_000);
  const endAt = now() + numbers.seconds * 1_000 - settleMs - 4_000;
  while (now() < endAt) {
    const kind = kinds[pick(kinds.length)] as FaultKind;
    injected[kind] = (injected[kind] ?? 0) + 1;
    await inject(kind);
    await sleep(randomBetween(100, 800));
  }
  const final = await injectPermanentLoss();
  const begin = now();
  await fleet.until('every counter ready', async () =>
    (await Promise.all(checker.liveGateways().map((at) => fleet.isReady(fleet.gatewayHosts[at] as string)))).every(
      Boolean,
    ),
  );
  const backMs = now() - begin;
  await sleep(Math.max(0, settleMs - backMs));
  const probesFrom = now();
  checker.traffic(50, 3_000);
  await fleet
    .until(
      'all calls ended',
      async () =>
        now() - probesFrom > 4_000 && checker.calls.every((call) => call.outcome !== 'open' && call.endedAt > 0),
      90_000,
    )
    .catch(() => 0);
  replicaIncarnations = await fleet.replicaIncarnations();
  const after = checker.calls.filter((call) => call.sentAt >= probesFrom);
  const whole = after.filter((call) => call.outcome === 'whole').length;
  if (whole < after.length * 0.95)
    violations.push({ rule: 'service still mostly absent', detail: `${whole} of ${after.length}` });
  for (const call of checker.calls)
    if (call.outcome === 'open') violations.push({ rule: 'a call never ended', detail: call.requestId });
  const allViolations = [...checker.violations(), ...violations, ...(await lostChanges())];
  process.stdout.write(
    `seed ${numbers.seed}, ${values.firm}: ${checker.calls.length} calls in ${numbers.seconds} s\nbrought: ${JSON.stringify(injected)}\nlost for good: ${final}\ncalls: ${JSON.stringify(checker.metrics())}\nready again ${Math.round(backMs)} ms after the last fault; 12 s after it ${whole} of ${after.length} whole\n`,
  );
  for (const { rule, detail } of allViolations.slice(0, 20)) process.stdout.write(`${rule}: ${detail}\n`);
  process.stdout.write(allViolations.length === 0 ? 'no rule broken\n' : `${allViolations.length} breaches\n`);
  exitCode = allViolations.length === 0 ? 0 : 1;
} finally {
  await fleet.down();
}
process.exit(exitCode);
