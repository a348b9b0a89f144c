import { tmpdir } from 'node:os';
import { setTimeout as sleep } from 'node:timers/promises';
import { expect } from 'chai';
import { LocalFleet, MisbehavingClient, chunkedBodies, keyOf, processUsageOf } from '@martenworks/test-fleet';
import type { ClientScript } from '@martenworks/test-fleet';

const mebibyte = 1_048_576;
const holdMs = 1_000;
const settleMs = 30_000;
const answerMs = 30_000;
const sampleMs = 50;
/** Bounds of the process that the crowd meets. */
const memoryMb = 350;
const openFiles = 400;

const gatewayBody = [
  'POST /v1/completions HTTP/1.1',
  'Host: gateway',
  `Authorization: Bearer ${keyOf('north')}`,
  'Content-Type: application/json',
  'Transfer-Encoding: chunked',
  '',
  '',
].join('\r\n');
const layoutBody = [
  'PUT /operator/layout HTTP/1.1',
  'Host: control',
  'If-Match: 1',
  'Transfer-Encoding: chunked',
  '',
  '',
].join('\r\n');
const announcementBody = [
  'POST /platform/replicas HTTP/1.1',
  'Host: control',
  'Transfer-Encoding: chunked',
  '',
  '',
].join('\r\n');

type Target = 'gateway-1' | 'control-1';
const crowdOf = (count: number, script: ClientScript): ClientScript[] => Array.from({ length: count }, () => script);

const addressOf = (fleet: LocalFleet, target: Target): string =>
  `${target === 'gateway-1' ? fleet.gatewayHosts[0] : fleet.controlNodeHosts[0]}:7101`;

const isAnswered = async (fleet: LocalFleet, target: Target): Promise<boolean> => {
  const ask = async (): Promise<boolean> => {
    if (target === 'control-1') return fleet.isReady(fleet.controlNodeHosts[0] as string);
    const body = { model: 'query', lane: 'query', prompt: 'hello', max_tokens: 2 };
    const headers = { authorization: `Bearer ${keyOf('north')}` };
    const { status } = await fleet.call(addressOf(fleet, target), 'POST', '/v1/completions', body, headers);
    return status === 200;
  };
  return fleet.until('an answer', ask, answerMs).then(
    () => true,
    () => false,
  );
};

let runCount = 0;
const meet = async (target: Target, scripts: readonly ClientScript[]) => {
  runCount += 1;
  const limitFlags = ['--memory-mb', String(memoryMb), '--open-files', String(openFiles)];
  const deployment = { name: 'crowd', replicaCount: 2, ratePerSecond: 1 };
  const folder = `${tmpdir()}/martenworks-gateway-crowds-${process.pid}`;
  const fleet = new LocalFleet(deployment, folder, 150 + runCount, 1, [], null, false, limitFlags);
  const clients: MisbehavingClient[] = [];
  const usage = { peakMemoryMb: 0, maxOpenFiles: 0 };
  let isSampling = true;
  const isAlive = (): boolean => {
    const child = fleet.children.get(target);
    return child !== undefined && child.exitCode === null && child.signalCode === null;
  };
  const sample = async (): Promise<void> => {
    while (isSampling) {
      const now = processUsageOf(fleet.children.get(target)?.pid ?? 0);
      usage.peakMemoryMb = Math.max(usage.peakMemoryMb, now?.peakMemoryMb ?? 0);
      usage.maxOpenFiles = Math.max(usage.maxOpenFiles, now?.openFiles ?? 0);
      await sleep(sampleMs);
    }
  };
  try {
    await fleet.up();
    const sampling = sample();
    for (const script of scripts) clients.push(new MisbehavingClient(addressOf(fleet, target), script));
    for (let waited = 0; waited < settleMs && !clients.every((client) => client.isSettled()); waited += sampleMs)
      await sleep(sampleMs);
    await sleep(holdMs);
    const isAnsweredMeanwhile = await isAnswered(fleet, target);
    for (const client of clients) client.close();
    const isAnsweredAfterwards = await isAnswered(fleet, target);
    isSampling = false;
    await sampling;
    return { isAlive: isAlive(), ...usage, isAnsweredMeanwhile, isAnsweredAfterwards };
  } finally {
    isSampling = false;
    for (const client of clients) client.close();
    await fleet.down();
  }
};

describe('a crowd of clients that do not behave at the own API', function () {
  this.timeout(180_000);
  const crowds: readonly (readonly [title: string, target: Target, scripts: readonly ClientScript[]])[] = [
    [
      '120 unfinished bodies in large chunks at a gateway',
      'gateway-1',
      crowdOf(120, chunkedBodies.large(gatewayBody, 4 * mebibyte - 65_536)),
    ],
    [
      '12 unfinished bodies in chunks of one byte at a gateway',
      'gateway-1',
      crowdOf(12, chunkedBodies.tiny(gatewayBody, 300_000)),
    ],
    ['800 silent connections at a gateway', 'gateway-1', crowdOf(800, chunkedBodies.none())],
    [
      '24 unfinished configurations of 32 MiB at a gateway control node',
      'control-1',
      crowdOf(24, chunkedBodies.large(layoutBody, 32 * mebibyte)),
    ],
    [
      '24 unfinished announcements of 32 MiB at a gateway control node',
      'control-1',
      crowdOf(24, chunkedBodies.large(announcementBody, 32 * mebibyte)),
    ],
    ['800 silent connections at a gateway control node', 'control-1', crowdOf(800, chunkedBodies.none())],
  ];
  for (const [title, target, scripts] of crowds)
    it(`given ${title}, when a process has ${memoryMb} MB and ${openFiles} descriptors, then it lives, stays within them and answers others`, async () => {
      const record = await meet(target, scripts);
      const figures = JSON.stringify(record);
      expect(record.isAlive, figures).to.equal(true);
      expect(record.peakMemoryMb, figures).to.be.within(1, memoryMb);
      expect(record.maxOpenFiles, figures).to.be.within(1, openFiles);
      expect(record.isAnsweredMeanwhile, figures).to.equal(true);
      expect(record.isAnsweredAfterwards, figures).to.equal(true);
    });
});
