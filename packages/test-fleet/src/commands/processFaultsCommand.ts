import { setTimeout as sleep } from 'node:timers/promises';
import { parseArgs } from 'node:util';
import { carriages } from '@martenworks/upstream';
import { firms, keyOf, plans, seeded } from '../workload/sampleDeployments.js';
import { LocalFleet } from '../processes/localFleet.js';
import type { Reply } from '../processes/localFleet.js';
import { Judge } from '../invariants/invariantChecker.js';
import type { Life, Scene, Told } from '../invariants/invariantChecker.js';

const faultKinds = [
  'counter killed',
  'counter frozen',
  'counters killed in a herd',
  'postmaster killed',
  'postmaster frozen',
  'postmaster killed having confirmed',
  'postmaster wiped',
  'postmasters killed in a herd',
  'replica killed and replaced',
  'replica leaves and is replaced',
  'replica silent',
  'replica slow to reach',
  'postmaster link cut',
  'postmaster link slow',
  'counter cut from two postmasters',
  'whole fleet rolled out',
  'new weights',
  'many lanes',
  'layout probed',
  'key revoked from held streams',
] as const;
type FaultKind = (typeof faultKinds)[number];
const finals = ['counter lost', 'front of a zone lost', 'postmaster lost', 'replica lost'] as const;

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

const plainly = (text: string): never => {
  process.stderr.write(`${text}\n`);
  process.exit(2);
};

if (values.help === true) {
  process.stdout.write(usage);
  process.exit(0);
}

const firm =
  firms[values.firm] ?? plainly(`--firm: no such firm: ${values.firm}\nknown: ${Object.keys(firms).join(', ')}`);
const kinds: readonly FaultKind[] =
  values.only === undefined
    ? faultKinds
    : values.only
        .split(',')
        .map(
          (one) =>
            faultKinds.find((kind) => kind === one.trim()) ??
            plainly(`--only: no such fault: ${one}\nknown: ${faultKinds.join(', ')}`),
        );
const numbers = {
  seconds: Number(values.seconds),
  rate: Number(values.rate ?? firm.ratePerSecond),
  seed: Number(values.seed),
  net: Number(values.net),
};
for (const [name, value] of Object.entries(numbers))
  if (!Number.isInteger(value) || value < 1) plainly(`--${name}: must be a whole number of 1 or more`);

const inForceMs = 2_000;
const settleMs = 12_000;
const random = seeded(numbers.seed * 7919);
const pick = (count: number): number => Math.floor(random() * count);
const span = (low: number, high: number): number => low + random() * (high - low);
const now = (): number => performance.timeOrigin + performance.now();

const fleet = new LocalFleet(firm, values.folder, numbers.net, 9, [], null, true);
const outside = carriages.real(null);
let lives: readonly Life[] = [];
const scene: Scene = {
  counterHosts: fleet.counterHosts,
  now,
  random,
  after: (delayMs, ring) => void setTimeout(ring, delayMs),
  outside: () => outside,
  lives: () => lives,
};
const judge = new Judge(scene, `${numbers.seed}-`);
const brought: Record<string, number> = {};
const late: Told[] = [];
let changes = 0;

const ask = (
  at: number,
  method: 'GET' | 'POST' | 'PATCH' | 'DELETE',
  path: string,
  body?: unknown,
  headers: Record<string, string> = {},
): Promise<Reply> =>
  fleet
    .call(`${fleet.postmasterHosts[at]}:7101`, method, path, body, headers)
    .catch((): Reply => ({ status: 0, body: {} }));

const untilTaken = async (tell: (at: number) => Promise<Reply>): Promise<void> => {
  for (let shot = 0; shot < 300; shot += 1) {
    if ((await tell(pick(3))).status === 200) return;
    await sleep(200);
  }
  throw new Error('the platform was never heard');
};

const baseAt = async (): Promise<{ at: number; base: number }> => {
  for (;;) {
    const at = pick(3);
    const held = await ask(at, 'GET', '/operator/layout');
    if (held.status === 200) return { at, base: Number(held.body.generation) };
    await sleep(100);
  }
};

const change = async (part: Record<string, unknown>, isLastWord = false): Promise<boolean> => {
  const { at, base } = await baseAt();
  const id = `real-${++changes}`;
  for (let shot = 0; ; shot += 1) {
    const told = await ask(shot === 0 ? at : pick(3), 'PATCH', '/operator/layout', part, {
      'if-match': `"${base}"`,
      'change-id': id,
    });
    if (told.status === 200) {
      judge.acceptedIds.set(id, Number(told.body.generation));
      if (isLastWord && shot === 0) await restartPostmaster(at, false);
      return true;
    }
    if (told.status === 409 || told.status === 422) {
      judge.refusedIds.add(id);
      return false;
    }
    await sleep(150);
  }
};

const restartPostmaster = async (at: number, isWiped: boolean): Promise<void> => {
  await fleet.signal(`postmaster-${at + 1}`, 'SIGKILL');
  if (isWiped) fleet.wipePostmaster(at);
  await sleep(span(300, 2_000));
  fleet.startPostmaster(at);
  await fleet.until(
    `postmaster ${at + 1} votes`,
    async () => (await ask(at, 'GET', '/operator/status')).body.voter === true,
    40_000,
  );
};

const freeze = async (name: string, longest: number): Promise<void> => {
  await fleet.signal(name, 'SIGSTOP');
  await sleep(span(500, longest));
  await fleet.signal(name, 'SIGCONT');
};

const replaceReplica = async (name: string): Promise<void> => {
  await fleet.riseReplica(name);
  await untilTaken((at) => ask(at, 'POST', '/platform/replicas', [fleet.announcement(name)]));
};

const grantAndRevoke = async (): Promise<void> => {
  const tenant = plans.tenantNames[pick(8)] as string;
  const key = `held-key-${++changes}`;
  const grant = judge.grant(key, tenant);
  await untilTaken((at) => ask(at, 'POST', '/platform/clients', { tenant, key }, { 'change-id': `grant-${key}` }));
  const stopAt = now() + 9_000;
  const talk = (): void => {
    if (now() >= stopAt) return;
    judge.send({ ...plans.ask(random, judge.calls.length, 0), key, tenant, maxTokens: 300 }, pick(9));
    setTimeout(talk, 200);
  };
  talk();
  await sleep(3_000);
  await untilTaken((at) => ask(at, 'POST', '/platform/keys/revoke', { key }, { 'change-id': `revoke-${key}` }));
  grant.to = now();
  const held = judge.calls.filter((call) => call.ask.key === key && call.verdict === 'open');
  await sleep(inForceMs);
  for (const call of held)
    if (call.verdict === 'open' || call.verdict === 'whole')
      late.push({ rule: "a revoked key's stream went on", detail: `${call.requestId} ${call.verdict}` });
};

const probe = async (): Promise<void> => {
  const name = `probe-${++changes}`;
  const tier = Object.keys(plans.tiers)[pick(3)] as string;
  const repeat = random() < 0.5 ? 'once' : 'freely';
  const isTaken = await change(judge.probed(name, tier, repeat));
  for (let round = 0; round < 2; round += 1) {
    await sleep(inForceMs);
    judge.probeAll(name, name, isTaken, tier, repeat);
  }
};

const newWeights = async (): Promise<void> => {
  const weights = `weights-${judge.weightsFrom.length}`;
  const marker = { offeredAt: now(), at: Number.POSITIVE_INFINITY, pool: 'main', weights };
  judge.weightsFrom.push(marker);
  if (await change({ pools: { main: { weights } } })) marker.at = now();
  else judge.weightsFrom.splice(judge.weightsFrom.indexOf(marker), 1);
};

const rollEach = async (
  role: 'counter' | 'postmaster',
  hosts: readonly string[],
  start: (at: number) => unknown,
): Promise<void> => {
  for (const [at, host] of hosts.entries()) {
    const name = `${role}-${at + 1}`;
    await fleet.until(`${name} is up`, () => fleet.isReady(host));
    const code = await fleet.signal(name, 'SIGTERM');
    if (code !== 0) late.push({ rule: 'a roll-out was not clean', detail: `${name} ended with ${code}` });
    start(at);
    await fleet.until(`${name} is back`, () => fleet.isReady(host));
  }
};

const rollOut = async (): Promise<void> => {
  await rollEach('counter', fleet.counterHosts, fleet.startCounter);
  await rollEach('postmaster', fleet.postmasterHosts, fleet.startPostmaster);
};

const bring = async (kind: FaultKind): Promise<void> => {
  const counter = pick(9);
  const postmaster = pick(3);
  const name = `replica-${pick(firm.replicaCount) + 1}`;
  const [connection, replica] = [fleet.coachRelays[postmaster], fleet.replicaRelays.get(name)];
  switch (kind) {
    case 'counter killed':
      await fleet.signal(`counter-${counter + 1}`, 'SIGKILL');
      await sleep(span(300, 2_000));
      return void fleet.startCounter(counter);
    case 'counters killed in a herd':
      await Promise.all(fleet.counterHosts.map((_, at) => fleet.signal(`counter-${at + 1}`, 'SIGKILL')));
      await sleep(span(300, 1_500));
      return fleet.counterHosts.forEach((_, at) => void fleet.startCounter(at));
    case 'counter frozen':
      return freeze(`counter-${counter + 1}`, 6_000);
    case 'postmaster killed':
      return restartPostmaster(postmaster, false);
    case 'postmaster wiped':
      return restartPostmaster(postmaster, true);
    case 'postmasters killed in a herd':
      await Promise.all([0, 1, 2].map((at) => fleet.signal(`postmaster-${at + 1}`, 'SIGKILL')));
      await sleep(span(300, 1_500));
      return [0, 1, 2].forEach((at) => void fleet.startPostmaster(at));
    case 'postmaster frozen':
      return freeze(`postmaster-${postmaster + 1}`, 4_000);
    case 'postmaster killed having confirmed':
      return void (await change({ tiers: { steady: { rank: 1, horizonMs: 20_000 + pick(1_000) } } }, true));
    case 'replica killed and replaced':
      await fleet.killReplica(name);
      await sleep(span(300, 2_500));
      return replaceReplica(name);
    case 'replica leaves and is replaced': {
      const incarnation = fleet.incarnationOf(name);
      await untilTaken((at) => ask(at, 'POST', `/platform/replicas/${name}/leaving`));
      judge.leftAt.push({ name, incarnation, at: now() });
      await sleep(4_000);
      await fleet.killReplica(name);
      return replaceReplica(name);
    }
    case 'replica silent':
      replica?.cut('*');
      await sleep(span(500, 5_000));
      return replica?.heal();
    case 'replica slow to reach':
      if (replica !== undefined) replica.slowMs = span(100, 600);
      await sleep(span(500, 5_000));
      return replica?.heal();
    case 'postmaster link cut':
      connection?.cut('*');
      await sleep(span(500, 5_000));
      return connection?.heal();
    case 'postmaster link slow':
      if (connection !== undefined) connection.slowMs = span(50, 400);
      await sleep(span(1_000, 5_000));
      return connection?.heal();
    case 'counter cut from two postmasters':
      for (const relay of fleet.coachRelays) if (relay !== connection) relay.cut(fleet.counterHosts[counter] as string);
      await sleep(span(1_000, 5_000));
      return fleet.coachRelays.forEach((relay) => {
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

const bringFinal = async (): Promise<string> => {
  const final = finals[pick(finals.length)] as (typeof finals)[number];
  const zone = pick(3);
  const lose = async (at: number): Promise<void> => {
    await fleet.signal(`counter-${at + 1}`, 'SIGKILL');
    judge.gone.add(at);
  };
  if (final === 'counter lost') await lose(pick(9));
  else if (final === 'front of a zone lost') await Promise.all([0, 3, 6].map((at) => lose(at + zone)));
  else if (final === 'postmaster lost') await fleet.signal(`postmaster-${zone + 1}`, 'SIGKILL');
  else {
    const name = `replica-${pick(firm.replicaCount) + 1}`;
    await fleet.killReplica(name);
    await untilTaken((at) => ask(at, 'DELETE', `/platform/replicas/${name}`));
  }
  return final;
};

const lostChanges = async (): Promise<Told[]> => {
  const told: Told[] = [];
  for (const at of [0, 1, 2]) {
    if ((await ask(at, 'GET', '/healthz')).status !== 200) continue;
    for (const [id, generation] of judge.acceptedIds) {
      const known = await ask(at, 'GET', `/operator/changes/${id}`);
      if (known.status !== 200 || known.body.generation !== generation)
        told.push({ rule: 'an accepted change is lost', detail: `${id} at postmaster ${at + 1}: ${known.status}` });
    }
    for (const id of judge.refusedIds)
      if ((await ask(at, 'GET', `/operator/changes/${id}`)).status === 200)
        told.push({ rule: 'a losing change took effect', detail: id });
  }
  return told;
};

let code = 1;
try {
  const layout = plans.layout('weights-1');
  const tenants = {
    ...(layout.tenants as Record<string, unknown>),
    [plans.prober]: { tier: 'patient', lanes: ['query'] },
  };
  await fleet.up({ ...layout, tenants }, [...plans.tenantNames, plans.prober]);
  for (const tenant of [...plans.tenantNames, plans.prober]) judge.grant(keyOf(tenant), tenant);
  judge.traffic(numbers.rate, numbers.seconds * 1_000, undefined, true);
  judge.keyedTraffic(4, numbers.seconds * 1_000);
  const endAt = now() + numbers.seconds * 1_000 - settleMs - 4_000;
  while (now() < endAt) {
    const kind = kinds[pick(kinds.length)] as FaultKind;
    brought[kind] = (brought[kind] ?? 0) + 1;
    await bring(kind);
    await sleep(span(100, 800));
  }
  const final = await bringFinal();
  const begin = now();
  await fleet.until('every counter ready', async () =>
    (await Promise.all(judge.living().map((at) => fleet.isReady(fleet.counterHosts[at] as string)))).every(Boolean),
  );
  const backMs = now() - begin;
  await sleep(Math.max(0, settleMs - backMs));
  const probesFrom = now();
  judge.traffic(50, 3_000);
  await fleet
    .until(
      'all calls ended',
      async () =>
        now() - probesFrom > 4_000 && judge.calls.every((call) => call.verdict !== 'open' && call.endedAt > 0),
      90_000,
    )
    .catch(() => 0);
  lives = await fleet.lives();
  const after = judge.calls.filter((call) => call.sentAt >= probesFrom);
  const whole = after.filter((call) => call.verdict === 'whole').length;
  if (whole < after.length * 0.95)
    late.push({ rule: 'service still mostly absent', detail: `${whole} of ${after.length}` });
  for (const call of judge.calls)
    if (call.verdict === 'open') late.push({ rule: 'a call never ended', detail: call.requestId });
  const told = [...judge.complaints(), ...late, ...(await lostChanges())];
  process.stdout.write(
    `seed ${numbers.seed}, ${values.firm}: ${judge.calls.length} calls in ${numbers.seconds} s\nbrought: ${JSON.stringify(brought)}\nlost for good: ${final}\ncalls: ${JSON.stringify(judge.tally())}\nready again ${Math.round(backMs)} ms after the last fault; 12 s after it ${whole} of ${after.length} whole\n`,
  );
  for (const { rule, detail } of told.slice(0, 20)) process.stdout.write(`${rule}: ${detail}\n`);
  process.stdout.write(told.length === 0 ? 'no rule broken\n' : `${told.length} breaches\n`);
  code = told.length === 0 ? 0 : 1;
} finally {
  await fleet.down();
}
process.exit(code);
