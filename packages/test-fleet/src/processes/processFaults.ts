/** Faults for real processes: kills, pauses, wiped data, restarts, blocked and slow links, configuration changes. */
import { setTimeout as sleep } from 'node:timers/promises';
import { maxPropagationMs } from '../invariants/observations.js';
import { sampleWorkload } from '../workload/sampleDeployments.js';
import type { FaultProxy } from './faultProxy.js';
import { now } from './processFaultRun.js';
import type { ProcessFaultRun } from './processFaultRun.js';

const zoneCount = 3;
const keyTrafficMs = 9_000;
const keyRequestIntervalMs = 200;
const keyValidMs = 3_000;
const longResponseTokens = 300;
const drainMs = 4_000;
const probeRounds = 2;
const laneCount = 200;
const tierCount = 3;

/** The nodes that a fault affects, chosen at random for each fault. */
interface Targets {
  readonly gateway: number;
  readonly controlNode: number;
  readonly replica: string;
}

type ProcessFault = (run: ProcessFaultRun, targets: Targets) => Promise<unknown>;

const pause = async (run: ProcessFaultRun, name: string, maxMs: number): Promise<void> => {
  await run.fleet.signal(name, 'SIGSTOP');
  await run.waitBetween(500, maxMs);
  await run.fleet.signal(name, 'SIGCONT');
};

const injectProxyFault = async (
  run: ProcessFaultRun,
  proxy: FaultProxy | undefined,
  inject: (proxy: FaultProxy) => void,
  minMs: number,
): Promise<void> => {
  if (proxy !== undefined) inject(proxy);
  await run.waitBetween(minMs, 5_000);
  proxy?.heal();
};

const killGateway: ProcessFault = async (run, { gateway }) => {
  await run.fleet.signal(run.fleet.gatewayName(gateway), 'SIGKILL');
  await run.waitBetween(300, 2_000);
  run.fleet.startGateway(gateway);
};

const killAll = async (
  run: ProcessFaultRun,
  hosts: readonly string[],
  nameOf: (at: number) => string,
  start: (at: number) => unknown,
): Promise<void> => {
  await Promise.all(hosts.map((_, at) => run.fleet.signal(nameOf(at), 'SIGKILL')));
  await run.waitBetween(300, 1_500);
  hosts.forEach((_, at) => void start(at));
};

const killAfterAcknowledgement: ProcessFault = (run) =>
  run.change({ tiers: { steady: { rank: 1, horizonMs: 20_000 + run.randomInt(1_000) } } }, (at) =>
    run.restartControlNode(at, false),
  );

const killReplica: ProcessFault = async (run, { replica }) => {
  await run.fleet.killReplica(replica);
  await run.waitBetween(300, 2_500);
  await run.replaceReplica(replica);
};

const drainReplica: ProcessFault = async (run, { replica }) => {
  const incarnation = run.fleet.incarnationOf(replica);
  await run.retryUntilAccepted((at) => run.call(at, 'POST', `/platform/replicas/${replica}/leaving`));
  run.checker.drainNotices.push({ name: replica, incarnation, at: now() });
  await sleep(drainMs);
  await run.fleet.killReplica(replica);
  await run.replaceReplica(replica);
};

const partitionGateway: ProcessFault = async (run, { gateway, controlNode }) => {
  const { gatewayHosts, peerProxies } = run.fleet;
  const host = gatewayHosts[gateway] as string;
  for (const [at, proxy] of peerProxies.entries()) if (at !== controlNode) proxy.block(host);
  await run.waitBetween(1_000, 5_000);
  for (const proxy of peerProxies) proxy.heal();
};

const rollingRestart = async (
  run: ProcessFaultRun,
  hosts: readonly string[],
  nameOf: (at: number) => string,
  start: (at: number) => unknown,
): Promise<void> => {
  const { fleet, violations } = run;
  for (const [at, host] of hosts.entries()) {
    const name = nameOf(at);
    await fleet.until(`${name} to be ready`, () => fleet.isReady(host));
    const exitCode = await fleet.signal(name, 'SIGTERM');
    if (exitCode !== 0) violations.push({ rule: 'a roll-out was not clean', detail: `${name} ended with ${exitCode}` });
    start(at);
    await fleet.until(`${name} to be ready again`, () => fleet.isReady(host));
  }
};

const rollingRestartAll: ProcessFault = async (run) => {
  const { fleet } = run;
  await rollingRestart(run, fleet.gatewayHosts, fleet.gatewayName, fleet.startGateway);
  await rollingRestart(run, fleet.controlNodeHosts, fleet.controlNodeName, fleet.startControlNode);
};

const changeWeights: ProcessFault = async ({ change, checker: { weightsChanges } }) => {
  const weights = `weights-${weightsChanges.length}`;
  const weightsChange = { sentAt: now(), acknowledgedAt: Number.POSITIVE_INFINITY, pool: 'main', weights };
  weightsChanges.push(weightsChange);
  if (await change({ pools: { main: { weights } } })) weightsChange.acknowledgedAt = now();
  else weightsChanges.splice(weightsChanges.indexOf(weightsChange), 1);
};

const addManyLanes: ProcessFault = (run) => {
  const count = run.nextChangeNumber();
  const lanes = Array.from({ length: laneCount }, (_, at) => [
    `lane-${count}-${at}`,
    { pool: 'main', repeat: 'freely' },
  ]);
  return run.change({ lanes: Object.fromEntries(lanes) });
};

const probeConfiguration: ProcessFault = async ({ change, checker, nextChangeNumber, randomInt, random }) => {
  const name = `probe-${nextChangeNumber()}`;
  const tier = Object.keys(sampleWorkload.tiers)[randomInt(tierCount)] as string;
  const repeat = random() < 0.5 ? 'once' : 'freely';
  const isAccepted = await change(checker.probeChange(name, tier, repeat));
  for (let round = 0; round < probeRounds; round += 1) {
    await sleep(maxPropagationMs);
    checker.probeEveryGateway(name, name, isAccepted, tier, repeat);
  }
};

const startKeyTraffic = ({ checker, fleet, randomInt, random }: ProcessFaultRun, key: string, tenant: string): void => {
  const stopAt = now() + keyTrafficMs;
  const sendNext = (): void => {
    if (now() >= stopAt) return;
    const sample = sampleWorkload.request(random, checker.calls.length, 0);
    checker.send({ ...sample, key, tenant, maxTokens: longResponseTokens }, randomInt(fleet.gatewayHosts.length));
    setTimeout(sendNext, keyRequestIntervalMs);
  };
  sendNext();
};

const revokeKey: ProcessFault = async (run) => {
  const { checker, randomInt } = run;
  const tenant = sampleWorkload.tenantNames[randomInt(sampleWorkload.tenantNames.length)] as string;
  const key = `held-key-${run.nextChangeNumber()}`;
  const grant = checker.grant(key, tenant);
  const send = (path: string, body: unknown, changeId: string): Promise<void> =>
    run.retryUntilAccepted((at) => run.call(at, 'POST', path, body, { 'change-id': changeId }));
  await send('/platform/clients', { tenant, key }, `grant-${key}`);
  startKeyTraffic(run, key, tenant);
  await sleep(keyValidMs);
  await send('/platform/keys/revoke', { key }, `revoke-${key}`);
  grant.validUntil = now();
  const open = checker.calls.filter((call) => call.request.key === key && call.outcome === 'open');
  await sleep(maxPropagationMs);
  for (const call of open)
    if (call.outcome === 'open' || call.outcome === 'whole')
      run.violations.push({ rule: "a revoked key's stream continued", detail: `${call.requestId} ${call.outcome}` });
};

/** All faults, by the name that `--only` accepts. */
const processFaults = {
  'counter killed': killGateway,
  'counters killed in a herd': (run) =>
    killAll(run, run.fleet.gatewayHosts, run.fleet.gatewayName, run.fleet.startGateway),
  'counter frozen': (run, { gateway }) => pause(run, run.fleet.gatewayName(gateway), 6_000),
  'control node killed': (run, { controlNode }) => run.restartControlNode(controlNode, false),
  'control node wiped': (run, { controlNode }) => run.restartControlNode(controlNode, true),
  'control nodes killed in a herd': (run) =>
    killAll(run, run.fleet.controlNodeHosts, run.fleet.controlNodeName, run.fleet.startControlNode),
  'control node frozen': (run, { controlNode }) => pause(run, run.fleet.controlNodeName(controlNode), 4_000),
  'control node killed having confirmed': killAfterAcknowledgement,
  'replica killed and replaced': killReplica,
  'replica leaves and is replaced': drainReplica,
  'replica silent': (run, { replica }) =>
    injectProxyFault(run, run.fleet.replicaProxies.get(replica), (proxy) => proxy.block('*'), 500),
  'replica slow to reach': (run, { replica }) =>
    injectProxyFault(run, run.fleet.replicaProxies.get(replica), (proxy) => proxy.delay(100 + run.random() * 500), 500),
  'control node link cut': (run, { controlNode }) =>
    injectProxyFault(run, run.fleet.peerProxies[controlNode], (proxy) => proxy.block('*'), 500),
  'control node link slow': (run, { controlNode }) =>
    injectProxyFault(run, run.fleet.peerProxies[controlNode], (proxy) => proxy.delay(50 + run.random() * 350), 1_000),
  'counter cut from two control nodes': partitionGateway,
  'whole fleet rolled out': rollingRestartAll,
  'new weights': changeWeights,
  'many lanes': addManyLanes,
  'layout probed': probeConfiguration,
  'key revoked from held streams': revokeKey,
} satisfies Record<string, ProcessFault>;

/** The name of a fault. */
export type ProcessFaultKind = keyof typeof processFaults;

/** The names of all faults. */
export const processFaultKinds = Object.keys(processFaults) as ProcessFaultKind[];

/** Injects a fault on random targets and reverts it. */
export const injectProcessFault = async (run: ProcessFaultRun, kind: ProcessFaultKind): Promise<void> => {
  const { fleet, randomInt } = run;
  const targets = {
    gateway: randomInt(fleet.gatewayHosts.length),
    controlNode: randomInt(fleet.controlNodeHosts.length),
    replica: `replica-${randomInt(fleet.replicaHosts.length) + 1}`,
  };
  await processFaults[kind](run, targets);
};

const permanentLosses = ['counter lost', 'front of a zone lost', 'control node lost', 'replica lost'] as const;

const loseGateways = async ({ checker, fleet }: ProcessFaultRun, lost: readonly number[]): Promise<void> => {
  await Promise.all(lost.map((at) => fleet.signal(fleet.gatewayName(at), 'SIGKILL')));
  for (const at of lost) checker.lostGateways.add(at);
};

/** Causes a random permanent loss, and returns its name. */
export const injectRandomLoss = async (run: ProcessFaultRun): Promise<string> => {
  const { fleet, randomInt } = run;
  const loss = permanentLosses[randomInt(permanentLosses.length)] as (typeof permanentLosses)[number];
  const zone = randomInt(zoneCount);
  if (loss === 'counter lost') await loseGateways(run, [randomInt(fleet.gatewayHosts.length)]);
  else if (loss === 'front of a zone lost') {
    const inZone = fleet.gatewayHosts.map((_, at) => at).filter((at) => at % zoneCount === zone);
    await loseGateways(run, inZone);
  } else if (loss === 'control node lost') await fleet.signal(fleet.controlNodeName(zone), 'SIGKILL');
  else {
    const name = `replica-${randomInt(fleet.replicaHosts.length) + 1}`;
    await fleet.killReplica(name);
    await run.retryUntilAccepted((at) => run.call(at, 'DELETE', `/platform/replicas/${name}`));
  }
  return loss;
};
