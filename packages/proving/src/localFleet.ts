import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { createWriteStream, mkdirSync, rmSync } from 'node:fs';
import { createRequire } from 'node:module';
import { dirname, join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import { request } from 'undici';
import { keyOf, plans } from './firms.js';
import type { Firm } from './firms.js';
import type { StandInEnv } from './standIn.js';

const here = dirname(fileURLToPath(import.meta.url));
const program = join(dirname(createRequire(import.meta.url).resolve('@martenworks/postrider')), 'postrider.js');
const zones = ['a', 'b', 'c'];

export interface Reply {
  readonly status: number;
  readonly body: Record<string, unknown>;
}

export class LocalFleet {
  readonly children = new Map<string, ChildProcess>();
  readonly postmasterHosts: string[];
  readonly counterHosts: string[];
  readonly replicaHosts: string[];
  readonly appHost: string;
  private incarnation = 1;

  constructor(
    readonly firm: Firm,
    readonly folder: string,
    readonly net: number,
    readonly frontCount = 9,
    readonly extraFlags: readonly string[] = [],
    private readonly profiled: string | null = null,
  ) {
    const host = (group: number, at: number): string => `127.${net}.${group}.${at}`;
    this.postmasterHosts = [1, 2, 3].map((at) => host(0, at));
    this.counterHosts = Array.from({ length: frontCount }, (_, at) => host(1, at + 1));
    this.replicaHosts = Array.from({ length: firm.replicaCount }, (_, at) => host(2, at + 1));
    this.appHost = host(3, 1);
  }

  private readonly nodeFlags = (name: string): string[] => (name === this.profiled ? ['--cpu-prof', `--cpu-prof-dir=${this.folder}`] : []);

  private readonly start = (name: string, args: string[], script = program): ChildProcess => {
    mkdirSync(this.folder, { recursive: true });
    const log = createWriteStream(join(this.folder, `${name}.log`), { flags: 'a' });
    const child = spawn(process.execPath, [...this.nodeFlags(name), script, ...args], { stdio: ['ignore', 'pipe', 'pipe', 'ipc'] });
    child.stdout?.pipe(log, { end: false });
    child.stderr?.pipe(log, { end: false });
    this.children.set(name, child);
    return child;
  };

  private readonly common = (name: string, host: string, at: number): string[] => [
    ...['--name', name, '--zone', zones[at % 3] as string, '--coach', `${host}:7100`, '--http', `${host}:7101`],
    ...['--seeds', this.postmasterHosts.map((one) => `${one}:7100`).join(',')],
  ];

  readonly startPostmaster = (at: number): ChildProcess => {
    const name = `postmaster-${at + 1}`;
    return this.start(name, ['postmaster', ...this.common(name, this.postmasterHosts[at] as string, at), '--data', join(this.folder, name)]);
  };

  readonly startCounter = (at: number): ChildProcess => {
    const name = `counter-${at + 1}`;
    return this.start(name, ['counter', ...this.common(name, this.counterHosts[at] as string, at), '--operators', `${this.counterHosts[at]}:7102`, '--fronts', String(this.frontCount), ...this.extraFlags]);
  };

  readonly standInEnv = (name: string, host: string): StandInEnv => ({
    name,
    address: `${host}:8000`,
    incarnation: this.incarnation,
    slots: name === 'app-1' ? 32 : 8,
    keptBlocks: 2_000,
    prefillTokensPerMs: 8,
    pullTokensPerMs: 80,
    decodeMs: 5,
    store: null,
  });

  readonly startStandIns = async (): Promise<void> => {
    const envs = [...this.replicaHosts.map((host, at) => this.standInEnv(`replica-${at + 1}`, host)), this.standInEnv('app-1', this.appHost)];
    const half = Math.ceil(envs.length / 2);
    await Promise.all(
      [envs.slice(0, half), envs.slice(half)].map(
        (some, at) =>
          new Promise<void>((ready) => {
            this.start(`stand-ins-${at + 1}`, [JSON.stringify(some)], join(here, 'standInsCommand.js')).stdout?.once('data', () => ready());
          }),
      ),
    );
  };

  readonly call = async (host: string, method: 'GET' | 'POST' | 'PUT' | 'PATCH' | 'DELETE', path: string, body?: unknown, headers: Record<string, string> = {}): Promise<Reply> => {
    const receipt = await request(`http://${host}${path}`, {
      method,
      headers: { 'content-type': 'application/json', ...headers },
      ...(body === undefined ? {} : { body: JSON.stringify(body) }),
      headersTimeout: 10_000,
    });
    const text = await receipt.body.text();
    return { status: receipt.statusCode, body: text.startsWith('{') ? (JSON.parse(text) as Record<string, unknown>) : { text } };
  };

  readonly until = async (what: string, test: () => Promise<boolean>, patienceMs = 15_000): Promise<number> => {
    const begin = performance.now();
    while (performance.now() - begin < patienceMs) {
      if (await test().catch(() => false)) return performance.now() - begin;
      await sleep(25);
    }
    throw new Error(`timed out: ${what}`);
  };

  readonly isReady = async (host: string): Promise<boolean> => (await this.call(`${host}:7101`, 'GET', '/readyz')).status === 200;

  readonly up = async (): Promise<void> => {
    rmSync(this.folder, { recursive: true, force: true });
    await this.startStandIns();
    this.postmasterHosts.forEach((_, at) => this.startPostmaster(at));
    this.counterHosts.forEach((_, at) => this.startCounter(at));
    await this.until('the founding', async () => (await Promise.all(this.postmasterHosts.map(this.isReady))).every(Boolean));
    await this.platformAnnounces();
    await this.operatorPuts(plans.layout('weights-1'));
    for (const tenant of plans.tenantNames) {
      const granted = await this.call(`${this.postmasterHosts[0]}:7101`, 'POST', '/platform/clients', { tenant, key: keyOf(tenant) });
      if (granted.status !== 200) throw new Error(`grant: ${granted.status} ${JSON.stringify(granted.body)}`);
    }
    await this.until('every counter ready', async () => (await Promise.all(this.counterHosts.map(this.isReady))).every(Boolean));
  };

  private readonly platformAnnounces = async (): Promise<void> => {
    const replicas = [
      ...this.replicaHosts.map((host, at) => ({ name: `replica-${at + 1}`, address: `${host}:8000`, pool: 'main', incarnation: this.incarnation })),
      { name: 'app-1', address: `${this.appHost}:8000`, pool: 'app', incarnation: this.incarnation },
    ];
    const announced = await this.call(`${this.postmasterHosts[1]}:7101`, 'POST', '/platform/replicas', replicas);
    if (announced.status !== 200) throw new Error(`announce: ${announced.status} ${JSON.stringify(announced.body)}`);
  };

  readonly operatorPuts = async (layout: Record<string, unknown>, at = 0): Promise<Reply> => {
    const held = await this.call(`${this.postmasterHosts[at]}:7101`, 'GET', '/operator/layout');
    const put = await this.call(`${this.postmasterHosts[at]}:7101`, 'PUT', '/operator/layout', layout, { 'if-match': `"${String(held.body['generation'])}"` });
    if (put.status !== 200) throw new Error(`layout: ${put.status} ${JSON.stringify(put.body)}`);
    return put;
  };

  readonly signal = (name: string, signal: NodeJS.Signals): Promise<number | null> => {
    const child = this.children.get(name);
    if (child === undefined) return Promise.resolve(null);
    const ended = new Promise<number | null>((settle) => (child.exitCode !== null || child.signalCode !== null ? settle(child.exitCode) : child.once('exit', (code) => settle(code))));
    child.kill(signal);
    return signal === 'SIGSTOP' || signal === 'SIGCONT' ? Promise.resolve(null) : ended;
  };

  readonly totals = async (): Promise<Record<string, number>> => {
    const sums: Record<string, number> = {};
    for (const host of [...this.replicaHosts, this.appHost]) {
      const { body } = await this.call(`${host}:8000`, 'GET', '/standin/totals');
      for (const [key, value] of Object.entries(body)) sums[key] = (sums[key] ?? 0) + Number(value);
    }
    return sums;
  };

  readonly vitals = async (): Promise<string[]> => {
    const rows: string[] = [];
    for (const address of [...this.postmasterHosts.map((host) => `${host}:7101`), ...this.counterHosts.map((host) => `${host}:7102`)]) {
      const text = String((await this.call(address, 'GET', '/metrics')).body['text']);
      const read = (name: string): string => new RegExp(`^martenworks_${name} (.*)$`, 'm').exec(text)?.[1] ?? '-';
      rows.push(`${address.padEnd(17)} cpu ${read('cpu_seconds')} s  resident ${Math.round(Number(read('resident_bytes')) / 1e6)} MB  loop delay p50 ${read('event_loop_delay_p50_ms')} p99 ${read('event_loop_delay_p99_ms')} max ${read('event_loop_delay_max_ms')} ms`);
    }
    return rows;
  };

  readonly down = async (): Promise<void> => {
    await Promise.all([...this.children.keys()].map((name) => this.signal(name, 'SIGKILL')));
  };
}
