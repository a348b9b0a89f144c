import { setTimeout as sleep } from 'node:timers/promises';
import { parseArgs } from 'node:util';
import { firms, seeded } from './firms.js';
import { load, summaries } from './load.js';
import type { Outcome } from './load.js';
import { LocalFleet } from './localFleet.js';
import type { Run } from './standIn.js';

const { values } = parseArgs({
  options: {
    seed: { type: 'string', default: '1' },
    firm: { type: 'string', default: 'sawmill' },
    net: { type: 'string', default: '20' },
    folder: { type: 'string', default: '.fleet' },
    seconds: { type: 'string', default: '30' },
    rate: { type: 'string', default: '100' },
    help: { type: 'boolean', short: 'h' },
  },
});

if (values.help === true) {
  process.stdout.write(`kills (SIGKILL) and freezes (SIGSTOP, SIGCONT) on a real local fleet under load, judged from the stand-ins' records

  --seed N --firm stations|sawmill --net N --folder DIR --seconds N --rate N
`);
  process.exit(0);
}

const seconds = Number(values.seconds);
const firm = firms[values.firm];
if (firm === undefined) throw new Error(`no such firm: ${values.firm}`);
const fleet = new LocalFleet(firm, values.folder, Number(values.net));
const random = seeded(Number(values.seed) * 7919);
const pick = (count: number): number => Math.floor(random() * count);
const brought: Record<string, number> = {};
const faults: string[] = [];
const accepted = new Map<string, number>();
const weights = ['weights-1'];
const note = (what: string): void => void (brought[what] = (brought[what] ?? 0) + 1);

const step = async (at: number): Promise<void> => {
  const draw = random();
  if (draw < 0.3) {
    const counter = pick(9);
    note('counter killed');
    await fleet.signal(`counter-${counter + 1}`, 'SIGKILL');
    await sleep(300 + random() * 1_500);
    fleet.startCounter(counter);
  } else if (draw < 0.5) {
    const name = `counter-${pick(9) + 1}`;
    note('counter frozen');
    await fleet.signal(name, 'SIGSTOP');
    await sleep(500 + random() * 4_000);
    await fleet.signal(name, 'SIGCONT');
  } else if (draw < 0.7) {
    const postmaster = pick(3);
    note('postmaster killed');
    await fleet.signal(`postmaster-${postmaster + 1}`, 'SIGKILL');
    await sleep(300 + random() * 1_500);
    fleet.startPostmaster(postmaster);
  } else if (draw < 0.8) {
    const name = `postmaster-${pick(3) + 1}`;
    note('postmaster frozen');
    await fleet.signal(name, 'SIGSTOP');
    await sleep(500 + random() * 3_000);
    await fleet.signal(name, 'SIGCONT');
  } else {
    const postmaster = pick(3);
    const held = await fleet.call(`${fleet.postmasterHosts[postmaster]}:7101`, 'GET', '/operator/layout').catch(() => null);
    if (held?.status !== 200) return;
    const id = `real-${at}`;
    const part = { lanes: Object.fromEntries(Array.from({ length: 30 }, (_, index) => [`lane-${at}-${index}`, { pool: 'main', repeat: 'freely' }])) };
    const told = await fleet.call(`${fleet.postmasterHosts[postmaster]}:7101`, 'PATCH', '/operator/layout', part, { 'if-match': `"${String(held.body['generation'])}"`, 'change-id': id }).catch(() => null);
    if (told?.status !== 200) return;
    accepted.set(id, Number(told.body['generation']));
    note('change accepted, its postmaster killed at once');
    await fleet.signal(`postmaster-${postmaster + 1}`, 'SIGKILL');
    await sleep(300);
    fleet.startPostmaster(postmaster);
  }
};

const judge = async (outcomes: readonly Outcome[]): Promise<void> => {
  const runs: Run[] = [];
  for (const host of [...fleet.replicaHosts, fleet.appHost]) {
    const { body } = await fleet.call(`${host}:8000`, 'GET', '/standin/report');
    runs.push(...(body['runs'] as Run[]));
    for (const breach of body['breaches'] as { rule: string }[]) faults.push(`foreign KV (${breach.rule})`);
  }
  const counts = new Map<string, number>();
  for (const run of runs) counts.set(run.requestId, (counts.get(run.requestId) ?? 0) + 1);
  for (const outcome of outcomes) {
    const ran = counts.get(outcome.requestId) ?? 0;
    if ((outcome.kind === 'confirm' || outcome.kind === 'book') && ran > 1) faults.push(`runs twice: ${outcome.requestId}`);
    if (outcome.verdict === 'denied' && outcome.ran === 'no' && ran > 0) faults.push(`not run, yet ran: ${outcome.requestId}`);
    if (outcome.verdict === 'wrong') faults.push(`wrong answer: ${outcome.requestId}`);
    if (outcome.verdict === 'whole' && ran === 0) faults.push(`success without a run: ${outcome.requestId}`);
  }
  for (const [id, generation] of accepted) {
    for (const host of fleet.postmasterHosts) {
      const known = await fleet.call(`${host}:7101`, 'GET', `/operator/changes/${id}`);
      if (known.status !== 200 || known.body['generation'] !== generation) faults.push(`accepted change lost: ${id} at ${host}: ${known.status}`);
    }
  }
};

let code = 1;
try {
  await fleet.up();
  const under = load({ hosts: fleet.counterHosts, ratePerSecond: Number(values.rate), seconds, seed: Number(values.seed), weights: () => weights });
  const endAt = performance.now() + (seconds - 4) * 1_000;
  for (let at = 0; performance.now() < endAt; at += 1) {
    await step(at);
    await sleep(200 + random() * 600);
  }
  const outcomes = await under;
  const backMs = await fleet.until('every counter ready', async () => (await Promise.all(fleet.counterHosts.map(fleet.isReady))).every(Boolean));
  const after = await load({ hosts: fleet.counterHosts, ratePerSecond: 50, seconds: 3, seed: Number(values.seed) + 500, weights: () => weights });
  const whole = after.filter((outcome) => outcome.verdict === 'whole').length;
  if (whole < after.length * 0.95) faults.push(`service mostly absent afterwards: ${whole} of ${after.length}`);
  await judge([...outcomes, ...after]);
  process.stdout.write(`brought: ${JSON.stringify(brought)}\nunder faults: ${JSON.stringify(summaries.verdicts(outcomes))}\nready again ${Math.round(backMs)} ms after the last fault; afterwards ${whole} of ${after.length} whole\n`);
  process.stdout.write(faults.length === 0 ? 'no rule broken\n' : `${faults.slice(0, 20).join('\n')}\n${faults.length} breaches\n`);
  code = faults.length === 0 ? 0 : 1;
} finally {
  await fleet.down();
}
process.exit(code);
