/** A fleet of real processes on loopback, one IP per node, with emulated replicas and optional proxies between them. */
import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { createWriteStream, mkdirSync, rmSync } from 'node:fs';
import { createRequire } from 'node:module';
import { dirname, join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import { request } from 'undici';
import { keyOf, sampleWorkload } from '../workload/sampleDeployments.js';
import type { SampleDeployment } from '../workload/sampleDeployments.js';
import { FaultProxy } from './faultProxy.js';
import type { ReplicaIncarnation } from '../invariants/observedFleet.js';
import type { EmulatedReplicaSettings } from '../replica/replicaRecords.js';
import type { EmulatedReplicaSpec } from './emulatedReplicasProcess.js';
import { addresses } from '@martenworks/core-types';

const here = dirname(fileURLToPath(import.meta.url));
const program = join(dirname(createRequire(import.meta.url).resolve('@martenworks/cli')), 'martenworks.js');
const zones = ['a', 'b', 'c'];

/** The HTTP response of a node; a body that is not a JSON object is stored as `text`. */
export interface Reply {
  readonly status: number;
  readonly body: Record<string, unknown>;
}

/** Starts, stops and signals the processes. Gateways are `gateway-N`, control nodes `control-N`, both from 1. */
export class LocalFleet {
  /** The running processes by name. */
  readonly children = new Map<string, ChildProcess>();
  /** The IP of each control node. */
  readonly controlNodeHosts: string[];
  /** The IP of each gateway. */
  readonly gatewayHosts: string[];
  /** The IP of each replica of the main pool. */
  readonly replicaHosts: string[];
  /** The IP of the replica of the app pool. */
  readonly appHost: string;
  /** The proxy in front of each control node; empty without proxies. */
  readonly peerProxies: FaultProxy[] = [];
  /** The proxy in front of each replica, by replica name; empty without proxies. */
  readonly replicaProxies = new Map<string, FaultProxy>();
  /** The control addresses `IP:PORT` of the processes that serve the replicas. */
  readonly replicaControlAddresses: string[];
  private readonly incarnations = new Map<string, number>();
  private restartCount = 0;

  constructor(
    /** The number of replicas and the request rate. */
    readonly deployment: SampleDeployment,
    /** The folder of logs and data, which `up` empties. */
    readonly folder: string,
    /** The second octet of all addresses, 127.NET.x.x. */
    readonly net: number,
    /** The number of gateways. */
    readonly gatewayCount = 9,
    /** Additional flags of every gateway. */
    readonly extraFlags: readonly string[] = [],
    private readonly profiledNode: string | null = null,
    hasProxies = false,
    /** Flags of every gateway and control node that bound what it may use. */
    private readonly limitFlags: readonly string[] = [],
  ) {
    const host = (group: number, at: number): string => `127.${net}.${group}.${at}`;
    this.controlNodeHosts = [1, 2, 3].map((at) => host(0, at));
    this.gatewayHosts = Array.from({ length: gatewayCount }, (_, at) => host(1, at + 1));
    this.replicaHosts = Array.from({ length: deployment.replicaCount }, (_, at) => host(2, at + 1));
    this.appHost = host(3, 1);
    this.replicaControlAddresses = [host(9, 1), host(9, 2)].map((one) => `${one}:9000`);
    if (!hasProxies) return;
    this.peerProxies = this.controlNodeHosts.map((one, at) => new FaultProxy(`${host(5, at + 1)}:7100`, `${one}:7100`));
    for (const [at, name] of this.replicaNames().entries())
      this.replicaProxies.set(name, new FaultProxy(`${host(6, at + 1)}:8000`, this.listenAddressOf(name)));
  }

  /** The name of a gateway's process, node and log file. */
  readonly gatewayName = (at: number): string => `gateway-${at + 1}`;

  /** The name of a control node's process, node, log file and data folder. */
  readonly controlNodeName = (at: number): string => `control-${at + 1}`;

  /** The names of all replicas of both pools. */
  readonly replicaNames = (): string[] => [...this.replicaHosts.map((_, at) => `replica-${at + 1}`), 'app-1'];
  /** The address that a replica listens on. */
  readonly listenAddressOf = (name: string): string =>
    `${name === 'app-1' ? this.appHost : this.replicaHosts[Number(name.split('-')[1]) - 1]}:8000`;
  /** The address that others use: that of its proxy, if it has one, else its own. */
  readonly addressOf = (name: string): string => this.replicaProxies.get(name)?.address ?? this.listenAddressOf(name);
  /** The latest incarnation of a replica. */
  readonly incarnationOf = (name: string): number => this.incarnations.get(name) ?? 1;
  private readonly peerAddressOf = (at: number): string =>
    this.peerProxies[at]?.address ?? `${this.controlNodeHosts[at]}:7100`;

  private readonly nodeFlags = (name: string): string[] =>
    name === this.profiledNode ? ['--cpu-prof', `--cpu-prof-dir=${this.folder}`] : [];

  private readonly start = (name: string, args: string[], script = program): ChildProcess => {
    mkdirSync(this.folder, { recursive: true });
    const log = createWriteStream(join(this.folder, `${name}.log`), { flags: 'a' });
    const child = spawn(process.execPath, [...this.nodeFlags(name), script, ...args], {
      stdio: ['ignore', 'pipe', 'pipe', 'ipc'],
    });
    child.stdout?.pipe(log, { end: false });
    child.stderr?.pipe(log, { end: false });
    this.children.set(name, child);
    return child;
  };

  private readonly commonFlags = (name: string, host: string, at: number, peerAddress: string): string[] => [
    ...[
      '--name',
      name,
      '--zone',
      zones[at % 3] as string,
      '--peer-address',
      peerAddress,
      '--peer-listen-address',
      `${host}:7100`,
      '--http',
      `${host}:7101`,
    ],
    ...this.limitFlags,
    ...['--seeds', this.controlNodeHosts.map((_, one) => this.peerAddressOf(one)).join(',')],
  ];

  /** Starts the process of a control node. */
  readonly startControlNode = (at: number): ChildProcess => {
    const name = this.controlNodeName(at);
    return this.start(name, [
      'gateway-control',
      ...this.commonFlags(name, this.controlNodeHosts[at] as string, at, this.peerAddressOf(at)),
      '--data',
      join(this.folder, name),
    ]);
  };

  /** Starts the process of a gateway. */
  readonly startGateway = (at: number): ChildProcess => {
    const name = this.gatewayName(at);
    return this.start(name, [
      'gateway',
      ...this.commonFlags(name, this.gatewayHosts[at] as string, at, `${this.gatewayHosts[at]}:7100`),
      '--operators',
      `${this.gatewayHosts[at]}:7102`,
      '--gateway-count',
      String(this.gatewayCount),
      ...this.extraFlags,
    ]);
  };

  /** Returns the settings of a replica. */
  readonly replicaSettings = (name: string): EmulatedReplicaSettings => ({
    name,
    address: this.addressOf(name),
    incarnation: this.incarnationOf(name),
    slots: name === 'app-1' ? 32 : 8,
    capacityBlocks: 2_000,
    prefillTokensPerMs: 8,
    pullTokensPerMs: 80,
    decodeMs: 5,
    store: null,
  });

  /** Starts the two processes that serve all replicas. */
  readonly startReplicas = async (): Promise<void> => {
    const specs = this.replicaNames().map(
      (name): EmulatedReplicaSpec => ({ settings: this.replicaSettings(name), listen: this.listenAddressOf(name) }),
    );
    const half = Math.ceil(specs.length / 2);
    await Promise.all(
      [specs.slice(0, half), specs.slice(half)].map(
        (some, at) =>
          new Promise<void>((ready) => {
            this.start(
              `emulated-replicas-${at + 1}`,
              [JSON.stringify(some), this.replicaControlAddresses[at] as string],
              join(here, 'emulatedReplicasProcess.js'),
            ).stdout?.once('data', () => ready());
          }),
      ),
    );
  };

  /** Sends an HTTP request to `HOST:PORT`; rejects if it cannot be reached. */
  readonly call = async (
    host: string,
    method: 'GET' | 'POST' | 'PUT' | 'PATCH' | 'DELETE',
    path: string,
    body?: unknown,
    headers: Record<string, string> = {},
  ): Promise<Reply> => {
    const response = await request(`http://${host}${path}`, {
      method,
      headers: { 'content-type': 'application/json', ...headers },
      ...(body === undefined ? {} : { body: JSON.stringify(body) }),
      headersTimeout: 10_000,
    });
    const text = await response.body.text();
    return {
      status: response.statusCode,
      body: text.startsWith('{') ? (JSON.parse(text) as Record<string, unknown>) : { text },
    };
  };

  /** Waits until the condition holds and returns the milliseconds it took; rejects after `timeoutMs`, default 15 s. */
  readonly until = async (what: string, condition: () => Promise<boolean>, timeoutMs = 15_000): Promise<number> => {
    const startedAt = performance.now();
    while (performance.now() - startedAt < timeoutMs) {
      if (await condition().catch(() => false)) return performance.now() - startedAt;
      await sleep(25);
    }
    throw new Error(`timed out waiting for ${what}`);
  };

  /** Whether the node at that IP is ready. */
  readonly isReady = async (host: string): Promise<boolean> =>
    (await this.call(`${host}:7101`, 'GET', '/readyz')).status === 200;

  /** Starts all processes, stores the initial configuration and the keys, and waits until every gateway is ready. */
  readonly up = async (
    config: Record<string, unknown> = sampleWorkload.config('weights-1'),
    tenants: readonly string[] = sampleWorkload.tenantNames,
  ): Promise<void> => {
    rmSync(this.folder, { recursive: true, force: true });
    await this.startReplicas();
    await Promise.all([...this.peerProxies, ...this.replicaProxies.values()].map((proxy) => proxy.open()));
    this.controlNodeHosts.forEach((_, at) => {
      this.startControlNode(at);
    });
    this.gatewayHosts.forEach((_, at) => {
      this.startGateway(at);
    });
    await this.until('the cluster bootstrap', async () =>
      (await Promise.all(this.controlNodeHosts.map(this.isReady))).every(Boolean),
    );
    await this.registerReplicas();
    await this.putConfiguration(config);
    for (const tenant of tenants) {
      const granted = await this.call(`${this.controlNodeHosts[0]}:7101`, 'POST', '/platform/clients', {
        tenant,
        key: keyOf(tenant),
      });
      if (granted.status !== 200)
        throw new Error(`granting the key of ${tenant} failed: ${granted.status} ${JSON.stringify(granted.body)}`);
    }
    await this.until('all gateways to be ready', async () =>
      (await Promise.all(this.gatewayHosts.map(this.isReady))).every(Boolean),
    );
  };

  /** Returns the body with which the platform announces a replica to control nodes. */
  readonly announcement = (name: string): Record<string, unknown> => ({
    name,
    address: this.addressOf(name),
    pool: name === 'app-1' ? 'app' : 'main',
    incarnation: this.incarnationOf(name),
  });

  /** Simulates the death of a replica by closing its proxy; needs proxies. */
  readonly killReplica = async (name: string): Promise<void> => this.replicaProxies.get(name)?.close();

  /** Starts a new incarnation of a replica behind its proxy. */
  readonly restartReplica = async (name: string): Promise<void> => {
    const proxy = this.replicaProxies.get(name);
    if (proxy === undefined) return;
    this.incarnations.set(name, this.incarnationOf(name) + 1);
    const listen = `${addresses.split(this.listenAddressOf(name)).host}:${10_000 + ++this.restartCount}`;
    const restarted = await this.call(this.replicaControlAddresses[0] as string, 'POST', '/start', {
      settings: this.replicaSettings(name),
      listen,
    } satisfies EmulatedReplicaSpec);
    if (restarted.status !== 200) throw new Error(`${name} did not start`);
    proxy.target = listen;
    await proxy.open();
  };

  /** Returns the records of all incarnations of all replicas. */
  readonly replicaIncarnations = async (): Promise<ReplicaIncarnation[]> =>
    (await Promise.all(this.replicaControlAddresses.map((control) => this.call(control, 'GET', '/replicas')))).flatMap(
      ({ body }) => body.replicas as ReplicaIncarnation[],
    );

  /** Removes the data of a control node. */
  readonly wipeControlNode = (at: number): void =>
    rmSync(join(this.folder, this.controlNodeName(at)), { recursive: true, force: true });

  private readonly registerReplicas = async (): Promise<void> => {
    const replicas = this.replicaNames().map(this.announcement);
    const announced = await this.call(`${this.controlNodeHosts[1]}:7101`, 'POST', '/platform/replicas', replicas);
    if (announced.status !== 200)
      throw new Error(`announcing the replicas failed: ${announced.status} ${JSON.stringify(announced.body)}`);
  };

  /** Replaces the configuration; throws if the control node does not accept it. */
  readonly putConfiguration = async (config: Record<string, unknown>, at = 0): Promise<Reply> => {
    const current = await this.call(`${this.controlNodeHosts[at]}:7101`, 'GET', '/operator/layout');
    const put = await this.call(`${this.controlNodeHosts[at]}:7101`, 'PUT', '/operator/layout', config, {
      'if-match': `"${String(current.body.generation)}"`,
    });
    if (put.status !== 200)
      throw new Error(`storing the configuration failed: ${put.status} ${JSON.stringify(put.body)}`);
    return put;
  };

  /** Sends a signal to a process and, unless that pauses or resumes it, waits for its exit code. */
  readonly signal = (name: string, signal: NodeJS.Signals): Promise<number | null> => {
    const child = this.children.get(name);
    if (child === undefined) return Promise.resolve(null);
    const ended = new Promise<number | null>((resolve) =>
      child.exitCode !== null || child.signalCode !== null
        ? resolve(child.exitCode)
        : child.once('exit', (code) => resolve(code)),
    );
    child.kill(signal);
    return signal === 'SIGSTOP' || signal === 'SIGCONT' ? Promise.resolve(null) : ended;
  };

  /** Returns the totals of all replicas, summed by name. */
  readonly replicaTotals = async (): Promise<Record<string, number>> => {
    const sums: Record<string, number> = {};
    for (const host of [...this.replicaHosts, this.appHost]) {
      const { body } = await this.call(`${host}:8000`, 'GET', '/standin/totals');
      for (const [key, value] of Object.entries(body)) sums[key] = (sums[key] ?? 0) + Number(value);
    }
    return sums;
  };

  /** Returns a line with CPU time, memory and event-loop delay for each node. */
  readonly processMetrics = async (): Promise<string[]> => {
    const rows: string[] = [];
    for (const address of [
      ...this.controlNodeHosts.map((host) => `${host}:7101`),
      ...this.gatewayHosts.map((host) => `${host}:7102`),
    ]) {
      const text = String((await this.call(address, 'GET', '/metrics')).body.text);
      const read = (name: string): string => new RegExp(`^martenworks_${name} (.*)$`, 'm').exec(text)?.[1] ?? '-';
      rows.push(
        `${address.padEnd(17)} cpu ${read('cpu_seconds')} s  resident ${Math.round(Number(read('resident_bytes')) / 1e6)} MB  loop delay p50 ${read('event_loop_delay_p50_ms')} p99 ${read('event_loop_delay_p99_ms')} max ${read('event_loop_delay_max_ms')} ms`,
      );
    }
    return rows;
  };

  /** Kills all processes and closes the proxies. */
  readonly down = async (): Promise<void> => {
    await Promise.all([...this.children.keys()].map((name) => this.signal(name, 'SIGKILL')));
    await Promise.all([...this.peerProxies, ...this.replicaProxies.values()].map((proxy) => proxy.close()));
  };
}
