import { fork } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { mkdtempSync, rmSync } from 'node:fs';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { agreed as agreedState, logs, machine } from '@martenworks/core-types';
import type {
  Agreed,
  Disk,
  KvNews,
  Layout,
  Member,
  Net,
  Ports,
  ReplicaRecord,
  Tenant,
  Wire,
} from '@martenworks/core-types';
import type { Hello } from '@martenworks/peer-transport';

export const poolCount = 10;
export const isolatedShare = 0.01;

export class Meter {
  sent = 0;
  got = 0;
}

const metered = (net: Net, meter: Meter): Net => {
  const over = (wire: Wire): Wire => ({
    ...wire,
    write: (bytes) => {
      meter.sent += bytes.length;
      wire.write(bytes);
    },
    listen: (onBytes, onClose) =>
      wire.listen((bytes) => {
        meter.got += bytes.length;
        onBytes(bytes);
      }, onClose),
  });
  return {
    dial: async (address, patienceMs) => (await net.dial(address, patienceMs)).map(over),
    listen: (address, onWire) => net.listen(address, (wire) => onWire(over(wire))),
  };
};

const freeAddress = (): Promise<string> =>
  new Promise((found) => {
    const server = createServer();
    server.listen(0, '127.0.0.1', () => {
      const at = server.address();
      server.close(() => found(`127.0.0.1:${at !== null && typeof at === 'object' ? at.port : 0}`));
    });
  });

const helloOf = (role: Hello['role'], at: number, address: string): Hello => ({
  release: 2,
  name: `${role}-${at}`,
  role,
  address,
  http: `10.0.${at >> 8}.${at & 255}:7101`,
  zone: `region-${at % 6}-zone-${at % 13}`,
  incarnation: `incarnation-${String(at).padStart(5, '0')}`,
});

const records = (count: number): ReplicaRecord[] =>
  Array.from({ length: count }, (_, at) => ({
    name: `replica-${String(at).padStart(4, '0')}`,
    kind: 'replica',
    incarnation: 1,
    state: 'ready',
    pool: `model-${at % poolCount}`,
    address: `10.1.${at >> 8}.${at & 255}:8000`,
    zone: `region-${at % 6}-zone-${at % 13}`,
    slots: 32,
    born: 0,
    sides: ['*shared*'],
  }));

const layoutOf = (tenantCount: number, isolated: number, edition = 0): Layout => {
  const names = Array.from({ length: poolCount }, (_, at) => `model-${at}`);
  const tenantAt = (at: number): Tenant => ({
    tier: at % 3 === 0 ? 'prompt' : 'steady',
    isolated: at < isolated,
    lanes: [`lane-${at % poolCount}`, `lane-${(at + 1) % poolCount}`],
    ratePerSecond: 10 + edition,
  });
  return {
    tiers: { prompt: { rank: 0, share: 1, horizonMs: 30_000 }, steady: { rank: 1, share: 0.8, horizonMs: 30_000 } },
    pools: Object.fromEntries(
      names.map((name) => [
        name,
        {
          weights: `${name}-weights-1`,
          slots: 32,
          extraAllowance: 18,
          prefillTokensPerMs: 8,
          pullTokensPerMs: 80,
          store: null,
        },
      ]),
    ),
    lanes: Object.fromEntries(names.map((pool, at) => [`lane-${at}`, { pool, repeat: 'freely' as const }])),
    tenants: Object.fromEntries(
      Array.from({ length: tenantCount }, (_, at) => [`tenant-${String(at).padStart(4, '0')}`, tenantAt(at)]),
    ),
  };
};

const rememberedChanges = 4_096;

const stateOf = (tenantCount: number, isolated: number, members: readonly Member[]): Agreed => ({
  ...agreedState.founded(members),
  generation: 5_000,
  layoutGeneration: 5_000,
  layout: layoutOf(tenantCount, isolated),
  weightsSince: Object.fromEntries(Array.from({ length: poolCount }, (_, at) => [`model-${at}`, 0])),
  keys: Object.fromEntries(
    Array.from({ length: tenantCount }, (_, at) => [
      at.toString(16).padStart(64, '0'),
      { tenant: `tenant-${String(at).padStart(4, '0')}` },
    ]),
  ),
  changeIds: Object.fromEntries(
    Array.from({ length: rememberedChanges }, (_, at) => [
      `change-${at}`,
      { generation: at, digest: at.toString(16).padStart(32, '0') },
    ]),
  ),
});

const blockName = (at: number): string => `5a5a5a5a5a5a${at.toString(16).padStart(12, '0')}`;

const stored = (replica: string, seq: number, blocks: readonly string[]): KvNews => ({
  replica,
  incarnation: 1,
  seq,
  kind: 'stored',
  tenant: null,
  blocks,
});

const folders: string[] = [];

const disk = (): Disk => {
  const folder = mkdtempSync(join(tmpdir(), 'capacity-'));
  folders.push(folder);
  return machine.disk(folder);
};

process.on('exit', () => {
  for (const folder of folders) rmSync(folder, { recursive: true, force: true });
});

const ports = (meter: Meter): Ports => ({
  clock: machine.clock,
  random: machine.random,
  net: metered(machine.net(null), meter),
  door: { open: async () => Promise.reject(new Error('no door')) },
  carriage: { carry: async () => Promise.reject(new Error('no carriage')), close: async () => {} },
  disk: disk(),
  log: logs.silent(),
});

const cpuUs = (): number => {
  const { user, system } = process.cpuUsage();
  return user + system;
};

const heap = (): number => {
  (globalThis as { gc?: () => void }).gc?.();
  return process.memoryUsage().heapUsed;
};

const timed = (times: number, work: (at: number) => void): number => {
  const began = cpuUs();
  for (let at = 0; at < times; at += 1) work(at);
  return (cpuUs() - began) / times;
};

const pauseMs = (ms: number): Promise<void> => new Promise((wake) => setTimeout(wake, ms));

const until = async (isSo: () => boolean, limitMs: number, stepMs = 2): Promise<boolean> => {
  const endAt = performance.now() + limitMs;
  while (!isSo()) {
    if (performance.now() > endAt) return false;
    await pauseMs(stepMs);
  }
  return true;
};

export interface PeerCommand {
  readonly verb: string;
  readonly [more: string]: unknown;
}

export class PeerProcess {
  private readonly waiting: ((told: Record<string, number>) => void)[] = [];
  private readonly child: ChildProcess;

  constructor() {
    this.child = fork(fileURLToPath(new URL('./peerProcess.js', import.meta.url)), [], {
      execArgv: ['--expose-gc', '--max-old-space-size=3000'],
    });
    this.child.on('message', (told) => this.waiting.shift()?.(told as Record<string, number>));
  }

  readonly ask = (order: PeerCommand): Promise<Record<string, number>> =>
    new Promise((settle) => {
      this.waiting.push(settle);
      this.child.send(order);
    });

  readonly stop = (): void => void this.child.kill('SIGKILL');
}

export const rig = {
  metered,
  freeAddress,
  helloOf,
  records,
  layoutOf,
  stateOf,
  blockName,
  stored,
  disk,
  ports,
  cpuUs,
  heap,
  timed,
  pauseMs,
  until,
};
